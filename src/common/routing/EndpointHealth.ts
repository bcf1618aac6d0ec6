/**
 * Health of one endpoint, from the outcomes of this instance's requests and those that peers reported. An endpoint that
 * can't be connected to, doesn't respond or fails far more often than the other endpoints is ejected: it gets no new work
 * for a while, then one trial request at a time.
 */
import type { DecayedCounts, OutcomeCounts } from './DecayedCounts.js'
import { OutcomeCounters } from './OutcomeCounters.js'

const MIN_EJECTION_MS = 400
const MAX_EJECTION_MS = 5_000
const MIN_FAILURES = 3 // decayed count; fewer failures may be due to chance
const PRIOR_SUCCESSES = 2 // successes assumed before the first outcome, so that a single failure isn't a failure rate of 1
const EXCESS_FAILURE_RATE = 0.35 // failure rate above the other endpoints' mean that ejects an endpoint
const RESET_FAILURE_RATE = 0.1 // failure rate below which the count of earlier ejections is reset

/**
 * Outcome of one request at an endpoint; `late` means that the answer had not begun by its expected time, `misdirected`
 * that another endpoint listens at the address, so that this one is gone for good.
 */
export type EndpointOutcome = 'answered' | 'failed' | 'unreachable' | 'silent' | 'broken' | 'late' | 'misdirected'

/** Passive health check and ejection of one endpoint. */
export class EndpointHealth {
  readonly #outcomes = new OutcomeCounters()
  #ejectedUntil = -Infinity
  #ejections = 0

  /** Adds the outcomes here to those of the endpoint's service from now on. */
  joinService (service: DecayedCounts, now: number): void {
    this.#outcomes.joinService(service, now)
  }

  /** Ends the counting that `joinService` began. */
  leaveService (now: number): void {
    this.#outcomes.leaveService(now)
  }

  /** Fraction of the recent requests that failed, 0 to 1. */
  failureRate (now: number): number {
    const { failed, ended } = this.#outcomes.combined(now)
    return failed / (ended + PRIOR_SUCCESSES)
  }

  /** Recent outcomes of this instance's requests, for reports to peers. */
  localOutcomes (now: number): OutcomeCounts {
    return this.#outcomes.local(now)
  }

  /** Recent outcomes of this instance and its peers. */
  outcomes (now: number): OutcomeCounts {
    return this.#outcomes.combined(now)
  }

  /** End of the current or last ejection; -Infinity when there was none. */
  get ejectedUntil (): number {
    return this.#ejectedUntil
  }

  /** True when new work may be sent to the endpoint. */
  isAvailable (now: number): boolean {
    return now >= this.#ejectedUntil
  }

  /**
   * Records an outcome of this instance; returns true when the endpoint is ejected as a result. @param othersFailureRate
   * mean failure rate of the service's other endpoints: failures that all endpoints show alike are due to the requests.
   */
  record (outcome: EndpointOutcome, othersFailureRate: number, now: number): boolean {
    if (outcome === 'unreachable') return this.#eject(now)
    if (outcome === 'misdirected') return this.#eject(now, MAX_EJECTION_MS)
    this.#outcomes.record(outcome !== 'answered', now)
    if (outcome === 'silent') return this.#eject(now)
    if (outcome !== 'answered') return this.#ejectOutlier(othersFailureRate, now)
    if (this.failureRate(now) < RESET_FAILURE_RATE) this.#ejections = 0
    return false
  }

  /** Records the outcomes that a peer reported; returns true when the endpoint is ejected as a result. */
  recordPeerReport (peer: string, counts: OutcomeCounts, othersFailureRate: number, now: number): boolean {
    this.#outcomes.recordPeerReport(peer, counts, now)
    return counts.failed >= 1 && this.isAvailable(now) && this.#ejectOutlier(othersFailureRate, now)
  }

  #ejectOutlier (othersFailureRate: number, now: number): boolean {
    const { failed } = this.#outcomes.combined(now)
    return failed >= MIN_FAILURES && this.failureRate(now) > othersFailureRate + EXCESS_FAILURE_RATE && this.#eject(now)
  }

  #eject (now: number, ejectionMs = Math.min(MAX_EJECTION_MS, MIN_EJECTION_MS * 2 ** this.#ejections)): boolean {
    this.#ejections++
    this.#ejectedUntil = now + ejectionMs
    return true
  }
}
