/** What gateways tell each other of the platform: how new their view is, so that few of them need to read it. */

/** How new a gateway's view of the platform is. */
export interface ViewAge {
  readonly configRevision: number
  /** Time since the platform confirmed that there is no newer configuration; Infinity when it never did. */
  readonly configAgeMs: number
  readonly listRevision: number
  /** Digest of what the list of endpoints says. */
  readonly listDigest: number
  readonly listAgeMs: number
}

/** What to do about one part of a peer's view: it is newer, it proves that ours still holds, or it says nothing. */
export type NewsVerdict = 'fetch' | 'confirm' | 'ignore'

/** Judges the peer's configuration against ours. */
export function judgeConfig (own: ViewAge, told: ViewAge): NewsVerdict {
  if (told.configRevision > own.configRevision) return 'fetch'
  return told.configRevision === own.configRevision && told.configAgeMs < own.configAgeMs ? 'confirm' : 'ignore'
}

/** Judges the peer's list of endpoints against ours. A later list that says the same confirms ours. */
export function judgeList (own: ViewAge, told: ViewAge): NewsVerdict {
  if (told.listRevision < own.listRevision || told.listAgeMs >= own.listAgeMs) return 'ignore'
  return told.listDigest === own.listDigest ? 'confirm' : 'fetch'
}
