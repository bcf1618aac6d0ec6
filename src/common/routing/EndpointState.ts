/** What this instance knows of one start of an endpoint: its own work there, stated load, health. */
import { hashString } from '../Hash.js'
import type { RendezvousCandidate } from '../Rendezvous.js'
import { EndpointHealth } from './EndpointHealth.js'
import type { Endpoint, StatedLoad } from './Types.js'

const STATED_LOAD_FRESH_MS = 3_000

export class EndpointState implements RendezvousCandidate {
  readonly endpoint: Endpoint
  readonly hash: number
  readonly weight = 1
  readonly health = new EndpointHealth()
  /** Requests of this instance in flight. */
  inFlight = 0
  #stated: StatedLoad | undefined
  #statedAt = -Infinity
  #ownWhenStated = 0

  constructor (endpoint: Endpoint) {
    this.endpoint = endpoint
    this.hash = hashString(endpoint.id)
  }

  /** Takes in the load that an answer stated. */
  stated (load: StatedLoad, now: number): void {
    this.#stated = load
    this.#statedAt = now
    this.#ownWhenStated = this.inFlight
  }

  /** Requests believed to be at the endpoint from all instances. Old statements fade out. */
  load (now: number): number {
    if (this.#stated === undefined) return this.inFlight
    const age = now - this.#statedAt
    if (age > STATED_LOAD_FRESH_MS) return this.inFlight
    const others = Math.max(0, this.#stated.running + this.#stated.waiting - this.#ownWhenStated)
    return others * (1 - age / STATED_LOAD_FRESH_MS) + this.inFlight
  }
}
