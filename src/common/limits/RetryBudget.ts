/** Limits retries to a fraction of the requests, so that retries cannot amplify an overload. */
const RETRY_RATIO = 0.1
const RETRY_BURST = 20 // an idle instance can still retry a small burst

/** Token bucket of retries that is refilled by requests. */
export class RetryBudget {
  readonly #ratio: number
  #burst: number
  #tokens: number

  /** @param ratio retries added to the budget by each request. @param burst capacity of the budget, in retries. */
  constructor (ratio = RETRY_RATIO, burst = RETRY_BURST) {
    this.#ratio = ratio
    this.#burst = burst
    this.#tokens = burst / 2
  }

  /** Changes the capacity, as instances that share a limit join and leave. */
  setBurst (burst: number): void {
    this.#burst = burst
    this.#tokens = Math.min(this.#tokens, burst)
  }

  /** Counts the first attempt of a request. */
  recordRequest (): void {
    this.#tokens = Math.min(this.#burst, this.#tokens + this.#ratio)
  }

  /** Takes one retry from the budget; returns false when the budget is used up. */
  tryRetry (): boolean {
    if (this.#tokens < 1) return false
    this.#tokens -= 1
    return true
  }
}
