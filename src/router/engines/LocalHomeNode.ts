/**
 * Home node of the engines that this instance dispatches to: decides from exact in-flight counts whether an engine
 * admits a chat, keeps a directory of the engines that cache the chats' prefixes, and streams the responses.
 */
import { Agent } from 'undici'
import { ENDPOINT_LOAD_TIMEOUT_MS } from '../../common/Constants.js'
import type { EndpointInfo, VotedConfig } from '../../common/config/VotedConfig.js'
import { Disposable, toDisposable } from '../../common/Disposable.js'
import { routeError } from '../../common/Errors.js'
import { shouldShed } from '../../common/limits/LoadShedding.js'
import type { ChatEntry } from '../../common/placement/ChatDirectory.js'
import type { ChatPlacement } from '../../common/placement/ChatKey.js'
import type { EndpointLoad } from '../../common/placement/EndpointLoad.js'
import { HomePlacement } from '../../common/placement/HomePlacement.js'
import { UNAVAILABLE } from '../../common/placement/LoadView.js'
import { RANKED_ENGINES, requestWork, type PlacementDecision } from '../../common/placement/PlacementPolicy.js'
import { rankTop } from '../../common/Rendezvous.js'
import type { IClock } from '../../common/Services.js'
import type { EndpointTracker, Eviction } from './EndpointTracker.js'
import { EngineStream } from './EngineStream.js'
import type { Fleet } from '../fleet/Fleet.js'
import type { LinkFilter } from '../fleet/LinkFilter.js'
import type { Metrics } from '../telemetry/Metrics.js'
import type { ChatCall, HomeReply, IChatRun, IChatSink, IHomeNode, ResumeCall } from '../Types.js'

const DIRECTORY_CAPACITY = 16_384 // twice the number of chats per instance at the planned fleet size
const WARM_UP_MS = 60_000
const NO_CACHED_TOKENS = 0

/** Dependencies of `rankEngines`. */
export type RankingDependencies = Pick<HomeNodeDependencies, 'fleet' | 'endpoints' | 'clock'>

/** Candidate engines for a chat in rendezvous order: those of this instance's region if it has any. Entry and home node rank the same set. */
export function rankEngines (deps: RankingDependencies, config: VotedConfig, model: string, keyHash: number, excluded: readonly string[]): EndpointInfo[] {
  const { fleet, endpoints } = deps
  const now = deps.clock.nowMs()
  const region = config.regionOf(fleet.self.dataCentre)
  const usable = config.enginesOf(model).filter(e => {
    return !excluded.includes(e.id) && fleet.homeOf(e.id) !== undefined && endpoints.work(e.hash, now) !== UNAVAILABLE
  })
  const sameRegion = usable.filter(e => e.region === region)
  return rankTop(keyHash, sameRegion.length > 0 ? sameRegion : usable, RANKED_ENGINES)
}

/** Dependencies of a home node. */
export interface HomeNodeDependencies {
  readonly config: () => VotedConfig | undefined
  readonly fleet: Fleet
  readonly endpoints: EndpointTracker
  readonly clock: IClock
  readonly links: LinkFilter
  readonly metrics: Metrics
}

/** Home node in this process. */
export class LocalHomeNode extends Disposable implements IHomeNode {
  readonly #deps: HomeNodeDependencies
  readonly #placement = new HomePlacement(DIRECTORY_CAPACITY)
  readonly #agent = new Agent({ connections: null, pipelining: 1 })
  readonly #streams = new Map<string, Set<EngineStream>>()

