/** Rendezvous hashing over a fixed list of candidates of equal weight, whose hashes are computed once. */
import { combineAll } from './Hash.js'
import { insertRanked } from './Rendezvous.js'

const acceptAll = (): boolean => true

const MAX_SUBSETS = 512

/** Candidates and their hashes; made anew when the candidates change. */
export class RendezvousList<T> {
  readonly items: readonly T[]
  readonly #hashes: Uint32Array
  /** Scores of the last ranking, kept to allocate nothing. */
  readonly #scores: Uint32Array
  readonly #hashOf: (item: T) => number
  readonly #subsets = new Map<number, RendezvousList<T>>()

  constructor (items: readonly T[], hashOf: (item: T) => number) {
    this.items = items
    this.#hashOf = hashOf
    this.#hashes = Uint32Array.from(items, item => hashOf(item)) // `from` would pass the index as a second argument
    this.#scores = new Uint32Array(items.length)
  }

  /** The first accepted candidate in the order of a key; undefined when none is accepted. */
  first (keyHash: number, accepts?: (item: T) => boolean): T | undefined {
    return this.rank(keyHash, 1, accepts)[0]
  }

  /** The first `count` candidates in the order of a key, as a list of their own; kept for the next call with the same key and count. */
  subset (keyHash: number, count: number): RendezvousList<T> {
    const kept = this.#subsets.get(keyHash)
    if (kept?.items.length === Math.min(count, this.items.length)) return kept
    const subset = new RendezvousList(this.rank(keyHash, count), this.#hashOf)
    this.#subsets.set(keyHash, subset)
    if (this.#subsets.size > MAX_SUBSETS) this.#subsets.delete(this.#subsets.keys().next().value!)
    return subset
  }

  /** The first `count` accepted candidates in the order of a key. `accepts` is only called for candidates that would be among them. */
  rank (keyHash: number, count: number, accepts: (item: T) => boolean = acceptAll): T[] {
    const scores = this.#scores
    combineAll(keyHash, this.#hashes, scores)
    const top: T[] = []
    const topScores: number[] = []
    let least = -1
    for (let i = 0; i < scores.length; i++) {
      const score = scores[i]!
      if (score <= least || !accepts(this.items[i]!)) continue
      insertRanked(top, topScores, this.items[i]!, score, count)
      if (topScores.length === count) least = topScores[count - 1]!
    }
    return top
  }
}
