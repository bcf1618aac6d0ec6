/**
 * Owner side of account rate limits. Each client account has one token bucket, on the instance that rendezvous hashing
 * selects among the live instances. Entries draw whole admissions from it, so the fleet-wide rate is exact while the
 * owner is reachable. A new owner starts with full buckets, so a change of owner admits at most one burst (half a
 * second's worth) above the rate.
 */
import { TokenBucket } from './TokenBucket.js'

const BURST_SEC = 0.5
const IDLE_MS = 60_000

interface AccountBucket {
  readonly bucket: TokenBucket
  usedAt: number
}

/** Token buckets of the client accounts that one instance owns. */
export class AllowanceOwner {
  readonly #buckets = new Map<string, AccountBucket>()
  readonly #startsFull: boolean
  readonly #burstSec: number

  /** @param startsFull false when a change of owner must not admit a burst. @param burstSec time for which unused admissions are kept; one always is. */
  constructor (startsFull = true, burstSec = BURST_SEC) {
    this.#startsFull = startsFull
    this.#burstSec = burstSec
  }

  /** Grants up to `count` admissions. @param fraction fraction of the rate available to this side of a partition, 0 to 1. */
  grant (account: string, ratePerSec: number, fraction: number, count: number, now: number): number {
    const rate = ratePerSec * fraction
    const burst = Math.max(1, rate * this.#burstSec)
    let entry = this.#buckets.get(account)
    if (entry === undefined) {
      entry = { bucket: new TokenBucket(rate, burst, now, this.#startsFull ? burst : 0), usedAt: now }
      this.#buckets.set(account, entry)
    }
    entry.usedAt = now
    entry.bucket.setRate(rate, burst, now)
    return entry.bucket.takeUpTo(count, now)
  }

  /** Time in ms until the next admission of an account; 0 when it has no bucket. */
  waitMs (account: string, now: number): number {
    return this.#buckets.get(account)?.bucket.waitMs(1, now) ?? 0
  }

  /** Number of accounts with a bucket. */
  get size (): number {
    return this.#buckets.size
  }

  /** Removes buckets that were not used for a minute. */
  prune (now: number): void {
    for (const [account, entry] of this.#buckets) {
      if (now - entry.usedAt > IDLE_MS) this.#buckets.delete(account)
    }
  }
}