  constructor (deps: HomeNodeDependencies) {
    super()
    this.#deps = deps
    this.own(deps.endpoints.onEvicted(e => this.#onEvicted(e)))
    this.own(deps.endpoints.onUnresponsive(id => { for (const stream of this.#streams.get(id) ?? []) stream.failUnresponsive() }))
    this.own(toDisposable(() => { this.#agent.destroy().catch(() => {}) }))
  }

  /** Memory of the chat directory in bytes. */
  get directoryBytes (): number {
    return this.#placement.bytes
  }

  /** Number of chats in the directory. */
  get chats (): number {
    return this.#placement.chats
  }

  /** Number of streams in progress. */
  get activeStreams (): number {
    let active = 0
    for (const streams of this.#streams.values()) active += streams.size
    return active
  }

  /** Engine on which the prefix of a chat was last placed. */
  findPlacement (keyHash: number, tag: number): ChatEntry | undefined {
    return this.#placement.holderOf(keyHash, tag)
  }

  chat (call: ChatCall, body: Uint8Array, sink: IChatSink): IChatRun {
    const run = new ChatRun()
    this.#place(call, body, sink, run).catch((e: unknown) => {
      sink.onReply({ kind: 'error', error: routeError('internal', 'place', this.#deps.fleet.self.id, String(e)) })
    })
    return run
  }

  resume (call: ResumeCall, sink: IChatSink): IChatRun {
    const run = new ChatRun()
    const endpoint = this.#deps.config()?.endpoint(call.endpoint)
    if (endpoint === undefined) {
      sink.onReply({ kind: 'error', error: routeError('stream_not_found', 'resume', call.endpoint) })
      return run
    }
    this.#deps.endpoints.load(endpoint).then(load => {
      if (load.isReportStale(this.#deps.clock.nowMs(), ENDPOINT_LOAD_TIMEOUT_MS)) {
        sink.onError(routeError('stream_not_found', 'resume', endpoint.id, 'the endpoint is silent'), true)
        return
      }
      this.#openStream(endpoint, call, sink, run, stream => stream.attach(), () => {})
    }).catch((e: unknown) => sink.onError(routeError('internal', 'resume', endpoint.id, String(e)), true))
    return run
  }

  cancel (requestId: string, endpointId: string): void {
    const endpoint = this.#deps.config()?.endpoint(endpointId)
    if (endpoint === undefined) return
    new EngineStream(this.#agent, this.#deps.links, endpoint, requestId, 0, 0, NOOP_SINK).cancel()
  }

  /** Chooses the engine for a chat without sending the chat. */
  decide (model: string, placement: ChatPlacement, excluded: readonly string[]): PlacementDecision<EndpointInfo> | undefined {
    const { fleet, endpoints, clock } = this.#deps
    const config = this.#deps.config()
    if (config === undefined) return undefined
    const now = clock.nowMs()
    const ranked = rankEngines(this.#deps, config, model, placement.keyHash, excluded)
    const regions = new Set(ranked.map(e => e.region))
    const all = config.enginesOf(model).filter(e => regions.has(e.region) && !excluded.includes(e.id) && fleet.homeOf(e.id) !== undefined)
    return this.#placement.decide(placement, { model, limits: config, ranked, all, warming: this.#isWarmingUp(ranked[0]) }, endpoints, now)
  }

  async #place (call: ChatCall, body: Uint8Array, sink: IChatSink, run: ChatRun): Promise<void> {
    const config = this.#deps.config()
    const requested = config?.endpoint(call.endpoint)
    if (config === undefined || requested === undefined) {
      sink.onReply({ kind: 'error', error: routeError('no_endpoint', 'place', call.endpoint, 'not in the active configuration of this instance') })
      return
    }
    let endpoint = requested
    let cachedTokens = NO_CACHED_TOKENS
    if (call.mayRedirect) {
      const decision = this.decide(call.model, call.placement, call.excluded)
      if (decision === undefined) {
        sink.onReply({ kind: 'error', error: routeError('no_endpoint', 'place', call.endpoint, 'no usable engine') })
        return
      }
      this.#deps.metrics.placements.inc({ reason: decision.reason })
      this.#placement.recordPlacement(call.placement, decision.engine.hash)
      if (this.#deps.fleet.homeOf(decision.engine.id) !== this.#deps.fleet.self.id) {
        sink.onReply({ kind: 'redirect', endpoint: decision.engine.id, reason: decision.reason })
        return
      }
      endpoint = decision.engine
      cachedTokens = decision.cachedTokens
    }
    const load = await this.#deps.endpoints.load(endpoint)
    const refusal = this.#checkAdmission(call, endpoint, load, config)
    if (refusal !== undefined) sink.onReply(refusal)
    else this.#startChat(call, body, endpoint, load, cachedTokens, sink, run)
  }

  /** Admission check on exact counts; undefined when the engine admits the chat. */
  #checkAdmission (call: ChatCall, endpoint: EndpointInfo, load: EndpointLoad, config: VotedConfig): HomeReply | undefined {
    const now = this.#deps.clock.nowMs()
    if (!load.isAvailable(now)) return { kind: 'declined', endpoint: endpoint.id, load: UNAVAILABLE }
    const report = load.report
    if (report !== undefined && shouldShed(report, load.inFlight, call.priority, load.accountFraction(call.account) <= call.share)) {
      return { kind: 'error', error: routeError('overloaded', 'admit', endpoint.id, '', 1000) }
    }
    if (call.force || call.mayRedirect) return undefined
    const all = config.enginesOf(call.model).filter(e => e.region === endpoint.region)
    if (this.#placement.accepts(call.placement, endpoint, { model: call.model, limits: config, all }, this.#deps.endpoints, now)) return undefined
    return { kind: 'declined', endpoint: endpoint.id, load: load.work(now) / endpoint.weight }
  }

  #startChat (call: ChatCall, body: Uint8Array, endpoint: EndpointInfo, load: EndpointLoad, cached: number, sink: IChatSink, run: ChatRun): void {
    const item = load.begin(call.account, requestWork(call.placement, cached), this.#deps.clock.nowMs())
    const counting: IChatSink = {
      onAccepted: id => sink.onAccepted(id),
      onReply: reply => sink.onReply(reply),
      onEvents: (bytes, events, done) => {
        load.progress(item, events)
        if (done) load.recordSuccess()
        sink.onEvents(bytes, events, done)
      },
      onError: (error, sent) => {
        load.recordFailure(this.#deps.clock.nowMs())
        sink.onError(error, sent)
      }
    }
    const opened = this.#openStream(endpoint, call, counting, run, stream => stream.start(call, body), () => load.end(item))
    if (!opened) load.end(item)
  }

  #openStream (
    endpoint: EndpointInfo, call: ResumeCall, sink: IChatSink, run: ChatRun, begin: (stream: EngineStream) => void, onFinished: () => void
  ): boolean {
    if (run.stopped) return false
    const streams = this.#streams.get(endpoint.id) ?? new Set()
    this.#streams.set(endpoint.id, streams)
    const finish = (): void => {
      if (streams.delete(stream)) onFinished()
    }
    const stream: EngineStream = new EngineStream(this.#agent, this.#deps.links, endpoint, call.requestId, call.from, call.timeoutMs, {
      onAccepted: () => sink.onAccepted(endpoint.id),
      onEvents: (bytes, events, done) => {
        if (done) finish()
        sink.onEvents(bytes, events, done)
      },
      onError: (error, sent) => {
        finish()
        sink.onError(error, sent)
      }
    })
    streams.add(stream)
    run.bind(stream, finish)
    begin(stream)
    return true
  }

  #isWarmingUp (engine: EndpointInfo | undefined): boolean {
    if (engine === undefined || this.#deps.fleet.homeOf(engine.id) !== this.#deps.fleet.self.id) return false
    const uptimeMs = this.#deps.endpoints.uptimeMs(engine.id)
    return uptimeMs !== undefined && uptimeMs < WARM_UP_MS
  }

  #onEvicted (eviction: Eviction): void {
    for (const key of eviction.keys) {
      const [keyHash, tag] = key.split('.').map(part => parseInt(part, 36))
      if (keyHash === undefined || tag === undefined) continue
      this.#placement.recordEviction(keyHash, tag, eviction.endpoint.hash)
    }
  }
}

const NOOP_SINK = { onAccepted: () => {}, onEvents: () => {}, onError: () => {} }

/** Handle that is returned before the stream is open. */
class ChatRun implements IChatRun {
  #stream: EngineStream | undefined
  #finish: () => void = () => {}
  #stopped = false

  get stopped (): boolean {
    return this.#stopped
  }

  bind (stream: EngineStream, finish: () => void): void {
    this.#stream = stream
    this.#finish = finish
  }

  stop (): void {
    this.#stopped = true
    this.#finish()
    this.#stream?.stop()
  }

  pause (): void {
    this.#stream?.pause()
  }

  resume (): void {
    this.#stream?.resume()
  }
}
