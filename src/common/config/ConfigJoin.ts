/**
 * The file in force as the join of a semilattice: the valid file of the highest platform revision seen on any instance.
 * `joinVersions` is idempotent, commutative and associative, so that the order and number of deliveries do not matter.
 */
import type { VotedFile } from '../generated/VotedFile.js'
import type { FieldError } from '../Schema.js'

/** A valid file with the revision assigned by the platform. */
export interface ConfigVersion {
  readonly revision: number
  /** SHA-256 of the file's text, base64url. */
  readonly digest: string
  readonly file: VotedFile
}

/** The file in force as offered to peers: the hashes of its parts, in order. */
export interface ConfigManifest {
  readonly revision: number
  readonly digest: string
  readonly manifest: readonly string[]
}

/** The file in force, and when it was the platform's latest. */
export interface ConfigConfirmation {
  readonly revision: number
  readonly digest: string
  /** Time in ms since the platform is known to have had no newer valid file. */
  readonly ageMs: number
}

/** A revision that failed validation, with its errors. */
export interface RejectedVersion {
  readonly revision: number
  readonly digest: string
  readonly errors: readonly FieldError[]
}

/** True when `a` takes precedence over `b`; equal revisions, as after a reset of the platform, are ordered by digest. */
export function supersedes (a: Pick<ConfigVersion, 'revision' | 'digest'>, b: Pick<ConfigVersion, 'revision' | 'digest'>): boolean {
  if (a.revision !== b.revision) return a.revision > b.revision
  return a.digest > b.digest
}

/** Least upper bound of two versions. */
export function joinVersions<T extends Pick<ConfigVersion, 'revision' | 'digest'>> (a: T | undefined, b: T | undefined): T | undefined {
  if (a === undefined) return b
  if (b === undefined) return a
  return supersedes(b, a) ? b : a
}
