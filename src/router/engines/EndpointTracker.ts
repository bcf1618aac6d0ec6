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

const FIRST_REPORT_TIMEOUT_MS = 500 // wait for a report of an endpoint that this node was not home of
const SWEEP_INTERVAL_MS = 250
const FEED_LINGER_MS = 10_000 // a feed outlives the home's role by this, as views differ for seconds

interface TrackedEndpoint {
  readonly endpoint: EndpointInfo
  readonly load: EndpointLoad
  readonly feed: EndpointFeed
  lastUsedAt: number
  responsive: boolean
}

/** Prefix keys that an endpoint dropped. */
export interface Eviction {
  readonly endpoint: EndpointInfo
  readonly keys: readonly string[]
}

export class EndpointTracker extends Disposable implements ILoadView {
  readonly #fleet: Fleet
  readonly #clock: IClock
  readonly #links: LinkFilter
  readonly #agent = new Agent({ connections: 1 })
  readonly #tracked = new Map<string, TrackedEndpoint>()
  readonly #byHash = new Map<number, TrackedEndpoint>()
  readonly #evicted = this.own(new Emitter<Eviction>())
  readonly #unresponsive = this.own(new Emitter<string>())
  readonly #leaving = this.own(new Emitter<EndpointInfo>())

  readonly onEvicted = this.#evicted.event
  /** Fires with the id of an endpoint that fell silent. */
  readonly onUnresponsive = this.#unresponsive.event
  /** Fires when an endpoint of this node starts to leave. */
  readonly onLeaving = this.#leaving.event

  constructor (fleet: Fleet, clock: IClock, links: LinkFilter) {
    super()
    this.#fleet = fleet
    this.#clock = clock
    this.#links = links
    const timer = setInterval(() => this.#sweep(), SWEEP_INTERVAL_MS)
    this.own(toDisposable(() => clearInterval(timer)))
    this.own(toDisposable(() => { this.#agent.destroy().catch(() => {}) }))
  }

  /** Takes up and gives up endpoints after a change of members or file. */
  refresh (config: VotedConfig | undefined): void {
    const states = new Map(this.#fleet.list?.endpoints.map(e => [e.id, e.state]))
    for (const endpoint of config?.endpoints ?? []) {
      if (this.#fleet.homeOf(endpoint.id) === this.#fleet.self.id) this.#track(endpoint).lastUsedAt = this.#clock.nowMs()
      const tracked = this.#tracked.get(endpoint.id)
      if (tracked !== undefined && states.has(endpoint.id)) tracked.load.setListedLeaving(states.get(endpoint.id) === 'leaving')
    }
    for (const id of [...this.#tracked.keys()]) {
      const endpoint = config?.endpoint(id)
      if (endpoint?.address !== this.#tracked.get(id)!.endpoint.address) this.#untrack(id)
    }
  }

  /** The load of an endpoint; waits for its first report when this node was not its home. */
  async load (endpoint: EndpointInfo): Promise<EndpointLoad> {
    const tracked = this.#track(endpoint)
    tracked.lastUsedAt = this.#clock.nowMs()
    if (tracked.load.report !== undefined) return tracked.load
    await new Promise<void>(resolve => {
      const listener = tracked.feed.onReport(() => done())
      const timer = setTimeout(() => done(), FIRST_REPORT_TIMEOUT_MS)
      const done = (): void => {
        listener.dispose()
        clearTimeout(timer)
        resolve()
      }
    })
    return tracked.load
  }

  /** Loads for the digest: the endpoints that this node is home of. */
  digestLoads (): InstanceDigest['loads'] {
    const now = this.#clock.nowMs()
    const loads = []
    for (const tracked of this.#tracked.values()) {
      if (tracked.load.report === undefined || this.#fleet.homeOf(tracked.endpoint.id) !== this.#fleet.self.id) continue
      loads.push({ endpoint: tracked.endpoint.hash, work: tracked.load.work(now) })
      if (loads.length === 64) break
    }
    return loads
  }

  work (endpointHash: number, now: number): number | undefined {
    const tracked = this.#byHash.get(endpointHash)
    if (tracked?.load.report !== undefined) return tracked.load.work(now)
    return this.#fleet.loads.work(endpointHash, now)
  }

  /** Time since the endpoint started, by its last report. */
  uptimeMs (id: string): number | undefined {
    return this.#tracked.get(id)?.load.report?.uptimeMs
  }

  /** Endpoints held with their loads, for `status`. */
  snapshot (): ReadonlyArray<{ readonly id: string, readonly work: number, readonly inFlight: number, readonly leaving: boolean }> {
    const now = this.#clock.nowMs()
    return [...this.#tracked.values()].map(t => ({ id: t.endpoint.id, work: Math.round(t.load.work(now)), inFlight: t.load.inFlight, leaving: t.load.leaving }))
  }

  #track (endpoint: EndpointInfo): TrackedEndpoint {
    const existing = this.#tracked.get(endpoint.id)
    if (existing !== undefined) return existing
    const load = new EndpointLoad()
    const feed = this.own(new EndpointFeed(endpoint, this.#agent, this.#links))
    const tracked: TrackedEndpoint = { endpoint, load, feed, lastUsedAt: this.#clock.nowMs(), responsive: false }
    feed.onReport(report => {
      const wasLeaving = load.leaving
      load.recordReport(report, this.#clock.nowMs())
      tracked.responsive = true
      if (!wasLeaving && load.leaving) this.#leaving.fire(endpoint)
    })
    feed.onEvicted(keys => this.#evicted.fire({ endpoint, keys }))
    this.#tracked.set(endpoint.id, tracked)
    this.#byHash.set(endpoint.hash, tracked)
    return tracked
  }

  #untrack (id: string): void {
    const tracked = this.#tracked.get(id)
    if (tracked === undefined || tracked.load.inFlight > 0) return
    tracked.feed.dispose()
    this.#tracked.delete(id)
    this.#byHash.delete(tracked.endpoint.hash)
  }

  #sweep (): void {
    const now = this.#clock.nowMs()
    for (const [id, tracked] of this.#tracked) {
      if (this.#fleet.homeOf(id) === this.#fleet.self.id) tracked.lastUsedAt = now
      else if (now - tracked.lastUsedAt > FEED_LINGER_MS) this.#untrack(id)
      if (tracked.responsive && tracked.load.isReportStale(now, ENDPOINT_LOAD_TIMEOUT_MS)) {
        tracked.responsive = false
        this.#unresponsive.fire(id)
      }
    }
  }
}
