/** Owns what this instance knows of each endpoint and its connections; follows the list of endpoints. */
import { Disposable, toDisposable } from '../common/Disposable.js'
import type { ToldLoad } from '../common/generated/PeerDatagram.js'
import { DataCentreReach } from '../common/routing/DataCentreReach.js'
import type { EndpointOutcome } from '../common/routing/EndpointHealth.js'
import { EndpointState } from '../common/routing/EndpointState.js'
import { EndpointTable } from '../common/routing/EndpointTable.js'
import { endpointKey, type Endpoint, type EndpointList } from '../common/routing/Types.js'
import type { IClock } from '../common/Services.js'
import type { Log } from '../router/telemetry/Log.js'
import { EndpointAgent } from './EndpointAgent.js'

const TOLD_FRESH_MS = 1_500
const MAX_TOLD = 48 // keeps a datagram under 1,200 bytes

/** An endpoint that can be sent to. */
export class PooledEndpoint extends EndpointState {
  readonly agent = new EndpointAgent()
}

export class EndpointPool extends Disposable {
  readonly table = new EndpointTable()
  readonly #clock: IClock
  readonly #log: Log
  readonly #states = new Map<string, PooledEndpoint>()
  readonly #reach = new DataCentreReach()

  constructor (clock: IClock, log: Log) {
    super()
    this.#clock = clock
    this.#log = log
    this.own(toDisposable(() => this.#states.forEach(s => s.agent.destroy())))
    this.own(this.table.onChange(({ endpoint, kind, sinceListMs }) => {
      if (kind === 'gone') this.#forget(endpoint)
      this.#log.info({ step: 'endpoints', endpoint: endpoint.id, service: endpoint.service, dataCentre: endpoint.dataCentre, kind, sinceListMs: Math.round(sinceListMs) }, 'endpoint')
    }))
  }

  /** Age of the list in ms; Infinity before the first. */
  get listAgeMs (): number {
    return this.#clock.nowMs() - this.table.listedAt
  }

  /** @param ageMs time since the list was read. */
  take (list: EndpointList, ageMs: number): void {
    const now = this.#clock.nowMs()
    this.table.take(list, now - ageMs, now)
  }

  /** A read of the list failed that began `ageMs` ago. */
  readFailed (ageMs: number): void {
    this.table.readFailed(this.#clock.nowMs() - ageMs)
  }

  /** True when an endpoint of this hash is listed and not leaving. */
  isUsable (hash: number): boolean {
    for (const state of this.#states.values()) {
      if (state.hash === hash) return this.table.get(state.endpoint.id)?.leaving === false
    }
    return false
  }

  /** Loads that endpoints stated a short while ago, the newest first. */
  freshLoads (): ToldLoad[] {
    const now = this.#clock.nowMs()
    const fresh = [...this.#states.values()].filter(s => now - s.statedAt < TOLD_FRESH_MS).sort((a, b) => b.statedAt - a.statedAt)
    return fresh.slice(0, MAX_TOLD).map(s => ({ endpoint: s.hash, requests: s.statedRequests, ageMs: Math.round(now - s.statedAt) }))
  }

  /** Takes in loads that endpoints stated to other instances. */
  told (loads: readonly ToldLoad[]): void {
    const now = this.#clock.nowMs()
    const byHash = new Map([...this.#states.values()].map(s => [s.hash, s]))
    for (const load of loads) byHash.get(load.endpoint)?.stated(load.requests, now - load.ageMs)
  }

  /** Endpoints of a service that may take new work, but those in `tried`; those out of reach only when there is no other. */
  candidates (service: string, tried: ReadonlySet<string>): PooledEndpoint[] {
    const now = this.#clock.nowMs()
    const all = this.table.usable(service).filter(e => !tried.has(e.id)).map(e => this.#state(e))
    const reachable = all.filter(s => !this.#reach.closed(s.endpoint.dataCentre, now))
    return reachable.length > 0 ? reachable : all
  }

  /** Takes the outcome of a request at an endpoint in. */
  note (state: PooledEndpoint, outcome: EndpointOutcome, requestId: string): void {
    const now = this.#clock.nowMs()
    const others = this.table.usable(state.endpoint.service).filter(e => e.id !== state.endpoint.id).map(e => this.#state(e).health.failureShare)
    const othersShare = others.length === 0 ? 0 : others.reduce((a, b) => a + b, 0) / others.length
    this.#noteReach(state.endpoint, outcome, requestId, now)
    if (outcome === 'unreachable' || outcome === 'silent') state.agent.dropIdle()
    if (!state.health.note(outcome, othersShare, now)) return
    const { failureShare, closedUntil } = state.health
    this.#log.info({ step: 'endpoints', endpoint: state.endpoint.id, requestId, outcome, failureShare, othersShare, closedMs: Math.round(closedUntil - now) }, 'endpoint closed to new work')
  }

  /** What fails alike at several endpoints of a data centre is the way there. */
  #noteReach (e: Endpoint, outcome: EndpointOutcome, requestId: string, now: number): void {
    if (outcome !== 'unreachable') {
      if (outcome !== 'silent') this.#reach.reached(e.dataCentre)
      return
    }
    if (!this.#reach.failed(e.dataCentre, e.id, now)) return
    for (const state of this.#states.values()) {
      if (state.endpoint.dataCentre === e.dataCentre) state.agent.dropIdle()
    }
    this.#log.info({ step: 'endpoints', dataCentre: e.dataCentre, endpoint: e.id, requestId }, 'data centre out of reach')
  }

  #state (e: Endpoint): PooledEndpoint {
    const key = endpointKey(e)
    let state = this.#states.get(key)
    if (state === undefined) {
      state = new PooledEndpoint(e)
      this.#states.set(key, state)
    }
    return state
  }

  /** Requests in flight keep their connection; idle ones go. */
  #forget (e: Endpoint): void {
    this.#states.get(endpointKey(e))?.agent.dropIdle()
    this.#states.delete(endpointKey(e))
  }
}
