/**
 * The endpoints of one service that accept new requests, with the totals that a choice among them needs. The totals are
 * kept up to date where an endpoint's state changes: neither a request nor a peer's report walks all endpoints.
 */
import { RendezvousList } from '../RendezvousList.js'
import { DecayedCounts } from './DecayedCounts.js'
import type { EndpointState, ILoadTotals } from './EndpointState.js'

const PRIOR_SUCCESSES = 2 // successes assumed for each endpoint, as in its own failure rate

/** Sum of the loads of the endpoints in one data centre. */
interface DataCentreLoad {
  requests: number
  endpoints: number
}

/** Requests that an endpoint reported, as counted in the sum of its data centre. */
interface CountedReport {
  readonly requests: number
  readonly expiresAt: number
}

export class EndpointGroup implements ILoadTotals {
  readonly #failures = new DecayedCounts()
  readonly #loads = new Map<string, DataCentreLoad>()
  /** Reports that have not expired, in order of receipt. */
  readonly #reports = new Map<EndpointState, CountedReport>()
  readonly #byHash = new Map<number, EndpointState>()
  #ranking = new RendezvousList<EndpointState>([], e => e.hash)

  constructor (members: readonly EndpointState[] = [], now = 0) {
    this.replaceMembers(members, now)
  }

  /** The endpoints, in no particular order. */
  get members (): readonly EndpointState[] {
    return this.#ranking.items
  }

  /** Replaces the endpoints, and computes all totals anew. */
  replaceMembers (members: readonly EndpointState[], now: number): void {
    for (const e of this.members) e.leaveGroup(now)
    this.#loads.clear()
    this.#reports.clear()
    this.#byHash.clear()
    this.#failures.set(0, 0, now)
    this.#ranking = new RendezvousList(members, e => e.hash)
    const byReport = [...members].sort((a, b) => a.reportedAt < b.reportedAt ? -1 : 1) // reports expire in this order
    for (const e of byReport) {
      this.#byHash.set(e.hash, e)
      this.#loadOf(e).endpoints++
      e.joinGroup(this, this.#failures, now)
    }
  }

  /** The endpoint with this hash. */
  get (hash: number): EndpointState | undefined {
    return this.#byHash.get(hash)
  }

  /** The first `count` accepted endpoints in the order of a key. */
  rank (keyHash: number, count: number, accepts: (e: EndpointState) => boolean): EndpointState[] {
    return this.#ranking.rank(keyHash, count, accepts)
  }

  /** Mean load of the endpoints in the data centres for which `counts` returns true; 0 when there are none. */
  meanLoad (now: number, counts: (dataCentre: string) => boolean): number {
    this.#expireReports(now)
    let requests = 0
    let endpoints = 0
    for (const [dataCentre, load] of this.#loads) {
      if (!counts(dataCentre)) continue
      requests += load.requests
      endpoints += load.endpoints
    }
    return requests / Math.max(1, endpoints)
  }

  /** Failure rate of the other endpoints, taken together. */
  othersFailureRate (state: EndpointState, now: number): number {
    const isMember = this.#byHash.get(state.hash) === state
    const own = isMember ? state.health.outcomes(now) : { failed: 0, ended: 0 }
    const others = this.members.length - (isMember ? 1 : 0)
    const failed = Math.max(0, this.#failures.failed(now) - own.failed)
    const ended = Math.max(0, this.#failures.ended(now) - own.ended)
    return failed / (ended + PRIOR_SUCCESSES * Math.max(1, others))
  }

  addInFlight (state: EndpointState, change: number): void {
    this.#loadOf(state).requests += change
  }

  replaceReport (state: EndpointState, requests: number, expiresAt: number): void {
    const before = this.#reports.get(state)?.requests ?? 0
    this.#reports.delete(state) // re-inserted at the end, which keeps the map in order of receipt
    this.#reports.set(state, { requests, expiresAt })
    this.#loadOf(state).requests += requests - before
  }

  #expireReports (now: number): void {
    for (const [state, report] of this.#reports) {
      if (report.expiresAt > now) return
      this.#reports.delete(state)
      this.#loadOf(state).requests -= report.requests
    }
  }

  #loadOf (state: EndpointState): DataCentreLoad {
    const { dataCentre } = state.endpoint
    const load = this.#loads.get(dataCentre) ?? { requests: 0, endpoints: 0 }
    this.#loads.set(dataCentre, load)
    return load
  }
}
