/** Token bucket rate limiter. The caller passes the time, in milliseconds. */
export class TokenBucket {
  #rate: number
  #burst: number
  #level: number
  #refilledAt: number

  /** @param ratePerSec tokens added per second. @param burst capacity of the bucket. @param level initial number of tokens. */
  constructor (ratePerSec: number, burst: number, now: number, level = burst) {
    this.#rate = ratePerSec
    this.#burst = burst
    this.#level = level
    this.#refilledAt = now
  }

  /** Changes the rate and the capacity; tokens above the new capacity are discarded. */
  setRate (ratePerSec: number, burst: number, now: number): void {
    this.#refill(now)
    this.#rate = ratePerSec
    this.#burst = burst
    this.#level = Math.min(this.#level, burst)
  }

  /** Removes `count` tokens if that many are available, otherwise none; returns whether it did. */
  take (count: number, now: number): boolean {
    this.#refill(now)
    if (this.#level + 1e-9 < count) return false
    this.#level -= count
    return true
  }

  /** Reserves `count` tokens that are available within `maxWaitMs`. Returns the wait in ms; undefined when it would be longer. */
  reserve (count: number, maxWaitMs: number, now: number): number | undefined {
    const waitMs = this.waitMs(count, now)
    if (waitMs > maxWaitMs) return undefined
    this.#level -= count
    return waitMs
  }

  /** Removes up to `count` whole tokens and returns how many were removed. */
  takeUpTo (count: number, now: number): number {
    this.#refill(now)
    const taken = Math.min(count, Math.floor(this.#level + 1e-9))
    this.#level -= taken
    return taken
  }

  /** Time in ms until `count` tokens are available. */
  waitMs (count: number, now: number): number {
    this.#refill(now)
    return this.#level >= count ? 0 : (count - this.#level) / this.#rate * 1000
  }

  #refill (now: number): void {
    if (now <= this.#refilledAt) return
    this.#level = Math.min(this.#burst, this.#level + (now - this.#refilledAt) / 1000 * this.#rate)
    this.#refilledAt = now
  }
}
