/** Limits retries to a part of the requests, so that retries cannot amplify an overload. */
const RETRY_RATIO = 0.1
const RETRY_BURST = 20 // a quiet node may still retry a small burst

export class RetryBudget {
  readonly #ratio: number
  #burst: number
  #tokens: number

  /** @param ratio retries earned by each request; @param burst retries that a quiet node saves up at most. */
  constructor (ratio = RETRY_RATIO, burst = RETRY_BURST) {
    this.#ratio = ratio
    this.#burst = burst
    this.#tokens = burst / 2
  }

  /** Changes how many retries are saved up at most, as the instances that share a limit come and go. */
  setBurst (burst: number): void {
    this.#burst = burst
    this.#tokens = Math.min(this.#tokens, burst)
  }

  /** Counts a first attempt. */
  recordRequest (): void {
    this.#tokens = Math.min(this.#burst, this.#tokens + this.#ratio)
  }

  /** True when a retry may be made; takes it off the budget. */
  tryRetry (): boolean {
    if (this.#tokens < 1) return false
    this.#tokens -= 1
    return true
  }
}
