/** Owns what this instance knows of each endpoint and its connections; follows the list of endpoints. */
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
const MIN_REPORTED_OUTCOMES = 0.3 // faded outcomes that are worth telling
const MAX_LOAD_REPORTS = 48 // keeps a datagram under 1,200 bytes
const MAX_REPORTED_AGE_MS = 3_600_000
const NONE_TRIED: ReadonlySet<string> = new Set()

/** An endpoint that can be sent to. */
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

  /** Age of the list in ms; Infinity before the first. */
  get listAgeMs (): number {
    return this.#clock.nowMs() - this.table.listedAt
  }

  /** @param ageMs time since the list was read. */
  update (list: EndpointList, ageMs: number): void {
    const now = this.#clock.nowMs()
    this.table.update(list, now - ageMs, now)
  }

  /** The list says at a later revision what it said, as read `ageMs` ago. */
  confirm (revision: number, ageMs: number): void {
    const now = this.#clock.nowMs()
    this.table.confirm(revision, now - ageMs, now)
  }

  /** A read of the list failed that began `ageMs` ago. */
  readFailed (ageMs: number): void {
    this.table.recordReadFailure(this.#clock.nowMs() - ageMs)
  }

  /** True when an endpoint of this hash is listed and not leaving. */
  isUsable (hash: number): boolean {
    const state = this.#byHash.get(hash)
    return state !== undefined && this.table.get(state.endpoint.id)?.leaving === false
  }

  /** True when an endpoint of this hash is listed, leaving or not. */
  isListed (hash: number): boolean {
    return this.#byHash.has(hash)
  }

  /** The endpoint of this hash, if it is listed and its data centre can be reached. */
  getReachable (hash: number): PooledEndpoint | undefined {
    const state = this.#byHash.get(hash)
    const reachable = state !== undefined && !this.#reachability.isEjected(state.endpoint.dataCentre, this.#clock.nowMs())
    return reachable ? state : undefined
  }

  /** What this instance knows of endpoints, to tell peers: first those where it saw failures, then the newest loads. */
  loadReports (): GossipedLoad[] {
    const now = this.#clock.nowMs()
    const reports = [...this.#states.values()]
      .map(s => ({ endpoint: s.hash, requests: s.reportedRequests, ageMs: Math.round(Math.min(MAX_REPORTED_AGE_MS, now - s.reportedAt)), ...s.health.localOutcomes(now) }))
      .filter(t => t.ageMs < LOAD_REPORT_TTL_MS || t.ended >= MIN_REPORTED_OUTCOMES)
    return reports.sort((a, b) => b.failed - a.failed || a.ageMs - b.ageMs).slice(0, MAX_LOAD_REPORTS)
  }

  /** Takes in what a peer knows: loads that endpoints stated, and how its own requests ended. */
  mergeLoadReports (peer: string, reports: readonly GossipedLoad[]): void {
    const now = this.#clock.nowMs()
    for (const load of reports) {
      const state = this.#byHash.get(load.endpoint)
      if (state === undefined) continue
      if (load.ageMs < LOAD_REPORT_TTL_MS) state.recordReport(load.requests, now - load.ageMs)
      if (load.ended >= MIN_REPORTED_OUTCOMES && state.health.recordPeerReport(peer, load, this.othersFailureShare(state), now)) this.#logEjection(state, 'told', '')
    }
  }

  /** Mean failure share of the other endpoints of its service. */
  othersFailureShare (state: PooledEndpoint): number {
    const now = this.#clock.nowMs()
    const others = this.table.usable(state.endpoint.service).filter(e => e.id !== state.endpoint.id)
    return others.reduce((sum, e) => sum + this.#getOrCreate(e).health.failureRate(now), 0) / Math.max(1, others.length)
  }

  /** Endpoints of a service that may take new work, but those in `tried`; those out of reach only when there is no other. */
  candidates (service: string, tried: ReadonlySet<string> = NONE_TRIED): PooledEndpoint[] {
    const now = this.#clock.nowMs()
    const all = this.table.usable(service).filter(e => !tried.has(e.id)).map(e => this.#getOrCreate(e))
    const reachable = all.filter(s => !this.#reachability.isEjected(s.endpoint.dataCentre, now))
    return reachable.length > 0 ? reachable : all
  }

  /** Takes the outcome of a request at an endpoint in. */
  recordOutcome (state: PooledEndpoint, outcome: EndpointOutcome, requestId: string): void {
    const now = this.#clock.nowMs()
    this.#recordReachability(state.endpoint, outcome, requestId, now)
    if (outcome === 'unreachable' || outcome === 'silent') state.agent.closeIdle()
    const closed = state.health.record(outcome, this.othersFailureShare(state), now)
    if (closed) this.#logEjection(state, outcome, requestId)
  }

  #logEjection (state: PooledEndpoint, outcome: EndpointOutcome | 'told', requestId: string): void {
    const now = this.#clock.nowMs()
    const { failed, ended } = state.health.outcomes(now)
    const othersShare = this.othersFailureShare(state)
    const closedMs = Math.round(state.health.ejectedUntil - now)
    this.#log.info({ step: 'endpoints', endpoint: state.endpoint.id, requestId, outcome, failed, ended, othersShare, closedMs }, 'endpoint closed to new work')
  }

  /** What fails alike at several endpoints of a data centre is the way there. */
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

  /** Requests in flight keep their connection; idle ones go. */
  #remove (e: Endpoint): void {
    const state = this.#states.get(endpointKey(e))
    if (state === undefined) return
    state.agent.closeIdle()
    this.#states.delete(endpointKey(e))
    if (this.#byHash.get(state.hash) === state) this.#byHash.delete(state.hash)
  }
}
