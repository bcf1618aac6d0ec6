/**
 * State of one incarnation of an endpoint, as seen by this instance: its own requests in flight, the load that the
 * endpoint reported, and health.
 */
import { hashString } from '../Hash.js'
import type { RendezvousCandidate } from '../Rendezvous.js'
import { EndpointHealth } from './EndpointHealth.js'
import type { Endpoint } from './Types.js'

const REPORT_FRESH_MS = 1_500 // a report has full weight up to this age
const REPORT_EXPIRY_MS = 4_000 // and none from this age on

/** In-flight requests, reported load and health of one endpoint. */
export class EndpointState implements RendezvousCandidate {
  readonly endpoint: Endpoint
  readonly hash: number
  readonly weight = 1
  readonly health = new EndpointHealth()
  /** Number of requests of this instance in flight. */
  inFlight = 0
  #reportedRequests = 0
  #reportedAt = -Infinity
  #inFlightAtReport = 0

  constructor (endpoint: Endpoint) {
    this.endpoint = endpoint
    this.hash = hashString(endpoint.id)
  }

  /** Number of requests in the endpoint's last report. */
  get reportedRequests (): number {
    return this.#reportedRequests
  }

  /** Time of the last report; -Infinity when there is none. */
  get reportedAt (): number {
    return this.#reportedAt
  }

  /** Records the number of requests running and waiting, as the endpoint reported at `at` to this instance or to another. */
  recordReport (requests: number, at: number): void {
    if (at <= this.#reportedAt) return
    this.#reportedRequests = requests
    this.#reportedAt = at
    this.#inFlightAtReport = this.inFlight
  }

  /** Estimated requests at the endpoint from all instances. The weight of a report decreases with its age. */
  load (now: number): number {
    const weight = Math.min(1, Math.max(0, (REPORT_EXPIRY_MS - (now - this.#reportedAt)) / (REPORT_EXPIRY_MS - REPORT_FRESH_MS)))
    const others = Math.max(0, this.#reportedRequests - this.#inFlightAtReport)
    return others * weight + this.inFlight
  }
}
