/** Exponentially decayed counts of outcomes. All counts have one half-life, so that sums of them decay like each of them. */

const HALF_LIFE_MS = 1_500

/** Counts of the requests that ended and of those that failed among them. */
export interface OutcomeCounts {
  readonly failed: number
  readonly ended: number
}

/** Counts that decay with time; adding and reading cost the same however many outcomes were added. */
export class DecayedCounts {
  #failed = 0
  #ended = 0
  #at = 0

  /** Adds counts, or takes counts off when they are negative. */
  add (failed: number, ended: number, now: number): void {
    this.#decayTo(now)
    this.#failed = Math.max(0, this.#failed + failed)
    this.#ended = Math.max(0, this.#ended + ended)
  }

  /** Replaces the counts. */
  set (failed: number, ended: number, now: number): void {
    this.#failed = failed
    this.#ended = ended
    this.#at = now
  }

  failed (now: number): number {
    this.#decayTo(now)
    return this.#failed
  }

  ended (now: number): number {
    this.#decayTo(now)
    return this.#ended
  }

  counts (now: number): OutcomeCounts {
    this.#decayTo(now)
    return { failed: this.#failed, ended: this.#ended }
  }

  #decayTo (now: number): void {
    if (now <= this.#at) return
    const factor = 0.5 ** ((now - this.#at) / HALF_LIFE_MS)
    this.#failed *= factor
    this.#ended *= factor
    this.#at = now
  }
}
