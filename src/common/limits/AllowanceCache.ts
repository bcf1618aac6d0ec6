/**
 * Rate limit admissions of client accounts, cached on the entry instance. They are prefetched from the account's owner;
 * while the owner is unreachable, each entry admits requests from a local fallback bucket. The fallback rates of all
 * entries add up to at most the voted rate, so that the limit also holds over both sides of a network partition.
 */
import { TokenBucket } from './TokenBucket.js'

const GRANT_TTL_MS = 2_000 // unused admissions expire, so that an idle entry does not hold on to them
const DEMAND_WINDOW_MS = 1_000
const PREFETCH_SEC = 0.5 // prefetch size, in seconds of recent demand
const MAX_PREFETCH = 256
const FALLBACK_BURST = 1 // small, as the fallback bursts of all entries add up
const FALLBACK_MAX_WAIT_MS = 300 // a short burst is delayed instead of rejected
const OWNER_EMPTY_BACKOFF_MS = 100 // delay before the next request to an owner whose bucket was empty

interface CachedAllowance {
  count: number
  grantedAt: number
  demand: number
  windowAt: number
  windowCount: number
  ownerEmptyUntil: number
  fallback: TokenBucket | undefined
  usedAt: number
}

/** Admissions of all client accounts on one entry instance. */
export class AllowanceCache {
  readonly #allowances = new Map<string, CachedAllowance>()

  /** Consumes one cached admission; returns false when there is none. */
  tryConsume (account: string, now: number): boolean {
    const allowance = this.#allowance(account, now)
    if (now - allowance.grantedAt > GRANT_TTL_MS) allowance.count = 0
    if (allowance.count < 1) return false
    allowance.count--
    this.#countDemand(allowance, now)
    return true
  }

  /** Number of admissions to request from the owner; 0 during the backoff after an empty grant. */
  prefetchCount (account: string, now: number): number {
    const allowance = this.#allowance(account, now)
    if (now < allowance.ownerEmptyUntil) return 0
    return Math.min(MAX_PREFETCH, Math.max(1, Math.ceil(allowance.demand * PREFETCH_SEC)))
  }

  /** Adds admissions granted by the owner; a grant of 0 starts the backoff. */
  addGrant (account: string, count: number, now: number): void {
    const allowance = this.#allowance(account, now)
    allowance.count += count
    allowance.grantedAt = now
    if (count === 0) allowance.ownerEmptyUntil = now + OWNER_EMPTY_BACKOFF_MS
  }

  /**
   * Reserves one admission from the fallback bucket, for use while the owner is unreachable. Returns the wait in ms;
   * undefined when it would be too long. @param ratePerSec this entry's fraction of the account's rate.
   */
  reserveFallback (account: string, ratePerSec: number, now: number): number | undefined {
    const allowance = this.#allowance(account, now)
    allowance.fallback ??= new TokenBucket(ratePerSec, FALLBACK_BURST, now)
    allowance.fallback.setRate(ratePerSec, FALLBACK_BURST, now)
    return allowance.fallback.reserve(1, FALLBACK_MAX_WAIT_MS, now)
  }

  /** Removes accounts that were not used for a minute. */
  prune (now: number): void {
    for (const [account, allowance] of this.#allowances) {
      if (now - allowance.usedAt > 60_000) this.#allowances.delete(account)
    }
  }

  #allowance (account: string, now: number): CachedAllowance {
    let allowance = this.#allowances.get(account)
    if (allowance === undefined) {
      allowance = { count: 0, grantedAt: now, demand: 0, windowAt: now, windowCount: 0, ownerEmptyUntil: -Infinity, fallback: undefined, usedAt: now }
      this.#allowances.set(account, allowance)
    }
    allowance.usedAt = now
    return allowance
  }

  #countDemand (allowance: CachedAllowance, now: number): void {
    allowance.windowCount++
    const elapsed = now - allowance.windowAt
    if (elapsed < DEMAND_WINDOW_MS) return
    allowance.demand = allowance.windowCount * 1000 / elapsed
    allowance.windowAt = now
    allowance.windowCount = 0
  }
}
