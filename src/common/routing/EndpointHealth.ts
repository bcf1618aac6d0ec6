/**
 * Health of one endpoint from the outcomes of requests, this instance's own and those that peers told of. An endpoint
 * that can't be connected to, stays silent or fails far more often than its peers takes no new work for a while, then
 * a trial at a time.
 */
import { OutcomeCounters, type OutcomeCounts } from './OutcomeCounters.js'

const MIN_EJECTION_MS = 400
const MAX_EJECTION_MS = 5_000
const MIN_FAILURES = 3 // faded failures below which chance may be the reason
const PRIOR_SUCCESSES = 2 // outcomes that count as answered before any is known, so that one failure isn't a share of 1
const EXCESS_FAILURE_RATE = 0.35 // failure share above the other endpoints' mean that closes an endpoint
const RESET_FAILURE_RATE = 0.1 // failure share at which an endpoint's earlier closings are forgotten

/** Outcome of one request at an endpoint; `late` is one whose answer hasn't begun when it should have. */
export type EndpointOutcome = 'answered' | 'failed' | 'unreachable' | 'silent' | 'broken' | 'late'

export class EndpointHealth {
  readonly #outcomes = new OutcomeCounters()
  #ejectedUntil = -Infinity
  #ejections = 0

  /** Part of the recent requests that failed, 0 to 1. */
  failureRate (now: number): number {
    const { failed, ended } = this.#outcomes.combined(now)
    return failed / (ended + PRIOR_SUCCESSES)
  }

  /** Recent outcomes that this instance saw, to tell peers. */
  localOutcomes (now: number): OutcomeCounts {
    return this.#outcomes.local(now)
  }

  /** Recent outcomes that this instance and its peers saw. */
  outcomes (now: number): OutcomeCounts {
    return this.#outcomes.combined(now)
  }

  get ejectedUntil (): number {
    return this.#ejectedUntil
  }

  /** True when new work may be sent. */
  isAvailable (now: number): boolean {
    return now >= this.#ejectedUntil
  }

  /**
   * Takes an outcome of this instance in. @param othersFailureRate mean failure share of the service's other endpoints:
   * failures that all endpoints show alike come with the requests. Returns true when the endpoint is closed by it.
   */
  record (outcome: EndpointOutcome, othersFailureRate: number, now: number): boolean {
    if (outcome === 'unreachable') return this.#eject(now)
    this.#outcomes.record(outcome !== 'answered', now)
    if (outcome === 'silent') return this.#eject(now)
    if (outcome !== 'answered') return this.#ejectOutlier(othersFailureRate, now)
    if (this.failureRate(now) < RESET_FAILURE_RATE) this.#ejections = 0
    return false
  }

  /** Takes in what a peer saw. Returns true when the endpoint is closed by it. */
  recordPeerReport (peer: string, counts: OutcomeCounts, othersFailureRate: number, now: number): boolean {
    this.#outcomes.recordPeerReport(peer, counts, now)
    return counts.failed >= 1 && this.isAvailable(now) && this.#ejectOutlier(othersFailureRate, now)
  }

  #ejectOutlier (othersFailureRate: number, now: number): boolean {
    const { failed } = this.#outcomes.combined(now)
    return failed >= MIN_FAILURES && this.failureRate(now) > othersFailureRate + EXCESS_FAILURE_RATE && this.#eject(now)
  }

  #eject (now: number): boolean {
    const ejectionMs = Math.min(MAX_EJECTION_MS, MIN_EJECTION_MS * 2 ** this.#ejections)
    this.#ejections++
    this.#ejectedUntil = now + ejectionMs
    return true
  }
}
