/**
 * Order of the versions of a list that the platform publishes. A platform that is restored from a copy begins another epoch, in which
 * revisions are given out again: a revision alone is no order across such a restoration.
 */
import type { ListVersion } from '../generated/PeerDatagram.js'

/** Negative when `a` is older than `b`, positive when it is newer, 0 when they are the same. */
export function compareVersions (a: ListVersion, b: ListVersion): number {
  return a.epoch === b.epoch ? a.revision - b.revision : a.epoch - b.epoch
}

/** The newer of two versions. */
export function newerVersion (a: ListVersion, b: ListVersion): ListVersion {
  return compareVersions(a, b) >= 0 ? a : b
}
