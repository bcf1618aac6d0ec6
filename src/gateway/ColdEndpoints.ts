/**
 * The cold endpoints that this gateway knows: applies each list and configuration to the warm-up of the endpoints, and logs each that
 * becomes cold or warm. An endpoint becomes warm as time passes; that is logged with the next list, requests go there at once.
 */
import type { EndpointState } from '../common/routing/EndpointState.js'
import type { EndpointList, WarmUpLimit } from '../common/routing/Types.js'
import type { Log } from '../router/telemetry/Log.js'

export class ColdEndpoints {
  readonly #log: Log
  #limits: ReadonlyMap<string, WarmUpLimit> = new Map()
  /** Endpoints that the last list has as cold, with a remaining time. */
  #listed: readonly EndpointState[] = []
  #listedAt = -Infinity
  readonly #cold = new Set<EndpointState>()

  constructor (log: Log) {
    this.#log = log
  }

  /** Number of cold endpoints when the last list was read. */
  get size (): number {
    return this.#cold.size
  }

  /** Sets the services' limits by their ids, also for the endpoints that are known. */
  setLimits (limits: ReadonlyMap<string, WarmUpLimit>, known: Iterable<EndpointState>, now: number): void {
    this.#limits = limits
    for (const state of known) {
      state.warmUp.limit = limits.get(state.endpoint.service)
      this.#update(state, now)
    }
  }

  /** Adds a new endpoint. @param hasStarted true when it joined after the first list: it has just started. */
  add (state: EndpointState, hasStarted: boolean, now: number): void {
    state.warmUp.limit = this.#limits.get(state.endpoint.service)
    if (hasStarted) state.warmUp.recordJoin(now)
  }

  /** Applies a list that was read at `listedAt`. */
  recordList ({ endpoints }: EndpointList, stateOf: (id: string) => EndpointState | undefined, listedAt: number, now: number): void {
    const listed: EndpointState[] = []
    this.#listedAt = listedAt
    for (const e of endpoints) {
      const state = stateOf(e.id)
      if (state === undefined) continue
      state.warmUp.recordEntry(e.warmUpMs, listedAt, now)
      if (e.warmUpMs !== undefined && e.warmUpMs > 0) listed.push(state)
      if (state.warmUp.limit !== undefined) this.#update(state, now)
    }
    this.#listed = listed
  }

  /** Records that the list was the same at `listedAt`, but for the remaining times. */
  recordSameList (listedAt: number, now: number): void {
    this.#listedAt = Math.max(this.#listedAt, listedAt)
    for (const state of this.#listed) state.warmUp.recordStillCold(listedAt)
    for (const state of new Set([...this.#listed, ...this.#cold])) this.#update(state, now)
  }

  /** Forgets an endpoint that isn't listed any more. */
  remove (state: EndpointState): void {
    this.#cold.delete(state)
    this.#listed = this.#listed.filter(other => other !== state)
  }

  #update (state: EndpointState, now: number): void {
    const isCold = state.warmUp.isCold(now)
    if (isCold === this.#cold.has(state)) return
    if (isCold) this.#cold.add(state)
    else this.#cold.delete(state)
    const { endpoint: { id, service, startedAtMs }, warmUp } = state
    const coldMs = isCold ? Math.round(warmUp.coldUntil - now) : 0
    const log = { step: 'endpoints', endpoint: id, service, startedAtMs, coldMs, requestsPerSec: warmUp.limit?.requestsPerSec }
    this.#log.info({ ...log, listAgeMs: Math.round(now - this.#listedAt) }, isCold ? 'endpoint is cold' : 'endpoint is warm')
  }
}
