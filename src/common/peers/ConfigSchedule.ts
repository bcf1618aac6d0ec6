/**
 * When the instances of a data centre read what the operator writes, so that each of them knows a change within a bound. One instance
 * watches, two standbys read when nothing confirms in time what is known, and at last each instance reads by itself: the bound depends on
 * no other instance. Designed for the loss of all watches at once while changes follow each other.
 * Ages count from the time at which the platform is known to have had nothing newer.
 */
const WATCH_FRACTION = 0.6 // of the bound: a watch has confirmed by then what is known
const STANDBY_FRACTIONS = [0.7, 0.75] // of the bound: time for the answer to a watch, or a read of the first standby, and for a datagram to the data centre
const LAST_FRACTION = 0.8 // of the bound: all other instances
const LAST_SPREAD = 0.05 // of the bound, over which their reads are spread; the rest of the bound is for a call
const LOST_FRACTION = 0.85 // of the bound: a watch without an answer is given up
const MIN_BOUND_MS = 500 // limits the calls to the platform
const MAX_BOUND_MS = 8_000 // limits how long a dead connection stays unnoticed

const TIMER_TOLERANCE_MS = 50 // by which the platform's timers may be ahead of an instance's

/** Ranks of the instances that have an order among the readers: the one that watches, and its standbys. */
export const READER_RANKS = 1 + STANDBY_FRACTIONS.length

/** Times of a watch in ms. */
export interface WatchTimes {
  /** How long the platform waits for a change. */
  readonly waitMs: number
  /** Time after which the call has failed. */
  readonly timeoutMs: number
}

export class ConfigSchedule {
  readonly #boundMs: number

  /** @param boundMs longest time until a change must be in force everywhere. */
  constructor (boundMs: number) {
    this.#boundMs = Math.min(MAX_BOUND_MS, Math.max(MIN_BOUND_MS, boundMs))
  }

  /** Times of the next watch of an instance whose configuration has this age. */
  watch (ageMs: number): WatchTimes {
    const waitMs = Math.max(0, Math.round(WATCH_FRACTION * this.#boundMs - ageMs))
    return { waitMs, timeoutMs: waitMs + Math.round((LOST_FRACTION - WATCH_FRACTION) * this.#boundMs) }
  }

  /** Age at which an instance without a watch reads. @param rank its place among the readers. @param jitter 0 to 1, fixed for an instance. */
  readAgeMs (rank: number, jitter: number): number {
    return this.#boundMs * (STANDBY_FRACTIONS[Math.max(0, rank - 1)] ?? LAST_FRACTION + LAST_SPREAD * jitter)
  }
}

/**
 * Time since the platform is known to have had nothing newer than the answer to a watch. It held an answer without changes back for the whole wait;
 * any other may have been on its way since the watch began, as when the process stood still.
 */
export function ageAfterWatch (elapsedMs: number, { waitMs }: WatchTimes, hasChanges: boolean): number {
  const isHeldBack = !hasChanges && elapsedMs > waitMs - TIMER_TOLERANCE_MS
  return isHeldBack ? Math.max(0, elapsedMs - waitMs) : elapsedMs
}
