/**
 * Owner side of account limits: one bucket for each client account, held by the account's owner (rendezvous
 * over the live instances). Entries take whole admissions from it, so the fleet-wide rate is exact while the
 * owner can be reached. A new owner starts with full buckets, so a
 * change of owner admits at most one burst (half a second's worth) above the rate.
 */
import { TokenBucket } from './TokenBucket.js'

const BURST_SEC = 0.5
const IDLE_MS = 60_000

interface Held {
  readonly bucket: TokenBucket
  usedAt: number
}

export class AllowanceOwner {
  readonly #held = new Map<string, Held>()

  /** Grants up to `count` admissions. @param part part of the rate this side of a partition may spend, 0 to 1. */
  grant (account: string, ratePerSec: number, part: number, count: number, now: number): number {
    const rate = ratePerSec * part
    const burst = Math.max(1, rate * BURST_SEC)
    let held = this.#held.get(account)
    if (held === undefined) {
      held = { bucket: new TokenBucket(rate, burst, now), usedAt: now }
      this.#held.set(account, held)
    }
    held.usedAt = now
    held.bucket.setRate(rate, burst, now)
    return held.bucket.takeUpTo(count, now)
  }

  /** Accounts with a bucket. */
  get size (): number {
    return this.#held.size
  }

  prune (now: number): void {
    for (const [account, held] of this.#held) {
      if (now - held.usedAt > IDLE_MS) this.#held.delete(account)
    }
  }
}
