/** What this instance knows of one start of an endpoint: its own work there, stated load, health. */
import { hashString } from '../Hash.js'
import type { RendezvousCandidate } from '../Rendezvous.js'
import { EndpointHealth } from './EndpointHealth.js'
import type { Endpoint } from './Types.js'

const REPORT_FRESH_MS = 1_500 // a statement counts in full this long
const REPORT_EXPIRY_MS = 4_000 // and not at all after this

export class EndpointState implements RendezvousCandidate {
  readonly endpoint: Endpoint
  readonly hash: number
  readonly weight = 1
  readonly health = new EndpointHealth()
  /** Requests of this instance in flight. */
  inFlight = 0
  #reportedRequests = 0
  #reportedAt = -Infinity
  #inFlightAtReport = 0

  constructor (endpoint: Endpoint) {
    this.endpoint = endpoint
    this.hash = hashString(endpoint.id)
  }

  /** Requests at the endpoint as last stated. */
  get reportedRequests (): number {
    return this.#reportedRequests
  }

  /** When that was stated; -Infinity when never. */
  get reportedAt (): number {
    return this.#reportedAt
  }

  /** Takes in how many requests run and wait at the endpoint, as it stated at `at` to this instance or to another. */
  recordReport (requests: number, at: number): void {
    if (at <= this.#reportedAt) return
    this.#reportedRequests = requests
    this.#reportedAt = at
    this.#inFlightAtReport = this.inFlight
  }

  /** Requests believed to be at the endpoint from all instances. Old statements fade out. */
  load (now: number): number {
    const weight = Math.min(1, Math.max(0, (REPORT_EXPIRY_MS - (now - this.#reportedAt)) / (REPORT_EXPIRY_MS - REPORT_FRESH_MS)))
    const others = Math.max(0, this.#reportedRequests - this.#inFlightAtReport)
    return others * weight + this.inFlight
  }
}
