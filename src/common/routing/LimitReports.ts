/** Chooses what an instance tells its peers of the limits that endpoints named: those in force, and for a while those that ended. */
import type { GossipedLimit } from '../generated/PeerDatagram.js'
import type { EndpointState } from './EndpointState.js'

const ENDED_TTL_MS = 10_000 // by then all peers know that a limit ended
const MAX_REPORTS = 32 // keeps a datagram under 1,400 bytes

/** The endpoints that name a limit, or did so lately. */
export class LimitReports {
  readonly #limited = new Set<EndpointState>()

  /** Records that the endpoint named a limit. */
  add (state: EndpointState): void {
    this.#limited.add(state)
  }

  /** Forgets an endpoint that isn't listed any more. */
  remove (state: EndpointState): void {
    this.#limited.delete(state)
  }

  /** The reports to send, the most recent first. */
  select (now: number): GossipedLimit[] {
    const reports: GossipedLimit[] = []
    for (const state of this.#limited) {
      if (state.namedLimitPerSec(now) === undefined && now - state.limit.at > ENDED_TTL_MS) this.#limited.delete(state)
      else reports.push(createReport(state, now))
    }
    return reports.sort((a, b) => a.ageMs - b.ageMs).slice(0, MAX_REPORTS)
  }
}

function createReport (state: EndpointState, now: number): GossipedLimit {
  const { requestsPerSec, at } = state.limit
  return { endpoint: state.hash, startedAtMs: state.endpoint.startedAtMs, requestsPerSec: requestsPerSec ?? -1, ageMs: Math.max(0, Math.round(now - at)) }
}
