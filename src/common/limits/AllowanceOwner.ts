/**
 * Owner side of account limits: one bucket for each client account, held by the account's owner (rendezvous
 * over the live instances). Entries take whole admissions from it, so the fleet-wide rate is exact while the
 * owner can be reached. A new owner starts with full buckets, so a
 * change of owner admits at most one burst (half a second's worth) above the rate.
 */
import { TokenBucket } from './TokenBucket.js'

const BURST_SEC = 0.5
const IDLE_MS = 60_000

interface AccountBucket {
  readonly bucket: TokenBucket
  usedAt: number
}

export class AllowanceOwner {
  readonly #buckets = new Map<string, AccountBucket>()

  /** Grants up to `count` admissions. @param fraction part of the rate this side of a partition may spend, 0 to 1. */
  grant (account: string, ratePerSec: number, fraction: number, count: number, now: number): number {
    const rate = ratePerSec * fraction
    const burst = Math.max(1, rate * BURST_SEC)
    let entry = this.#buckets.get(account)
    if (entry === undefined) {
      entry = { bucket: new TokenBucket(rate, burst, now), usedAt: now }
      this.#buckets.set(account, entry)
    }
    entry.usedAt = now
    entry.bucket.setRate(rate, burst, now)
    return entry.bucket.takeUpTo(count, now)
  }

  /** Accounts with a bucket. */
  get size (): number {
    return this.#buckets.size
  }

  prune (now: number): void {
    for (const [account, entry] of this.#buckets) {
      if (now - entry.usedAt > IDLE_MS) this.#buckets.delete(account)
    }
  }
}
