/** Weighted rendezvous hashing: all instances with the same candidates compute the same ranking. */
import { combine, hashString } from './Hash.js'

/** A candidate with a precomputed hash, so that ranking allocates no strings. */
export interface RendezvousCandidate {
  readonly hash: number
  /** Relative size; a candidate of weight 2 gets twice as many keys as one of weight 1. */
  readonly weight: number
}

/** Score of a candidate for a key; the highest wins. */
export function rendezvousScore (keyHash: number, candidate: RendezvousCandidate): number {
  const unit = (combine(keyHash, candidate.hash) + 0.5) / 4294967296
  return -candidate.weight / Math.log(unit)
}

/** The `count` best candidates, best first. One pass with insertion, as `count` is small. */
export function rankTop<T extends RendezvousCandidate> (keyHash: number, candidates: readonly T[], count: number): T[] {
  const top: T[] = []
  const scores: number[] = []
  for (const candidate of candidates) {
    const score = rendezvousScore(keyHash, candidate)
    if (top.length < count || score > scores[count - 1]!) insertRanked(top, scores, candidate, score, count)
  }
  return top
}

/** Inserts an item by descending score into `top`, of which at most `count` are kept; `scores` has the score of each. */
export function insertRanked<T> (top: T[], scores: number[], item: T, score: number, count: number): void {
  let at = top.length < count ? top.length : count - 1
  while (at > 0 && scores[at - 1]! < score) {
    top[at] = top[at - 1]!
    scores[at] = scores[at - 1]!
    at--
  }
  top[at] = item
  scores[at] = score
}

/** The instance that owns `key` among `ids`; undefined when there is none. */
export function ownerOf (key: string, ids: readonly string[]): string | undefined {
  const candidates = ids.map(id => ({ id, hash: hashString(id), weight: 1 }))
  return rankTop(hashString(key, 0x27d4eb2f), candidates, 1)[0]?.id
}
