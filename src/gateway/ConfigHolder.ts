/** Holds the configuration in force: the highest revision received; earlier ones are ignored. */
import { supersedes } from '../common/config/ConfigJoin.js'
import { Disposable } from '../common/Disposable.js'
import { Emitter } from '../common/Emitter.js'
import { RouteTable } from '../common/routing/RouteTable.js'
import type { RoutingConfig } from '../common/routing/Types.js'
import type { IClock } from '../common/Services.js'

/** A configuration that came into force. */
export interface ConfigChange {
  readonly table: RouteTable
  /** Who sent it: the platform, or the id of a peer. */
  readonly from: string
  /** Time since the configuration before was last confirmed; Infinity when it never was. */
  readonly unconfirmedMs: number
}

/** Sender of a configuration that this gateway read by itself. */
export const FROM_PLATFORM = 'platform'

export class ConfigHolder extends Disposable {
  readonly #clock: IClock
  readonly #changed = this.own(new Emitter<ConfigChange>())
  #table: RouteTable | undefined
  #confirmedAt = -Infinity

  /** Fires when another configuration comes into force. */
  readonly onChange = this.#changed.event

  constructor (clock: IClock) {
    super()
    this.#clock = clock
  }

  get table (): RouteTable | undefined {
    return this.#table
  }

  get revision (): number {
    return this.#table?.config.revision ?? 0
  }

  /** Time since a read last confirmed that there is no newer configuration; Infinity before the first. */
  get ageMs (): number {
    return this.#clock.nowMs() - this.#confirmedAt
  }

  /** Records that there was no newer configuration `ageMs` ago. */
  confirm (ageMs = 0): void {
    this.#confirmedAt = Math.max(this.#confirmedAt, this.#clock.nowMs() - ageMs)
  }

  /**
   * Puts a configuration into force if its revision is higher than that of the current one; returns false otherwise.
   * @param from the platform, or the id of a peer.
   * @param ageMs time since there was no newer one; Infinity when that isn't known.
   */
  update (config: RoutingConfig, from: string, ageMs: number): boolean {
    const current = this.#table?.config
    if (current !== undefined && !supersedes({ revision: config.revision, digest: '' }, { revision: current.revision, digest: '' })) return false
    const unconfirmedMs = this.ageMs
    this.#table = new RouteTable(config)
    this.confirm(ageMs)
    this.#changed.fire({ table: this.#table, from, unconfirmedMs })
    return true
  }
}
