/**
 * State of one incarnation of an endpoint, as seen by this instance: its own requests in flight, the load that the
 * endpoint reported, and health.
 */
import { hashString } from '../Hash.js'
import type { RendezvousCandidate } from '../Rendezvous.js'
import type { DecayedCounts } from './DecayedCounts.js'
import { EndpointHealth } from './EndpointHealth.js'
import type { Endpoint } from './Types.js'
import { WarmUp } from './WarmUp.js'

const REPORT_FRESH_MS = 1_500 // a report has full weight up to this age
const REPORT_EXPIRY_MS = 4_000 // and none from this age on
const LIMIT_TTL_MS = 30_000 // without an answer for this long, the endpoint is asked again without a limit
const REPORT_HALF_WEIGHT_MS = (REPORT_FRESH_MS + REPORT_EXPIRY_MS) / 2 // in sums a report counts fully up to this age, then not at all

/** Totals over a group of endpoints, which each endpoint keeps up to date. */
export interface ILoadTotals {
  /** Adds to the requests of this instance in flight at an endpoint. */
  addInFlight (state: EndpointState, change: number): void
  /** Replaces the requests of other instances that an endpoint reported. */
  replaceReport (state: EndpointState, requests: number, expiresAt: number): void
}

/** Limit that an endpoint named for requests from all instances together. */
export interface RequestLimit {
  /** Undefined when the endpoint named none. */
  readonly requestsPerSec: number | undefined
  /** Time of the answer; -Infinity before the first. */
  readonly at: number
}

/** In-flight requests, reported load and health of one endpoint. */
export class EndpointState implements RendezvousCandidate {
  readonly endpoint: Endpoint
  readonly hash: number
  readonly weight = 1
  readonly health = new EndpointHealth()
  readonly warmUp = new WarmUp()
  /** Time before which the endpoint's limit takes no further request. */
  deferredUntil = -Infinity
  #pausedUntil = -Infinity
  #leaving = false
  #limit: RequestLimit = { requestsPerSec: undefined, at: -Infinity }
  #totals: ILoadTotals | undefined
  #inFlight = 0
  #reportedRequests = 0
  #reportedAt = -Infinity
  /** Requests of other instances in the last report. */
  #othersReported = 0

  constructor (endpoint: Endpoint) {
    this.endpoint = endpoint
    this.hash = hashString(endpoint.id)
  }

  /** Number of requests of this instance in flight. */
  get inFlight (): number {
    return this.#inFlight
  }

  set inFlight (count: number) {
    this.#totals?.addInFlight(this, count - this.#inFlight)
    this.#inFlight = count
  }

  /** Number of requests in the endpoint's last report. */
  get reportedRequests (): number {
    return this.#reportedRequests
  }

  /** Time of the last report; -Infinity when there is none. */
  get reportedAt (): number {
    return this.#reportedAt
  }

  /** Counts this endpoint in the totals of its service from now on. */
  joinGroup (totals: ILoadTotals, failures: DecayedCounts, now: number): void {
    this.#totals = totals
    totals.addInFlight(this, this.#inFlight)
    if (this.#reportedAt > -Infinity) totals.replaceReport(this, this.#othersReported, this.#reportedAt + REPORT_HALF_WEIGHT_MS)
    this.health.joinService(failures, now)
  }

  /** Ends the counting that `joinGroup` began. */
  leaveGroup (now: number): void {
    this.#totals = undefined
    this.health.leaveService(now)
  }

  /**
   * Records the number of requests running and waiting, as the endpoint reported at `at` to this instance or to another;
   * returns false when a later report is known.
   */
  recordReport (requests: number, at: number): boolean {
    if (at <= this.#reportedAt) return false
    this.#reportedRequests = requests
    this.#reportedAt = at
    this.#othersReported = Math.max(0, requests - this.#inFlight)
    this.#totals?.replaceReport(this, this.#othersReported, at + REPORT_HALF_WEIGHT_MS)
    return true
  }

  /** Limit in the endpoint's last answer that is known. */
  get limit (): RequestLimit {
    return this.#limit
  }

  /** Requests a second that the endpoint named as its limit; undefined when it named none lately. */
  namedLimitPerSec (now: number): number | undefined {
    return now - this.#limit.at < LIMIT_TTL_MS ? this.#limit.requestsPerSec : undefined
  }

  /** Requests a second that the endpoint takes from all instances together, by its own word or while it is cold; undefined when nothing limits them. */
  limitPerSec (now: number): number | undefined {
    const named = this.namedLimitPerSec(now)
    const cold = this.warmUp.requestsPerSec(now)
    return named === undefined || cold === undefined ? named ?? cold : Math.min(named, cold)
  }

  /** Time before which the endpoint takes no further request of this instance: its limit is used up, or it asked for a pause. */
  get opensAt (): number {
    return Math.max(this.deferredUntil, this.#pausedUntil)
  }

  /** True before `opensAt`. */
  isDeferred (now: number): boolean {
    return now < this.opensAt
  }

  /** True once the endpoint itself said that it is leaving, whatever the published list says. */
  get isLeaving (): boolean {
    return this.#leaving
  }

  /** Records that the endpoint said that it is leaving; returns false when that was known. */
  recordLeaving (): boolean {
    const isNews = !this.#leaving
    this.#leaving = true
    return isNews
  }

  /** Records a pause that the endpoint asked for; returns false during one that ends later. */
  recordPause (until: number): boolean {
    if (until <= this.#pausedUntil) return false
    this.#pausedUntil = until
    return true
  }

  /** Records the limit that the endpoint named in an answer at `at`, undefined for none; returns false when a later answer is known. */
  recordLimit (requestsPerSec: number | undefined, at: number): boolean {
    if (at <= this.#limit.at) return false
    const isEnd = requestsPerSec === undefined && this.#limit.requestsPerSec !== undefined
    this.#limit = { requestsPerSec, at }
    if (isEnd) this.deferredUntil = -Infinity
    return true
  }

  /** Estimated requests at the endpoint from all instances. The weight of a report decreases with its age. */
  load (now: number): number {
    const weight = Math.min(1, Math.max(0, (REPORT_EXPIRY_MS - (now - this.#reportedAt)) / (REPORT_EXPIRY_MS - REPORT_FRESH_MS)))
    return this.#othersReported * weight + this.#inFlight
  }
}
