/** Watches the platform's list of instances and endpoints; reads it from peers while the platform is down. */
import { setTimeout as sleep } from 'node:timers/promises'
import { Disposable } from '../../common/Disposable.js'
import type { IRandom } from '../../common/Services.js'
import type { Fleet } from '../fleet/Fleet.js'
import type { PeerApiClients } from '../fleet/PeerApi.js'
import type { PlatformClient } from './PlatformClient.js'

const WATCH_TIMEOUT_MS = 25_000
const RETRY_DELAY_MS = 1_000

/** Long-polls the list and applies it to the fleet. */
export class PlatformListTask extends Disposable {
  readonly #fleet: Fleet
  readonly #platform: PlatformClient
  readonly #peers: PeerApiClients
  readonly #random: IRandom

  constructor (fleet: Fleet, platform: PlatformClient, peers: PeerApiClients, random: IRandom) {
    super()
    this.#fleet = fleet
    this.#platform = platform
    this.#peers = peers
    this.#random = random
  }

  /** Reads the list once, then keeps watching in the background. */
  async start (): Promise<void> {
    await this.#readPlatform(0)
    this.#watch().catch(() => {})
  }

  async #watch (): Promise<void> {
    while (!this.isDisposed) {
      const known = this.#fleet.list
      const startedAt = performance.now()
      const answered = await this.#readPlatform(WATCH_TIMEOUT_MS)
      const hasWaited = performance.now() - startedAt >= RETRY_DELAY_MS
      if (answered && (hasWaited || this.#fleet.list !== known)) continue
      if (!answered) await this.#readPeer()
      await sleep(RETRY_DELAY_MS)
    }
  }

  async #readPlatform (waitMs: number): Promise<boolean> {
    const read = await this.#platform.list(waitMs === 0 ? -1 : this.#fleet.list?.revision ?? -1, waitMs)
    if (read.isErr() || this.isDisposed) return false
    this.#fleet.applyList(read.value)
    return true
  }

  async #readPeer (): Promise<void> {
    const ids = this.#fleet.usableInstances().filter(id => id !== this.#fleet.self.id)
    const id = ids[Math.floor(this.#random.next() * ids.length)]
    if (id === undefined) return
    try {
      const list = await this.#peers.forInstance(id)?.list.get.query()
      if (list !== undefined && list !== null) this.#fleet.applyList(list)
    } catch {
      // the next attempt picks another peer at random
    }
  }
}
