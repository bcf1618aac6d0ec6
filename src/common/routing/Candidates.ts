/** The endpoints of a service among which one attempt of a request may be placed. */
import type { EndpointGroup } from './EndpointGroup.js'
import type { EndpointState } from './EndpointState.js'

/** Conditions on an endpoint that the group doesn't know. */
export interface CandidateFilter {
  /** Ids of endpoints to which the request was sent before. */
  readonly tried: ReadonlySet<string>
  /** False for data centres that can't be connected to. */
  readonly isReachable: (dataCentre: string) => boolean
  /**
   * False for data centres that may not get the request, not as a last resort either; all may when it is absent.
   * @param isHolder true when the endpoint holds the prompt of the request's session.
   */
  readonly isAllowed?: (dataCentre: string, isHolder: boolean) => boolean
}

/** A view of a group at one time; nothing is computed before it is asked for. */
export class Candidates {
  readonly #group: EndpointGroup
  readonly #filter: CandidateFilter
  readonly #now: number

  constructor (group: EndpointGroup, filter: CandidateFilter, now: number) {
    this.#group = group
    this.#filter = filter
    this.#now = now
  }

  /** Number of endpoints before any condition. */
  get size (): number {
    return this.#group.members.length
  }

  /** The endpoint with this hash, which holds the prompt of the request's session, if it is a candidate and not ejected. */
  get (hash: number): EndpointState | undefined {
    const state = this.#group.get(hash)
    return state !== undefined && this.#isAvailable(state, true) ? state : undefined
  }

  /** The first `count` candidates in the order of a key that aren't ejected; those in unreachable data centres only when no other is left. */
  rank (keyHash: number, count: number, accepts?: (state: EndpointState) => boolean): EndpointState[] {
    const ranked = this.#group.rank(keyHash, count, e => this.#isAvailable(e) && accepts?.(e) !== false)
    if (ranked.length > 0 || accepts !== undefined || this.#group.members.some(e => this.#isEligible(e) && this.#isReachable(e))) return ranked
    return this.#group.rank(keyHash, count, e => this.#isEligible(e) && this.#takesRequests(e))
  }

  /** Mean load of the endpoints in reachable data centres. */
  meanLoad (): number {
    return this.#group.meanLoad(this.#now, dataCentre => this.#filter.isReachable(dataCentre) && this.#isAllowed(dataCentre, false))
  }

  /** The endpoint whose ejection ends first, for when all are ejected: a trial request there is preferable to rejecting the request. */
  firstToReadmit (): EndpointState | undefined {
    const eligible = this.#group.members.filter(e => this.#isEligible(e) && isOpen(e, this.#now))
    const reachable = eligible.filter(e => this.#isReachable(e))
    return (reachable.length > 0 ? reachable : eligible).reduce<EndpointState | undefined>(
      (best, e) => best === undefined || e.health.ejectedUntil < best.health.ejectedUntil ? e : best, undefined)
  }

  /** Time in ms until an endpoint at its limit, or in a pause, may take a further request; undefined when there is none. */
  openWaitMs (): number | undefined {
    const deferred = this.#group.members.filter(e => this.#isAllowed(e.endpoint.dataCentre, false) && e.isDeferred(this.#now) && !e.isLeaving)
    const waits = deferred.map(e => e.opensAt - this.#now)
    return waits.length === 0 ? undefined : Math.min(...waits)
  }

  #isAvailable (state: EndpointState, isHolder = false): boolean {
    return this.#isEligible(state, isHolder) && this.#takesRequests(state) && this.#isReachable(state)
  }

  /** True for an endpoint that the request wasn't sent to and may be sent to. */
  #isEligible (state: EndpointState, isHolder = false): boolean {
    return !this.#filter.tried.has(state.endpoint.id) && this.#isAllowed(state.endpoint.dataCentre, isHolder)
  }

  #isAllowed (dataCentre: string, isHolder: boolean): boolean {
    return this.#filter.isAllowed?.(dataCentre, isHolder) !== false
  }

  /** True for an endpoint that isn't ejected and takes requests by its own word. */
  #takesRequests (state: EndpointState): boolean {
    return state.health.isAvailable(this.#now) && isOpen(state, this.#now)
  }

  #isReachable (state: EndpointState): boolean {
    return this.#filter.isReachable(state.endpoint.dataCentre)
  }
}

/** False for an endpoint that is at its limit, asked for a pause or said that it is leaving. */
function isOpen (state: EndpointState, now: number): boolean {
  return !state.isDeferred(now) && !state.isLeaving
}
