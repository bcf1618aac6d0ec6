/**
 * Health of one endpoint from the outcomes of requests, this instance's own and those that peers told of. An endpoint
 * that can't be connected to, stays silent or fails far more often than its peers takes no new work for a while, then
 * a trial at a time.
 */
import { Outcomes, type OutcomeCounts } from './Outcomes.js'

const FIRST_CLOSE_MS = 400
const MAX_CLOSE_MS = 5_000
const MIN_FAILED = 3 // faded failures below which chance may be the reason
const DOUBT = 2 // outcomes that count as answered before any is known, so that one failure isn't a share of 1
const EXCESS_FAILURES = 0.35 // failure share above the other endpoints' mean that closes an endpoint
const CALM_SHARE = 0.1 // failure share at which an endpoint's earlier closings are forgotten

/** Outcome of one request at an endpoint; `late` is one whose answer hasn't begun when it should have. */
export type EndpointOutcome = 'answered' | 'failed' | 'unreachable' | 'silent' | 'broken' | 'late'

export class EndpointHealth {
  readonly #outcomes = new Outcomes()
  #closedUntil = -Infinity
  #closings = 0

  /** Part of the recent requests that failed, 0 to 1. */
  failureShare (now: number): number {
    const { failed, ended } = this.#outcomes.all(now)
    return failed / (ended + DOUBT)
  }

  /** Recent outcomes that this instance saw, to tell peers. */
  ownOutcomes (now: number): OutcomeCounts {
    return this.#outcomes.own(now)
  }

  /** Recent outcomes that this instance and its peers saw. */
  outcomes (now: number): OutcomeCounts {
    return this.#outcomes.all(now)
  }

  get closedUntil (): number {
    return this.#closedUntil
  }

  /** True when new work may be sent. */
  open (now: number): boolean {
    return now >= this.#closedUntil
  }

  /**
   * Takes an outcome of this instance in. @param othersShare mean failure share of the service's other endpoints:
   * failures that all endpoints show alike come with the requests. Returns true when the endpoint is closed by it.
   */
  note (outcome: EndpointOutcome, othersShare: number, now: number): boolean {
    if (outcome === 'unreachable') return this.#close(now)
    this.#outcomes.note(outcome !== 'answered', now)
    if (outcome === 'silent') return this.#close(now)
    if (outcome !== 'answered') return this.#judge(othersShare, now)
    if (this.failureShare(now) < CALM_SHARE) this.#closings = 0
    return false
  }

  /** Takes in what a peer saw. Returns true when the endpoint is closed by it. */
  told (peer: string, counts: OutcomeCounts, othersShare: number, now: number): boolean {
    this.#outcomes.told(peer, counts, now)
    return counts.failed >= 1 && this.open(now) && this.#judge(othersShare, now)
  }

  #judge (othersShare: number, now: number): boolean {
    const { failed } = this.#outcomes.all(now)
    return failed >= MIN_FAILED && this.failureShare(now) > othersShare + EXCESS_FAILURES && this.#close(now)
  }

  #close (now: number): boolean {
    const closeMs = Math.min(MAX_CLOSE_MS, FIRST_CLOSE_MS * 2 ** this.#closings)
    this.#closings++
    this.#closedUntil = now + closeMs
    return true
  }
}
