/** Tracks the load of the endpoints for which this instance is the home node, and of those that it was recently asked to dispatch to. */
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

const FIRST_REPORT_TIMEOUT_MS = 500 // bounds the wait for the first load report when this instance was not the endpoint's home node
const SWEEP_INTERVAL_MS = 250
const FEED_LINGER_MS = 10_000 // a feed stays open after the home role has moved, as instances' membership views differ for seconds

/** An endpoint with its load and its feed. */
interface TrackedEndpoint {
  readonly endpoint: EndpointInfo
  readonly load: EndpointLoad
  readonly feed: EndpointFeed
  /** Last time that this instance was the home node or dispatched to the endpoint; ms, monotonic. */
  lastUsedAt: number
  /** True while load reports arrive; makes `onUnresponsive` fire once per outage. */
  responsive: boolean
}

/** Prefix keys that an engine evicted from its cache. */
export interface Eviction {
  readonly endpoint: EndpointInfo
  readonly keys: readonly string[]
}

/** Owns the feed and the load of each tracked endpoint. */
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
  #lastSweepAt: number

  /** Fires when an engine evicted prefixes from its cache. */
  readonly onEvicted = this.#evicted.event
  /** Fires with the id of an endpoint whose load reports timed out. */
  readonly onUnresponsive = this.#unresponsive.event
  /** Fires when a tracked endpoint first reports that it is leaving. */
  readonly onLeaving = this.#leaving.event

  constructor (fleet: Fleet, clock: IClock, links: LinkFilter) {
    super()
    this.#fleet = fleet
    this.#clock = clock
    this.#links = links
    this.#lastSweepAt = clock.nowMs()
    const timer = setInterval(() => this.#sweep(), SWEEP_INTERVAL_MS)
    this.own(toDisposable(() => clearInterval(timer)))
    this.own(toDisposable(() => { this.#agent.destroy().catch(() => {}) }))
  }

  /** Starts and stops tracking endpoints after a change of the membership or the configuration. */
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

  /** The load of an endpoint, which is tracked from now on; waits up to FIRST_REPORT_TIMEOUT_MS if it has not sent a report yet. */
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

  /** Loads for the gossip digest, at most 64: the endpoints for which this instance is the home node. */
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

  /** Outstanding work: from the endpoint's load if it is tracked and has reported, else the latest sample from gossip. */
  work (endpointHash: number, now: number): number | undefined {
    const tracked = this.#byHash.get(endpointHash)
    if (tracked?.load.report !== undefined) return tracked.load.work(now)
    return this.#fleet.loads.work(endpointHash, now)
  }

  /** Time since the endpoint started in ms, as of its last load report. */
  uptimeMs (id: string): number | undefined {
    return this.#tracked.get(id)?.load.report?.uptimeMs
  }

  /** Tracked endpoints with their loads, for the `status` call. */
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
    const lateMs = now - this.#lastSweepAt - SWEEP_INTERVAL_MS
    this.#lastSweepAt = now
    for (const [id, tracked] of this.#tracked) {
      if (lateMs > SWEEP_INTERVAL_MS) tracked.load.excusePause(lateMs)
      if (this.#fleet.homeOf(id) === this.#fleet.self.id) tracked.lastUsedAt = now
      else if (now - tracked.lastUsedAt > FEED_LINGER_MS) this.#untrack(id)
      if (tracked.responsive && tracked.load.isReportStale(now, ENDPOINT_LOAD_TIMEOUT_MS)) {
        tracked.responsive = false
        this.#unresponsive.fire(id)
      }
    }
  }
}
