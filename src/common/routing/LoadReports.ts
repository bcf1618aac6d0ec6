/**
 * Chooses what an instance tells its peers of endpoints: those at which its own requests failed, then the loads that it
 * learned last. Choosing costs the same at any number of endpoints.
 */
import type { GossipedLoad } from '../generated/PeerDatagram.js'
import type { EndpointState } from './EndpointState.js'

/** Age from which a reported load isn't passed on. */
export const LOAD_REPORT_TTL_MS = 1_500
/** Decayed count of outcomes from which they are worth reporting. */
export const MIN_REPORTED_OUTCOMES = 0.3
const MAX_LOAD_REPORTS = 48 // keeps a datagram under 1,200 bytes
const MAX_COMPARED = 2 * MAX_LOAD_REPORTS
const RECENT_CHANGES = 256
const MAX_REPORTED_AGE_MS = 3_600_000

/** The endpoints of which something was learned lately. */
export class LoadReports {
  /** Ring of the latest changes; `#next` is the oldest. */
  readonly #changed: EndpointState[] = []
  #next = 0
  readonly #failing = new Set<EndpointState>()

  /** Records that a load or an outcome of the endpoint was learned. */
  recordChange (state: EndpointState): void {
    this.#changed[this.#next] = state
    this.#next = (this.#next + 1) % RECENT_CHANGES
  }

  /** Records that a request of this instance failed at the endpoint. */
  recordFailure (state: EndpointState): void {
    this.#failing.add(state)
  }

  /** Forgets an endpoint that isn't listed any more. */
  remove (state: EndpointState): void {
    this.#failing.delete(state)
  }

  /** The reports to send: failing endpoints first, then the most recent loads. @param isListed false for endpoints that are gone. */
  select (now: number, isListed: (state: EndpointState) => boolean): GossipedLoad[] {
    const reports = [...this.#failingReports(now)]
    const seen = new Set(this.#failing)
    for (let i = 1; i <= this.#changed.length && seen.size < MAX_COMPARED; i++) {
      const state = this.#changed[(this.#next - i + RECENT_CHANGES) % RECENT_CHANGES]
      if (state === undefined || seen.has(state) || !isListed(state)) continue
      seen.add(state)
      const report = createReport(state, now)
      if (report.ageMs < LOAD_REPORT_TTL_MS || report.ended >= MIN_REPORTED_OUTCOMES) reports.push(report)
    }
    return reports.sort((a, b) => b.failed - a.failed || a.ageMs - b.ageMs).slice(0, MAX_LOAD_REPORTS)
  }

  /** Reports of the endpoints at which requests failed; drops those whose failures have decayed. */
  * #failingReports (now: number): Iterable<GossipedLoad> {
    for (const state of this.#failing) {
      const report = createReport(state, now)
      if (report.ended < MIN_REPORTED_OUTCOMES) this.#failing.delete(state)
      else yield report
    }
  }
}

function createReport (state: EndpointState, now: number): GossipedLoad {
  const ageMs = Math.round(Math.min(MAX_REPORTED_AGE_MS, now - state.reportedAt))
  return { endpoint: state.hash, requests: state.reportedRequests, ageMs, ...state.health.localOutcomes(now) }
}
