/**
 * Health of one endpoint from the outcomes of its requests. An endpoint that can't be connected to, stays silent or
 * fails far more often than its peers takes no new work for a while, then a trial at a time.
 */

const FIRST_CLOSE_MS = 400
const MAX_CLOSE_MS = 5_000
const SAMPLE_DECAY = 0.85 // weight of the past when an outcome comes in; about the last 7 outcomes count
const MIN_SAMPLES = 3
const EXCESS_FAILURES = 0.35 // failure share above the other endpoints' mean that closes an endpoint

/** Outcome of one request at an endpoint. */
export type EndpointOutcome = 'answered' | 'failed' | 'unreachable' | 'silent' | 'broken'

export class EndpointHealth {
  #closedUntil = -Infinity
  #closings = 0
  #failureShare = 0
  #samples = 0

  /** Decayed part of requests that ended in failure, 0 to 1. */
  get failureShare (): number {
    return this.#failureShare
  }

  get closedUntil (): number {
    return this.#closedUntil
  }

  /** True when new work may be sent. */
  open (now: number): boolean {
    return now >= this.#closedUntil
  }

  /**
   * Takes an outcome in. @param othersShare mean failure share of the service's other endpoints: failures that all
   * endpoints show alike come with the requests. Returns true when the endpoint is closed by it.
   */
  note (outcome: EndpointOutcome, othersShare: number, now: number): boolean {
    if (outcome === 'unreachable') return this.#close(now)
    const failed = outcome === 'answered' ? 0 : 1
    this.#failureShare = this.#failureShare * SAMPLE_DECAY + failed * (1 - SAMPLE_DECAY)
    this.#samples++
    if (failed === 0) {
      if (this.#failureShare < EXCESS_FAILURES / 2) this.#closings = 0
      return false
    }
    if (outcome === 'silent') return this.#close(now)
    return this.#samples >= MIN_SAMPLES && this.#failureShare > othersShare + EXCESS_FAILURES && this.#close(now)
  }

  /** Takes new work again: its data centre can be reached. */
  reopen (): void {
    this.#closedUntil = -Infinity
  }

  #close (now: number): boolean {
    const closeMs = Math.min(MAX_CLOSE_MS, FIRST_CLOSE_MS * 2 ** this.#closings)
    this.#closings++
    this.#closedUntil = now + closeMs
    return true
  }
}
