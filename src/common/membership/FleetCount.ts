/**
 * How many instances of the fleet one instance counts, and for how long it has known them. Designed for instances that start
 * apart from each other, at different times or within a cut: limits that all share are divided by this count, so an
 * instance that has heard of few must not take the others' parts. Time alone proves nothing; seeds that were heard of do:
 * all instances start from the same ones, and each can be reached from one side of a cut only.
 */

const MIN_INSTANCES = 4 // an instance that has just started counts few
const UNKNOWN_INSTANCES = 64 // assumed before a seed was heard of: most of the fleet may be out of sight
const SETTLE_MS = 2_000 // a count that grew within this time is likely to grow on

export class FleetCount {
  readonly #seeds: number
  #instances = MIN_INSTANCES
  #seedsHeard = 0
  /** Seeds heard of when the count last was settled. */
  #seedsCounted = 0
  #settledAt = Infinity
  #recordedAt = -Infinity
  #knownMs = 0

  /** @param seeds number of the instances, perhaps this one included, at which the whole fleet begins to look for its members. */
  constructor (seeds: number) {
    this.#seeds = seeds
  }

  /** The highest number of live instances counted: those behind a cut still have their parts of shared limits. */
  get instances (): number {
    return this.#seedsHeard === 0 ? Math.max(UNKNOWN_INSTANCES, this.#instances) : this.#instances
  }

  /**
   * Fraction of the seeds that were heard of since the start: over all sides of a cut it adds up to at most 1.
   * Seeds count once the others that they tell of have been counted too.
   */
  seedFraction (now: number): number {
    const counted = now < this.#settledAt ? this.#seedsCounted : this.#seedsHeard
    return this.#seeds === 0 ? 0 : counted / this.#seeds
  }

  /** Time for which a seed has been heard of while the count didn't grow. */
  knownMs (now: number): number {
    if (this.#seedsHeard === 0) return 0
    return this.#knownMs + Math.max(0, now - Math.max(this.#settledAt, this.#recordedAt))
  }

  /**
   * Records what is known now; returns true when that is more than before.
   * @param live number of live instances. @param seedsHeard number of seeds heard of, this instance included if it is one.
   */
  record (live: number, seedsHeard: number, now: number): boolean {
    const grows = live > this.#instances
    const hearsMore = seedsHeard > this.#seedsHeard
    this.#knownMs = this.knownMs(now)
    this.#recordedAt = now
    if (now >= this.#settledAt) this.#seedsCounted = this.#seedsHeard
    if (grows || hearsMore) this.#settledAt = now + SETTLE_MS
    this.#instances = Math.max(this.#instances, live)
    this.#seedsHeard = Math.max(this.#seedsHeard, seedsHeard)
    return grows || hearsMore
  }
}
