/** Seeded pseudo-random numbers, so that runs are reproducible. */
import type { RandomGenerator } from 'pure-rand/types/RandomGenerator'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import type { IRandom } from './Services.js'

const DISCARDED = 32 // the first numbers of small seeds are similar

/** Pseudo-random number generator with a fixed seed. */
export class SeededRandom implements IRandom {
  readonly #rng: RandomGenerator

  constructor (seed: number) {
    this.#rng = xoroshiro128plus(seed)
    for (let i = 0; i < DISCARDED; i++) this.#rng.next()
  }

  next (): number {
    return (this.#rng.next() >>> 0) / 4294967296
  }

  /** Integer from 0 to `limit` - 1. */
  below (limit: number): number {
    return Math.floor(this.next() * limit)
  }

  /** Exponentially distributed number with this mean. */
  exponential (mean: number): number {
    return -mean * Math.log(1 - this.next())
  }
}
