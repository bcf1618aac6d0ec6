/** Holds the state and the connections of each listed endpoint, and updates them as the list of endpoints changes. */
import { Disposable, toDisposable } from '../common/Disposable.js'
import type { GossipedLimit, GossipedLoad, ListVersion } from '../common/generated/PeerDatagram.js'
import { Candidates, type CandidateFilter } from '../common/routing/Candidates.js'
import { DataCentreHealth } from '../common/routing/DataCentreHealth.js'
import { EndpointGroup } from '../common/routing/EndpointGroup.js'
import type { EndpointOutcome } from '../common/routing/EndpointHealth.js'
import { EndpointState } from '../common/routing/EndpointState.js'
import { EndpointTable } from '../common/routing/EndpointTable.js'
import { LimitReports } from '../common/routing/LimitReports.js'
import { LOAD_REPORT_TTL_MS, LoadReports, MIN_REPORTED_OUTCOMES } from '../common/routing/LoadReports.js'
import { RegionFilter, type AllowedRegions } from '../common/routing/RegionFilter.js'
import type { Endpoint, EndpointList, Service, WarmUpLimit } from '../common/routing/Types.js'
import type { IClock } from '../common/Services.js'
import type { Log } from '../router/telemetry/Log.js'
import { ColdEndpoints } from './ColdEndpoints.js'
import { EndpointAgent } from './EndpointAgent.js'
import { EndpointLiveness } from './EndpointLiveness.js'
import type { EvacuationHolder } from './EvacuationHolder.js'
import { IdleConnections } from './IdleConnections.js'

const NONE_TRIED: ReadonlySet<string> = new Set()

/** What a pool depends on in a deployment. */
export interface EndpointPoolOptions {
  /** Undefined where data centres are never evacuated. */
  readonly evacuations?: EvacuationHolder | undefined
  /** Region of each data centre. */
  readonly regionOf?: ReadonlyMap<string, string> | undefined
  /** Connections to all endpoints together that are kept for their next request. */
  readonly maxIdleConnections?: number
}

/** What narrows the choice among the endpoints of a service for one request. */
export interface PlacementScope {
  /** Ids of endpoints to which the request was sent before. */
  readonly tried?: ReadonlySet<string>
  /** Data centre outside of which no endpoint is taken while it has one left. */
  readonly only?: string | undefined
  /** Hash of the request's session, which leaves its engine in an evacuated data centre at a time of its own. */
  readonly session?: number | undefined
  /** Regions outside of which no endpoint is taken at all. */
  readonly regions?: AllowedRegions
}

/** State of an endpoint with its connections. */
export class PooledEndpoint extends EndpointState {
  readonly agent: EndpointAgent
  readonly liveness = new EndpointLiveness(this.endpoint)

  constructor (endpoint: Endpoint, idle: IdleConnections) {
    super(endpoint)
    this.agent = new EndpointAgent(idle)
  }
}

export class EndpointPool extends Disposable {
  readonly table = new EndpointTable()
  readonly #clock: IClock
  readonly #log: Log
  readonly #evacuations: EvacuationHolder | undefined
  /** Unused connections to all endpoints. */
  readonly idle: IdleConnections
  /** States of the listed endpoints by id. */
  readonly #states = new Map<string, PooledEndpoint>()
  readonly #byHash = new Map<number, PooledEndpoint>()
  readonly #groups = new Map<string, EndpointGroup>()
  readonly #reports = new LoadReports()
  readonly #limits = new LimitReports()
  readonly #reachability = new DataCentreHealth()
  readonly #cold: ColdEndpoints
  readonly #regionFilter: RegionFilter
  /** Lists ignored since the last one that was applied: only the first is logged. */
  #ignoredLists = 0

