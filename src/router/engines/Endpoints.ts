/** Task that owns the loads of the endpoints this node is home of, and of those it was asked to serve meanwhile. */
import { Agent } from 'undici'
import { ENDPOINT_LOAD_TIMEOUT_MS } from '../../common/Constants.js'
import type { EndpointInfo, VotedConfig } from '../../common/config/VotedConfig.js'
import { Disposable, toDisposable } from '../../common/Disposable.js'
import { Emitter } from '../../common/Emitter.js'
import type { InstanceDigest } from '../../common/generated/PeerDatagram.js'
import { EndpointLoad } from '../../common/placement/EndpointLoad.js'
import type { ILoadView } from '../../common/placement/LoadView.js'
import type { IClock } from '../../common/Services.js'
import { EndpointFeed } from './EndpointFeed.js'
import type { Fleet } from '../fleet/Fleet.js'
import type { LinkFilter } from '../fleet/LinkFilter.js'

const FIRST_REPORT_MS = 500 // wait for a report of an endpoint that this node was not home of
const SWEEP_MS = 250
const KEEP_MS = 10_000 // a feed outlives the home's role by this, as views differ for seconds

interface Held {
  readonly endpoint: EndpointInfo
  readonly load: EndpointLoad
  readonly feed: EndpointFeed
  usedAt: number
  wasOpen: boolean
}

/** Prefix keys that an endpoint dropped. */
export interface Eviction {
  readonly endpoint: EndpointInfo
  readonly keys: readonly string[]
}

export class Endpoints extends Disposable implements ILoadView {
  readonly #fleet: Fleet
  readonly #clock: IClock
  readonly #links: LinkFilter
  readonly #agent = new Agent({ connections: 1 })
  readonly #held = new Map<string, Held>()
  readonly #byHash = new Map<number, Held>()
  readonly #evicted = this.own(new Emitter<Eviction>())
  readonly #lost = this.own(new Emitter<string>())
  readonly #leaving = this.own(new Emitter<EndpointInfo>())

  readonly onEvicted = this.#evicted.event
  /** Fires with the id of an endpoint that fell silent. */
  readonly onLost = this.#lost.event
  /** Fires when an endpoint of this node starts to leave. */
  readonly onLeaving = this.#leaving.event

  constructor (fleet: Fleet, clock: IClock, links: LinkFilter) {
    super()
    this.#fleet = fleet
    this.#clock = clock
    this.#links = links
    const timer = setInterval(() => this.#sweep(), SWEEP_MS)
    this.own(toDisposable(() => clearInterval(timer)))
    this.own(toDisposable(() => { this.#agent.destroy().catch(() => {}) }))
  }

  /** Takes up and gives up endpoints after a change of members or file. */
  refresh (config: VotedConfig | undefined): void {
    const states = new Map(this.#fleet.list?.endpoints.map(e => [e.id, e.state]))
    for (const endpoint of config?.endpoints ?? []) {
      if (this.#fleet.homeOf(endpoint.id) === this.#fleet.self.id) this.#hold(endpoint).usedAt = this.#clock.nowMs()
      const held = this.#held.get(endpoint.id)
      if (held !== undefined && states.has(endpoint.id)) held.load.setListedLeaving(states.get(endpoint.id) === 'leaving')
    }
    for (const id of [...this.#held.keys()]) {
      const endpoint = config?.endpoint(id)
      if (endpoint?.address !== this.#held.get(id)!.endpoint.address) this.#drop(id)
    }
  }

  /** The load of an endpoint; waits for its first report when this node was not its home. */
  async load (endpoint: EndpointInfo): Promise<EndpointLoad> {
    const held = this.#hold(endpoint)
    held.usedAt = this.#clock.nowMs()
    if (held.load.report !== undefined) return held.load
    await new Promise<void>(resolve => {
      const listener = held.feed.onReport(() => done())
      const timer = setTimeout(() => done(), FIRST_REPORT_MS)
      const done = (): void => {
        listener.dispose()
        clearTimeout(timer)
        resolve()
      }
    })
    return held.load
  }

  /** Loads for the digest: the endpoints that this node is home of. */
  digestLoads (): InstanceDigest['loads'] {
    const now = this.#clock.nowMs()
    const loads = []
    for (const held of this.#held.values()) {
      if (held.load.report === undefined || this.#fleet.homeOf(held.endpoint.id) !== this.#fleet.self.id) continue
      loads.push({ endpoint: held.endpoint.hash, work: held.load.work(now) })
      if (loads.length === 64) break
    }
    return loads
  }

  work (endpointHash: number, now: number): number | undefined {
    const held = this.#byHash.get(endpointHash)
    if (held?.load.report !== undefined) return held.load.work(now)
    return this.#fleet.loads.work(endpointHash, now)
  }

  /** Time since the endpoint started, by its last report. */
  uptimeMs (id: string): number | undefined {
    return this.#held.get(id)?.load.report?.uptimeMs
  }

  /** Endpoints held with their loads, for `status`. */
  snapshot (): ReadonlyArray<{ readonly id: string, readonly work: number, readonly inFlight: number, readonly leaving: boolean }> {
    const now = this.#clock.nowMs()
    return [...this.#held.values()].map(h => ({ id: h.endpoint.id, work: Math.round(h.load.work(now)), inFlight: h.load.inFlight, leaving: h.load.leaving }))
  }

  #hold (endpoint: EndpointInfo): Held {
    const old = this.#held.get(endpoint.id)
    if (old !== undefined) return old
    const load = new EndpointLoad()
    const feed = this.own(new EndpointFeed(endpoint, this.#agent, this.#links))
    const held: Held = { endpoint, load, feed, usedAt: this.#clock.nowMs(), wasOpen: false }
    feed.onReport(report => {
      const was = load.leaving
      load.recordReport(report, this.#clock.nowMs())
      held.wasOpen = true
      if (!was && load.leaving) this.#leaving.fire(endpoint)
    })
    feed.onEvicted(keys => this.#evicted.fire({ endpoint, keys }))
    this.#held.set(endpoint.id, held)
    this.#byHash.set(endpoint.hash, held)
    return held
  }

  #drop (id: string): void {
    const held = this.#held.get(id)
    if (held === undefined || held.load.inFlight > 0) return
    held.feed.dispose()
    this.#held.delete(id)
    this.#byHash.delete(held.endpoint.hash)
  }

  #sweep (): void {
    const now = this.#clock.nowMs()
    for (const [id, held] of this.#held) {
      if (this.#fleet.homeOf(id) === this.#fleet.self.id) held.usedAt = now
      else if (now - held.usedAt > KEEP_MS) this.#drop(id)
      if (held.wasOpen && held.load.isReportStale(now, ENDPOINT_LOAD_TIMEOUT_MS)) {
        held.wasOpen = false
        this.#lost.fire(id)
      }
    }
  }
}
