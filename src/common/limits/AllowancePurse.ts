/**
 * Entry side of account limits: admissions taken from the account's owner ahead of need, and a floor that
 * this entry may spend alone while the owner cannot be reached. Floors of all entries sum to the voted rate
 * at most, so that the sides of a partition stay within it together.
 */
import { TokenBucket } from './TokenBucket.js'

const UNUSED_TTL_MS = 2_000 // taken admissions lapse, so that a quiet entry does not hoard
const DEMAND_WINDOW_MS = 1_000
const AHEAD_SEC = 0.5 // admissions taken ahead, in seconds of recent demand
const MAX_AHEAD = 256
const FLOOR_BURST = 1 // the floors' bursts add up over all entries
const FLOOR_WAIT_MS = 300 // smooths a burst in place of refusing it
const REFUSED_MS = 100 // an empty owner is not asked again at once

interface Purse {
  count: number
  takenAt: number
  demand: number
  windowAt: number
  windowCount: number
  refusedUntil: number
  floor: TokenBucket | undefined
  usedAt: number
}

export class AllowancePurse {
  readonly #purses = new Map<string, Purse>()

  /** Spends one admission that is at hand. */
  spend (account: string, now: number): boolean {
    const purse = this.#purse(account, now)
    if (now - purse.takenAt > UNUSED_TTL_MS) purse.count = 0
    if (purse.count < 1) return false
    purse.count--
    this.#countDemand(purse, now)
    return true
  }

  /** How many admissions to ask the owner for; 0 while it is known to be empty. */
  wanted (account: string, now: number): number {
    const purse = this.#purse(account, now)
    if (now < purse.refusedUntil) return 0
    return Math.min(MAX_AHEAD, Math.max(1, Math.ceil(purse.demand * AHEAD_SEC)))
  }

  /** Takes a grant in. */
  granted (account: string, count: number, now: number): void {
    const purse = this.#purse(account, now)
    purse.count += count
    purse.takenAt = now
    if (count === 0) purse.refusedUntil = now + REFUSED_MS
  }

  /**
   * Spends from the floor, for when the owner does not answer; returns the time to wait first, undefined when
   * that is too long. @param ratePerSec this entry's part of the rate.
   */
  spendFloor (account: string, ratePerSec: number, now: number): number | undefined {
    const purse = this.#purse(account, now)
    purse.floor ??= new TokenBucket(ratePerSec, FLOOR_BURST, now)
    purse.floor.setRate(ratePerSec, FLOOR_BURST, now)
    return purse.floor.reserve(1, FLOOR_WAIT_MS, now)
  }

  prune (now: number): void {
    for (const [account, purse] of this.#purses) {
      if (now - purse.usedAt > 60_000) this.#purses.delete(account)
    }
  }

  #purse (account: string, now: number): Purse {
    let purse = this.#purses.get(account)
    if (purse === undefined) {
      purse = { count: 0, takenAt: now, demand: 0, windowAt: now, windowCount: 0, refusedUntil: -Infinity, floor: undefined, usedAt: now }
      this.#purses.set(account, purse)
    }
    purse.usedAt = now
    return purse
  }

  #countDemand (purse: Purse, now: number): void {
    purse.windowCount++
    const elapsed = now - purse.windowAt
    if (elapsed < DEMAND_WINDOW_MS) return
    purse.demand = purse.windowCount * 1000 / elapsed
    purse.windowAt = now
    purse.windowCount = 0
  }
}
