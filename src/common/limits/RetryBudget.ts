/** Limits retries to a part of the requests, so that retries cannot amplify an overload. */
const RETRY_RATIO = 0.1
const MAX_SAVED_RETRIES = 20 // a quiet node may still retry a small burst

export class RetryBudget {
  #saved = MAX_SAVED_RETRIES / 2

  /** Counts a first attempt. */
  request (): void {
    this.#saved = Math.min(MAX_SAVED_RETRIES, this.#saved + RETRY_RATIO)
  }

  /** True when a retry may be made; takes it off the budget. */
  tryRetry (): boolean {
    if (this.#saved < 1) return false
    this.#saved -= 1
    return true
  }
}
