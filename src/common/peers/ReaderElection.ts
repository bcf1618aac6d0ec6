/**
 * Elects the instances that read from the platform, where hundreds of instances need the same few values. One instance
 * of each data centre reads at an interval and gossips the values to the others; an instance that receives nothing new in
 * time reads by itself, so that correctness depends on no reader.
 */
import { hashString } from '../Hash.js'
import type { RendezvousList } from '../RendezvousList.js'

const READER_JITTER = 0.2 // fraction of the interval: the first to read saves the readers of other data centres the call
const FALLBACK_FACTOR = 1.6 // multiple of the reader's interval: time for a late reader and for the gossip to spread
const FALLBACK_JITTER = 0.2 // fraction of the interval, so that not all instances fall back at the same time

/** The instance that reads `topic` for the live instances of a data centre; undefined when there are none. */
export function readerOf (topic: string, instances: RendezvousList<string>): string | undefined {
  return instances.first(hashString(topic))
}

/** The first `count` instances among the readers of `topic`: the one that reads, then its standbys. */
export function readersOf (topic: string, instances: RendezvousList<string>, count: number): readonly string[] {
  return instances.rank(hashString(topic), count)
}

/** Fraction from 0 to 1, fixed for an instance, by which the instances' reads are spread over time. */
export function instanceJitter (id: string): number {
  return hashString(id, 0x7f4a7c15) / 4_294_967_296
}

/** Time in ms until an instance should read, given the age of its data. @param jitter 0 to 1, fixed for an instance. */
export function readWaitMs (isReader: boolean, ageMs: number, intervalMs: number, jitter: number): number {
  const factor = isReader ? 1 + READER_JITTER * jitter : FALLBACK_FACTOR + FALLBACK_JITTER * jitter
  const maxAgeMs = intervalMs * factor
  return Math.max(0, maxAgeMs - ageMs)
}
