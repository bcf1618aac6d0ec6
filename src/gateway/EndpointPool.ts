/** Holds the state and the connections of each listed endpoint, and updates them as the list of endpoints changes. */
import { Disposable, toDisposable } from '../common/Disposable.js'
import type { GossipedLoad } from '../common/generated/PeerDatagram.js'
import { DataCentreHealth } from '../common/routing/DataCentreHealth.js'
import type { EndpointOutcome } from '../common/routing/EndpointHealth.js'
import { EndpointState } from '../common/routing/EndpointState.js'
import { EndpointTable } from '../common/routing/EndpointTable.js'
import { endpointKey, type Endpoint, type EndpointList } from '../common/routing/Types.js'
import type { IClock } from '../common/Services.js'
import type { Log } from '../router/telemetry/Log.js'
import { EndpointAgent } from './EndpointAgent.js'

const LOAD_REPORT_TTL_MS = 1_500
const MIN_REPORTED_OUTCOMES = 0.3 // decayed count of outcomes from which they are worth reporting
const MAX_LOAD_REPORTS = 48 // keeps a datagram under 1,200 bytes
const MAX_REPORTED_AGE_MS = 3_600_000
const NONE_TRIED: ReadonlySet<string> = new Set()

/** State of an endpoint with its connections. */
export class PooledEndpoint extends EndpointState {
  readonly agent = new EndpointAgent()
}

export class EndpointPool extends Disposable {
  readonly table = new EndpointTable()
  readonly #clock: IClock
  readonly #log: Log
  readonly #states = new Map<string, PooledEndpoint>()
  readonly #byHash = new Map<number, PooledEndpoint>()
  readonly #reachability = new DataCentreHealth()

  constructor (clock: IClock, log: Log) {
    super()
    this.#clock = clock
    this.#log = log
    this.own(toDisposable(() => this.#states.forEach(s => s.agent.destroy())))
    this.own(this.table.onChange(({ endpoint, kind, sinceListMs }) => {
      if (kind === 'gone') this.#remove(endpoint)
      else this.#getOrCreate(endpoint)
      this.#log.info({ step: 'endpoints', endpoint: endpoint.id, service: endpoint.service, dataCentre: endpoint.dataCentre, kind, sinceListMs: Math.round(sinceListMs) }, 'endpoint')
    }))
  }

  /** Age of the list of endpoints in ms; Infinity before the first list. */
  get listAgeMs (): number {
    return this.#clock.nowMs() - this.table.listedAt
  }

  /** Replaces the list of endpoints. @param ageMs time since the list was read. */
  update (list: EndpointList, ageMs: number): void {
    const now = this.#clock.nowMs()
    this.table.update(list, now - ageMs, now)
  }

  /** Records that a read `ageMs` ago found the same list at a later revision. */
  confirm (revision: number, ageMs: number): void {
    const now = this.#clock.nowMs()
    this.table.confirm(revision, now - ageMs, now)
  }

  /** Records that a read of the list which began `ageMs` ago failed. */
  readFailed (ageMs: number): void {
    this.table.recordReadFailure(this.#clock.nowMs() - ageMs)
  }

  /** True when the endpoint with this hash is listed and not leaving. */
  isUsable (hash: number): boolean {
    const state = this.#byHash.get(hash)
    return state !== undefined && this.table.get(state.endpoint.id)?.leaving === false
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

  /** Load reports to send to peers: first endpoints at which this instance saw failures, then the most recent loads. */
  loadReports (): GossipedLoad[] {
    const now = this.#clock.nowMs()
    const reports = [...this.#states.values()]
      .map(s => ({
        endpoint: s.hash,
        requests: s.reportedRequests,
        ageMs: Math.round(Math.min(MAX_REPORTED_AGE_MS, now - s.reportedAt)),
        ...s.health.localOutcomes(now)
      }))
      .filter(r => r.ageMs < LOAD_REPORT_TTL_MS || r.ended >= MIN_REPORTED_OUTCOMES)
    return reports.sort((a, b) => b.failed - a.failed || a.ageMs - b.ageMs).slice(0, MAX_LOAD_REPORTS)
  }

  /** Merges a peer's reports: loads reported by endpoints, and outcomes of the peer's own requests. */
  mergeLoadReports (peer: string, reports: readonly GossipedLoad[]): void {
    const now = this.#clock.nowMs()
    for (const report of reports) {
      const state = this.#byHash.get(report.endpoint)
      if (state === undefined) continue
      if (report.ageMs < LOAD_REPORT_TTL_MS) state.recordReport(report.requests, now - report.ageMs)
      if (report.ended >= MIN_REPORTED_OUTCOMES && state.health.recordPeerReport(peer, report, this.othersFailureRate(state), now)) this.#logEjection(state, 'told', '')
    }
  }

  /** Mean failure rate of the other endpoints of the same service. */
  othersFailureRate (state: PooledEndpoint): number {
    const now = this.#clock.nowMs()
    const others = this.table.usable(state.endpoint.service).filter(e => e.id !== state.endpoint.id)
    return others.reduce((sum, e) => sum + this.#getOrCreate(e).health.failureRate(now), 0) / Math.max(1, others.length)
  }

  /** Endpoints of a service that accept new requests, except those in `tried`; those in unreachable data centres only when no other is left. */
  candidates (service: string, tried: ReadonlySet<string> = NONE_TRIED): PooledEndpoint[] {
    const now = this.#clock.nowMs()
    const all = this.table.usable(service).filter(e => !tried.has(e.id)).map(e => this.#getOrCreate(e))
    const reachable = all.filter(s => !this.#reachability.isEjected(s.endpoint.dataCentre, now))
    return reachable.length > 0 ? reachable : all
  }

  /** Records the outcome of a request; the endpoint may be ejected, or its data centre marked as unreachable. */
  recordOutcome (state: PooledEndpoint, outcome: EndpointOutcome, requestId: string): void {
    const now = this.#clock.nowMs()
    this.#recordReachability(state.endpoint, outcome, requestId, now)
    if (outcome === 'unreachable' || outcome === 'silent') state.agent.closeIdle()
    const ejected = state.health.record(outcome, this.othersFailureRate(state), now)
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

  #getOrCreate (e: Endpoint): PooledEndpoint {
    const key = endpointKey(e)
    let state = this.#states.get(key)
    if (state === undefined) {
      state = new PooledEndpoint(e)
      this.#states.set(key, state)
      this.#byHash.set(state.hash, state)
    }
    return state
  }

  /** Removes an endpoint and closes its idle connections; requests in flight keep theirs. */
  #remove (e: Endpoint): void {
    const state = this.#states.get(endpointKey(e))
    if (state === undefined) return
    state.agent.closeIdle()
    this.#states.delete(endpointKey(e))
    if (this.#byHash.get(state.hash) === state) this.#byHash.delete(state.hash)
  }
}
