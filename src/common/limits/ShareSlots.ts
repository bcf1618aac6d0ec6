/**
 * Slots of time in which one instance may act without asking anybody, as its share of a rate that a fleet must keep together.
 * Designed for shares of much less than one action a second in fleets of many instances: a token bucket keeps an unused token, so
 * that all instances together could spend one each in the same second. Each instance has slots of its own phase, and one that
 * passes unused is lost.
 */
import { combine, hashString } from '../Hash.js'

const SLOT_MS = 200 // a request that finds its slot taken goes elsewhere; longer slots would let more instances act at the same time
const HASH_RANGE = 4_294_967_296
const MAX_SUBJECTS = 4_096

export class ShareSlots {
  readonly #instance: number
  /** Number of the last slot used, by subject. */
  readonly #used = new Map<string, number>()

  /** @param instance hash of this instance's id. */
  constructor (instance: number) {
    this.#instance = instance
  }

  /** Takes the present slot of a subject, one of which comes each `periodMs`; returns 0, or the time in ms until the next slot. */
  take (subject: string, periodMs: number, now: number): number {
    const position = now / periodMs + combine(hashString(subject), this.#instance) / HASH_RANGE
    const slot = Math.floor(position)
    const sinceMs = (position - slot) * periodMs
    if (sinceMs >= SLOT_MS || this.#used.get(subject) === slot) return periodMs - sinceMs
    this.#used.delete(subject)
    this.#used.set(subject, slot) // re-inserted at the end, which keeps the map in order of use
    if (this.#used.size > MAX_SUBJECTS) this.#used.delete(this.#used.keys().next().value!)
    return 0
  }
}
