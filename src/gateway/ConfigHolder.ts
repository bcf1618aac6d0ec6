/** The configuration in force: the highest revision seen, never an earlier one again. */
import { Disposable } from '../common/Disposable.js'
import { Emitter } from '../common/Emitter.js'
import { supersedes } from '../common/config/ConfigJoin.js'
import { RouteTable } from '../common/routing/RouteTable.js'
import type { RoutingConfig } from '../common/routing/Types.js'
import type { IClock } from '../common/Services.js'

export class ConfigHolder extends Disposable {
  readonly #clock: IClock
  readonly #changed = this.own(new Emitter<RouteTable>())
  #table: RouteTable | undefined
  #confirmedAt = -Infinity

  /** Fires when another configuration is in force. */
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

  /** Time since a reader last knew that no newer configuration existed. */
  get ageMs (): number {
    return this.#clock.nowMs() - this.#confirmedAt
  }

  /** There was nothing newer `ageMs` ago. */
  confirm (ageMs = 0): void {
    this.#confirmedAt = Math.max(this.#confirmedAt, this.#clock.nowMs() - ageMs)
  }

  /** Takes a configuration in unless a newer one is in force. */
  update (config: RoutingConfig): void {
    const current = this.#table?.config
    if (current !== undefined && !supersedes({ revision: config.revision, digest: '' }, { revision: current.revision, digest: '' })) return
    this.#table = new RouteTable(config)
    this.#changed.fire(this.#table)
  }
}
