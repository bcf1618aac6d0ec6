/**
 * Which instances read the platform. Load pattern: hundreds of instances that all want the same few values. One
 * instance of each data centre reads at an interval and tells the others; an instance that hears nothing new in time
 * reads by itself, so that no reader is needed for correctness.
 */
import { hashString } from '../Hash.js'
import { rankTop } from '../Rendezvous.js'

const READER_JITTER = 0.2 // of the interval: the first to read spares the readers of other data centres the call
const FALLBACK_FACTOR = 1.6 // of the reader's interval: time for a late reader and for the news to spread
const FALLBACK_JITTER = 0.2 // of the interval, so that not all fall back at the same moment

/** The instance that reads `topic` for `ids`, the live instances of a data centre; undefined when there are none. */
export function readerOf (topic: string, ids: readonly string[]): string | undefined {
  const candidates = ids.map(id => ({ id, hash: hashString(id), weight: 1 }))
  return rankTop(hashString(topic), candidates, 1)[0]?.id
}

/** Time until an instance should read, given the age of what it knows. @param jitter 0 to 1, fixed for an instance. */
export function readWaitMs (isReader: boolean, ageMs: number, intervalMs: number, jitter: number): number {
  const factor = isReader ? 1 + READER_JITTER * jitter : FALLBACK_FACTOR + FALLBACK_JITTER * jitter
  const maxAgeMs = intervalMs * factor
  return Math.max(0, maxAgeMs - ageMs)
}
