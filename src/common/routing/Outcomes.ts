/**
 * Recent outcomes at one endpoint, its own instance's and those that peers told of. Load pattern: many instances that
 * each send few requests to an endpoint that fails; none of them alone sees enough to tell. Counts fade with time.
 * Peers' counts are joined by the larger one: the same outcomes reach an instance over several peers, and adding them
 * up would count them more than once.
 */

const HALF_LIFE_MS = 1_500

/** Faded counts of requests that ended and of those that failed among them. */
export interface OutcomeCounts {
  readonly failed: number
  readonly ended: number
}

export class Outcomes {
  #failed = 0
  #ended = 0
  #at = 0

  note (failed: boolean, now: number): void {
    this.#fade(now)
    this.#ended += 1
    if (failed) this.#failed += 1
  }

  /** Joins the counts that a peer told. */
  join (told: OutcomeCounts, now: number): void {
    this.#fade(now)
    this.#failed = Math.max(this.#failed, told.failed)
    this.#ended = Math.max(this.#ended, told.ended, this.#failed)
  }

  counts (now: number): OutcomeCounts {
    this.#fade(now)
    return { failed: this.#failed, ended: this.#ended }
  }

  #fade (now: number): void {
    const factor = 0.5 ** (Math.max(0, now - this.#at) / HALF_LIFE_MS)
    this.#failed *= factor
    this.#ended *= factor
    this.#at = now
  }
}