  constructor (clock: IClock, log: Log, { evacuations, regionOf = new Map(), maxIdleConnections = Infinity }: EndpointPoolOptions = {}) {
    super()
    this.idle = new IdleConnections(maxIdleConnections)
    this.#clock = clock
    this.#log = log
    this.#evacuations = evacuations
    this.#cold = new ColdEndpoints(log)
    this.#regionFilter = new RegionFilter(regionOf)
    this.own(toDisposable(() => this.#states.forEach(s => {
      s.agent.destroy()
      s.liveness.dispose()
    })))
    this.own(this.table.onChange(({ endpoint, kind, sinceListMs }) => {
      if (kind === 'gone') this.#remove(endpoint)
      else this.#getOrCreate(endpoint, sinceListMs !== Infinity && !this.#isBack(endpoint))
      this.#log.info({ step: 'endpoints', endpoint: endpoint.id, service: endpoint.service, dataCentre: endpoint.dataCentre, kind, sinceListMs: Math.round(sinceListMs) }, 'endpoint')
    }))
    this.own(this.table.onRegroup(services => this.#regroup(services)))
  }

  /** Age of the list of endpoints in ms; Infinity before the first list. */
  get listAgeMs (): number {
    return this.#clock.nowMs() - this.table.listedAt
  }

  /** Replaces the list of endpoints; returns false when this one is older. @param ageMs time since the list was read. */
  update (list: EndpointList, ageMs: number): boolean {
    const now = this.#clock.nowMs()
    const own = this.table.version
    const applied = this.table.update(list, now - ageMs, now)
    if (applied) {
      this.#cold.recordList(list, id => this.#states.get(id), now - ageMs, now)
      this.#ignoredLists = 0
      if (own.epoch > 0 && list.version.epoch > own.epoch) this.#log.warn({ step: 'endpoints', version: list.version, own }, 'platform was restored from a copy')
    } else if (this.#ignoredLists++ === 0) {
      this.#log.warn({ step: 'endpoints', version: list.version, own, ageMs: Math.round(ageMs) }, 'older list ignored')
    }
    return applied
  }

  /** Records that a read `ageMs` ago found the same list at a later version. */
  confirm (version: ListVersion, ageMs: number): void {
    const now = this.#clock.nowMs()
    this.table.confirm(version, now - ageMs, now)
    this.#cold.recordSameList(now - ageMs, now)
  }

  /** Applies the warm-up of the services in the configuration in force. */
  updateServices (services: readonly Service[]): void {
    const limits = new Map<string, WarmUpLimit>()
    for (const { id, warmUp } of services) if (warmUp !== undefined) limits.set(id, warmUp)
    this.#cold.setLimits(limits, this.#states.values(), this.#clock.nowMs())
    this.table.setWarmingServices(new Set(limits.keys()))
  }

  /** Number of cold endpoints when the list was last read. */
  get coldEndpoints (): number {
    return this.#cold.size
  }

  /** States of all endpoints that are known. */
  get states (): Iterable<PooledEndpoint> {
    return this.#states.values()
  }

  /** True when the endpoint leaves, by the list or by its own word. */
  isLeaving (state: EndpointState): boolean {
    return state.isLeaving || this.table.get(state.endpoint.id)?.leaving === true
  }

  /** Records that a read of the list which began `ageMs` ago failed. */
  readFailed (ageMs: number): void {
    this.table.recordReadFailure(this.#clock.nowMs() - ageMs)
  }

  /** True when the endpoint with this hash is listed and in these regions. */
  isWithin (hash: number, regions: AllowedRegions): boolean {
    const state = this.#byHash.get(hash)
    return state !== undefined && this.#regionFilter.allows(state.endpoint.dataCentre, regions)
  }

  /**
   * True when the endpoint with this hash is listed and not leaving.
   * @param session hash of a session that it holds: false when that has left the endpoint's evacuated data centre.
   */
  isUsable (hash: number, session?: number): boolean {
    const state = this.#byHash.get(hash)
    const isListed = state !== undefined && this.table.get(state.endpoint.id)?.leaving === false
    return isListed && (session === undefined || this.isOpen(state, session))
  }

  /**
   * False when the endpoint may not get a request, as its data centre is evacuated.
   * @param session hash of the request's session, if the endpoint holds its prompt.
   */
  isOpen ({ endpoint: { dataCentre } }: EndpointState, session?: number): boolean {
    return this.#openTo(session).isAllowed?.(dataCentre, session !== undefined) !== false
  }

  /** True when endpoints of the service that the request may get otherwise lie in evacuated data centres. */
  hasEvacuated (service: string, regions: AllowedRegions): boolean {
    const evacuations = this.#evacuations
    if (evacuations === undefined || evacuations.isEmpty) return false
    const isLeftOut = (dataCentre: string): boolean => evacuations.isClosed(dataCentre) && this.#regionFilter.allows(dataCentre, regions)
    return this.#group(service).members.some(state => isLeftOut(state.endpoint.dataCentre))
  }

  /** True when prompts may be copied from the endpoint with this hash: it is listed, leaving or not. */
  isCopySource (hash: number): boolean {
    const state = this.#byHash.get(hash)
    return state !== undefined && this.#evacuations?.mayCopyFrom(state.endpoint.dataCentre) !== false
  }

  /** True when the endpoint with this hash is listed, leaving or not. */
  isListed (hash: number): boolean {
    return this.#byHash.has(hash)
  }

  /** The endpoint with this hash, if it is listed and its data centre is reachable. */
  getReachable (hash: number): PooledEndpoint | undefined {
    const state = this.#byHash.get(hash)
    const reachable = state !== undefined && !this.#reachability.isEjected(state.endpoint.dataCentre, this.#clock.nowMs())
    return reachable ? state : undefined
  }

  /** The endpoint with this hash, if it is listed. */
  get (hash: number): PooledEndpoint | undefined {
    return this.#byHash.get(hash)
  }

  /** Load reports to send to peers. */
  loadReports (): GossipedLoad[] {
    return this.#reports.select(this.#clock.nowMs(), state => this.#byHash.get(state.hash) === state)
  }

  /** Merges a peer's reports: loads reported by endpoints, and outcomes of the peer's own requests. */
  mergeLoadReports (peer: string, reports: readonly GossipedLoad[]): void {
    const now = this.#clock.nowMs()
    for (const report of reports) {
      const state = this.#byHash.get(report.endpoint)
      if (state === undefined) continue
      if (report.ageMs < LOAD_REPORT_TTL_MS) this.recordLoad(state, report.requests, report.ageMs)
      if (report.ended < MIN_REPORTED_OUTCOMES) continue
      const ejected = state.health.recordPeerReport(peer, report, report.failed > 0 ? this.othersFailureRate(state) : 0, now)
      if (ejected) this.#logEjection(state, 'told', '')
    }
  }

  /** Records the number of requests that an endpoint reported, to this instance or `ageMs` ago to another. */
  recordLoad (state: PooledEndpoint, requests: number, ageMs = 0): void {
    if (state.recordReport(requests, this.#clock.nowMs() - ageMs)) this.#reports.recordChange(state)
  }

  /** Records the limit that an endpoint named in an answer, undefined for none. @param requestId request that was answered. */
  recordLimit (state: PooledEndpoint, requestsPerSec: number | undefined, requestId: string): void {
    this.#applyLimit(state, requestsPerSec, this.#clock.nowMs(), requestId)
  }

  /** Records that an endpoint said in an answer that it is leaving. @param requestId request that was answered. */
  recordLeaving (state: PooledEndpoint, requestId: string): void {
    if (!state.recordLeaving()) return
    state.agent.closeIdle()
    const { id } = state.endpoint
    this.#log.info({ step: 'endpoints', endpoint: id, requestId, listAgeMs: Math.round(this.listAgeMs), listedLeaving: this.table.get(id)?.leaving }, 'endpoint says that it is leaving')
  }

  /** Records that an endpoint refused a request and wants no other for `pauseMs`. @param requestId request that was refused. */
  recordPause (state: PooledEndpoint, pauseMs: number, requestId: string): void {
    if (!state.recordPause(this.#clock.nowMs() + pauseMs)) return
    this.#log.info({ step: 'endpoints', endpoint: state.endpoint.id, requestId, pauseMs: Math.round(pauseMs), inFlight: state.inFlight }, 'endpoint wants a pause')
  }

  /** Limits of endpoints to send to peers. */
  limitReports (): GossipedLimit[] {
    return this.#limits.select(this.#clock.nowMs())
  }

  /** Merges the limits that peers heard of. */
  mergeLimitReports (reports: readonly GossipedLimit[]): void {
    const now = this.#clock.nowMs()
    for (const { endpoint, startedAtMs, requestsPerSec, ageMs } of reports) {
      const state = this.#byHash.get(endpoint)
      if (state?.endpoint.startedAtMs === startedAtMs) this.#applyLimit(state, requestsPerSec < 0 ? undefined : requestsPerSec, now - ageMs, '')
    }
  }

  #applyLimit (state: PooledEndpoint, requestsPerSec: number | undefined, at: number, requestId: string): void {
    const before = state.limit.requestsPerSec
    if (!state.recordLimit(requestsPerSec, at)) return
    if (requestsPerSec !== undefined) this.#limits.add(state)
    if (before === requestsPerSec) return
    const log = { step: 'endpoints', endpoint: state.endpoint.id, requestId, requestsPerSec: requestsPerSec ?? null, before }
    this.#log.info({ ...log, ageMs: Math.round(this.#clock.nowMs() - at) }, 'endpoint named another limit')
  }

  /** Failure rate of the other endpoints of the same service. */
  othersFailureRate (state: PooledEndpoint): number {
    return this.#group(state.endpoint.service).othersFailureRate(state, this.#clock.nowMs())
  }

  /** Endpoints of a service that accept new requests of this scope. */
  candidates (service: string, { tried = NONE_TRIED, only, session, regions }: PlacementScope = {}): Candidates {
    const now = this.#clock.nowMs()
    const isReachable = (dataCentre: string): boolean => (only === undefined || dataCentre === only) && !this.#reachability.isEjected(dataCentre, now)
    return new Candidates(this.#group(service), { tried, isReachable, ...this.#openTo(session, regions) }, now)
  }

  /** Leaves out evacuated data centres and those outside of the regions; the condition is absent when neither restricts the request. */
  #openTo (session: number | undefined, regions?: AllowedRegions): Pick<CandidateFilter, 'isAllowed'> {
    const evacuations = this.#evacuations?.isEmpty === false ? this.#evacuations : undefined
    if (evacuations === undefined && regions === undefined) return {}
    const isClosed = (dataCentre: string, isHolder: boolean): boolean =>
      (isHolder && session !== undefined ? evacuations?.isClosedTo(dataCentre, session) : evacuations?.isClosed(dataCentre)) === true
    return { isAllowed: (dataCentre, isHolder) => this.#regionFilter.allows(dataCentre, regions) && !isClosed(dataCentre, isHolder) }
  }

  /** Records the outcome of a request; the endpoint may be ejected, or its data centre marked as unreachable. */
  recordOutcome (state: PooledEndpoint, outcome: EndpointOutcome, requestId: string): void {
    const now = this.#clock.nowMs()
    this.#recordReachability(state.endpoint, outcome, requestId, now)
    if (outcome === 'unreachable' || outcome === 'silent' || outcome === 'misdirected') state.agent.closeIdle()
    const ejected = state.health.record(outcome, this.othersFailureRate(state), now)
    this.#reports.recordChange(state)
    if (outcome !== 'answered') this.#reports.recordFailure(state)
    if (ejected) this.#logEjection(state, outcome, requestId)
  }

  #logEjection (state: PooledEndpoint, outcome: EndpointOutcome | 'told', requestId: string): void {
    const now = this.#clock.nowMs()
    const { failed, ended } = state.health.outcomes(now)
    const othersShare = this.othersFailureRate(state)
    const closedMs = Math.round(state.health.ejectedUntil - now)
    this.#log.info({ step: 'endpoints', endpoint: state.endpoint.id, requestId, outcome, failed, ended, othersShare, closedMs }, 'endpoint closed to new work')
  }

  /** Connection failures at several endpoints of a data centre indicate that the data centre is unreachable, not the endpoints. */
  #recordReachability (e: Endpoint, outcome: EndpointOutcome, requestId: string, now: number): void {
    if (outcome !== 'unreachable') {
      if (outcome !== 'silent' && outcome !== 'late') this.#reachability.recordSuccess(e.dataCentre)
      return
    }
    if (!this.#reachability.recordFailure(e.dataCentre, e.id, now)) return
    for (const state of this.#states.values()) {
      if (state.endpoint.dataCentre === e.dataCentre) state.agent.closeIdle()
    }
    this.#log.info({ step: 'endpoints', dataCentre: e.dataCentre, endpoint: e.id, requestId }, 'data centre out of reach')
  }

  #group (service: string): EndpointGroup {
    const group = this.#groups.get(service) ?? new EndpointGroup()
    this.#groups.set(service, group)
    return group
  }

  /** Replaces the members of each group whose list changed. */
  #regroup (services: ReadonlyMap<string, readonly Endpoint[]>): void {
    const now = this.#clock.nowMs()
    for (const [service, group] of this.#groups) {
      if (!services.has(service)) group.replaceMembers([], now)
    }
    for (const [service, endpoints] of services) {
      const group = this.#group(service)
      const members = endpoints.map(e => this.#getOrCreate(e))
      if (members.length !== group.members.length || members.some((m, i) => m !== group.members[i])) group.replaceMembers(members, now)
    }
  }

  /** True for an incarnation whose entry was missing for a while and that says how long it still warms up. */
  #isBack (e: Endpoint): boolean {
    return e.warmUpMs !== undefined && this.table.hasLeft(e, this.#clock.nowMs())
  }

  /** @param hasStarted true when the endpoint joined after the first list. */
  #getOrCreate (e: Endpoint, hasStarted = false): PooledEndpoint {
    let state = this.#states.get(e.id)
    if (state === undefined) {
      state = new PooledEndpoint(e, this.idle)
      this.#states.set(e.id, state)
      this.#byHash.set(state.hash, state)
      this.#cold.add(state, hasStarted, this.#clock.nowMs())
    }
    return state
  }

  /** Removes an endpoint and closes its idle connections; requests in flight keep theirs. */
  #remove (e: Endpoint): void {
    const state = this.#states.get(e.id)
    if (state === undefined) return
    state.agent.closeIdle()
    this.#states.delete(e.id)
    this.#reports.remove(state)
    this.#limits.remove(state)
    this.#cold.remove(state)
    if (this.#byHash.get(state.hash) === state) this.#byHash.delete(state.hash)
  }
}
