/**
 * Entry side of account limits: admissions taken from the account's owner ahead of need, and a floor that
 * this entry may spend alone while the owner cannot be reached. Floors of all entries sum to the voted rate
 * at most, so that the sides of a partition stay within it together.
 */
import { TokenBucket } from './TokenBucket.js'

const GRANT_TTL_MS = 2_000 // taken admissions lapse, so that a quiet entry does not hoard
const DEMAND_WINDOW_MS = 1_000
const PREFETCH_SEC = 0.5 // admissions taken ahead, in seconds of recent demand
const MAX_PREFETCH = 256
const FALLBACK_BURST = 1 // the floors' bursts add up over all entries
const FALLBACK_MAX_WAIT_MS = 300 // smooths a burst in place of refusing it
const OWNER_EMPTY_BACKOFF_MS = 100 // an empty owner is not asked again at once

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

export class AllowanceCache {
  readonly #allowances = new Map<string, CachedAllowance>()

  /** Spends one admission that is at hand. */
  tryConsume (account: string, now: number): boolean {
    const allowance = this.#allowance(account, now)
    if (now - allowance.grantedAt > GRANT_TTL_MS) allowance.count = 0
    if (allowance.count < 1) return false
    allowance.count--
    this.#countDemand(allowance, now)
    return true
  }

  /** How many admissions to ask the owner for; 0 while it is known to be empty. */
  prefetchCount (account: string, now: number): number {
    const allowance = this.#allowance(account, now)
    if (now < allowance.ownerEmptyUntil) return 0
    return Math.min(MAX_PREFETCH, Math.max(1, Math.ceil(allowance.demand * PREFETCH_SEC)))
  }

  /** Takes a grant in. */
  addGrant (account: string, count: number, now: number): void {
    const allowance = this.#allowance(account, now)
    allowance.count += count
    allowance.grantedAt = now
    if (count === 0) allowance.ownerEmptyUntil = now + OWNER_EMPTY_BACKOFF_MS
  }

  /**
   * Spends from the floor, for when the owner does not answer; returns the time to wait first, undefined when
   * that is too long. @param ratePerSec this entry's part of the rate.
   */
  reserveFallback (account: string, ratePerSec: number, now: number): number | undefined {
    const allowance = this.#allowance(account, now)
    allowance.fallback ??= new TokenBucket(ratePerSec, FALLBACK_BURST, now)
    allowance.fallback.setRate(ratePerSec, FALLBACK_BURST, now)
    return allowance.fallback.reserve(1, FALLBACK_MAX_WAIT_MS, now)
  }

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
