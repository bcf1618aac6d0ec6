/** Token bucket on an injected clock. */
export class TokenBucket {
  #rate: number
  #burst: number
  #level: number
  #refilledAt: number

  /** @param ratePerSec tokens that come in a second; @param burst level at most. */
  constructor (ratePerSec: number, burst: number, now: number, level = burst) {
    this.#rate = ratePerSec
    this.#burst = burst
    this.#level = level
    this.#refilledAt = now
  }

  setRate (ratePerSec: number, burst: number, now: number): void {
    this.#refill(now)
    this.#rate = ratePerSec
    this.#burst = burst
    this.#level = Math.min(this.#level, burst)
  }

  /** Takes `count` whole or not at all. */
  take (count: number, now: number): boolean {
    this.#refill(now)
    if (this.#level + 1e-9 < count) return false
    this.#level -= count
    return true
  }

  /** Takes `count` ahead of time when they come in within `maxWaitMs`; returns the time to wait. */
  reserve (count: number, maxWaitMs: number, now: number): number | undefined {
    const waitMs = this.waitMs(count, now)
    if (waitMs > maxWaitMs) return undefined
    this.#level -= count
    return waitMs
  }

  /** Takes up to `count`; returns what was there, in whole tokens. */
  takeUpTo (count: number, now: number): number {
    this.#refill(now)
    const taken = Math.min(count, Math.floor(this.#level + 1e-9))
    this.#level -= taken
    return taken
  }

  /** Time until `count` tokens will be there. */
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
