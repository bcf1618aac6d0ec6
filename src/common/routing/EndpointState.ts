/** What this instance knows of one start of an endpoint: its own work there, stated load, health. */
import { hashString } from '../Hash.js'
import type { RendezvousCandidate } from '../Rendezvous.js'
import { EndpointHealth } from './EndpointHealth.js'
import type { Endpoint } from './Types.js'

const STATED_FRESH_MS = 1_500 // a statement counts in full this long
const STATED_FADE_MS = 4_000 // and not at all after this

export class EndpointState implements RendezvousCandidate {
  readonly endpoint: Endpoint
  readonly hash: number
  readonly weight = 1
  readonly health = new EndpointHealth()
  /** Requests of this instance in flight. */
  inFlight = 0
  #statedRequests = 0
  #statedAt = -Infinity
  #ownWhenStated = 0

  constructor (endpoint: Endpoint) {
    this.endpoint = endpoint
    this.hash = hashString(endpoint.id)
  }

  /** Requests at the endpoint as last stated. */
  get statedRequests (): number {
    return this.#statedRequests
  }

  /** When that was stated; -Infinity when never. */
  get statedAt (): number {
    return this.#statedAt
  }

  /** Takes in how many requests run and wait at the endpoint, as it stated at `at` to this instance or to another. */
  stated (requests: number, at: number): void {
    if (at <= this.#statedAt) return
    this.#statedRequests = requests
    this.#statedAt = at
    this.#ownWhenStated = this.inFlight
  }

  /** Requests believed to be at the endpoint from all instances. Old statements fade out. */
  load (now: number): number {
    const fade = Math.min(1, Math.max(0, (STATED_FADE_MS - (now - this.#statedAt)) / (STATED_FADE_MS - STATED_FRESH_MS)))
    const others = Math.max(0, this.#statedRequests - this.#ownWhenStated)
    return others * fade + this.inFlight
  }
}
