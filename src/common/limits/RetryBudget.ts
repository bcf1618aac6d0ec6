/** Limits retries to a part of the requests, so that retries cannot amplify an overload. */
const RETRY_RATIO = 0.1
const MAX_SAVED_RETRIES = 20 // a quiet node may still retry a small burst

export class RetryBudget {
  readonly #ratio: number
  #maxSaved: number
  #saved: number

  /** @param ratio retries earned by each request; @param maxSaved retries that a quiet node saves up at most. */
  constructor (ratio = RETRY_RATIO, maxSaved = MAX_SAVED_RETRIES) {
    this.#ratio = ratio
    this.#maxSaved = maxSaved
    this.#saved = maxSaved / 2
  }

  /** Changes how many retries are saved up at most, as the instances that share a limit come and go. */
  setMaxSaved (maxSaved: number): void {
    this.#maxSaved = maxSaved
    this.#saved = Math.min(this.#saved, maxSaved)
  }

  /** Counts a first attempt. */
  request (): void {
    this.#saved = Math.min(this.#maxSaved, this.#saved + this.#ratio)
  }

  /** True when a retry may be made; takes it off the budget. */
  tryRetry (): boolean {
    if (this.#saved < 1) return false
    this.#saved -= 1
    return true
  }
}
