/** Task that follows the platform's list of instances and endpoints, and asks peers while the platform is down. */
import { setTimeout as sleep } from 'node:timers/promises'
import { Disposable } from '../../common/Disposable.js'
import type { IRandom } from '../../common/Services.js'
import type { Fleet } from '../fleet/Fleet.js'
import type { PeerApiClients } from '../fleet/PeerApi.js'
import type { PlatformClient } from './PlatformClient.js'

const WATCH_MS = 25_000
const RETRY_MS = 1_000

export class ListTask extends Disposable {
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

  /** Reads once, then goes on in the background. */
  async start (): Promise<void> {
    await this.#read(0)
    this.#follow().catch(() => {})
  }

  async #follow (): Promise<void> {
    while (!this.isDisposed) {
      if (await this.#read(WATCH_MS)) continue
      await this.#askPeer()
      await sleep(RETRY_MS)
    }
  }

  async #read (waitMs: number): Promise<boolean> {
    const read = await this.#platform.list(waitMs === 0 ? -1 : this.#fleet.list?.revision ?? -1, waitMs)
    if (read.isErr() || this.isDisposed) return false
    this.#fleet.offerList(read.value)
    return true
  }

  async #askPeer (): Promise<void> {
    const ids = this.#fleet.usable().filter(id => id !== this.#fleet.self.id)
    const id = ids[Math.floor(this.#random.next() * ids.length)]
    if (id === undefined) return
    try {
      const list = await this.#peers.of(id)?.list.get.query()
      if (list !== undefined && list !== null) this.#fleet.offerList(list)
    } catch {
      // another peer is asked next time
    }
  }
}
