/** What gateways tell each other of the platform: how new their view is, so that few of them need to read it. */

/** How new a gateway's view of the platform is. */
export interface ViewVersion {
  readonly configRevision: number
  /** Time since the platform confirmed that there is no newer configuration; Infinity when it never did. */
  readonly configAgeMs: number
  readonly listRevision: number
  /** Digest of what the list of endpoints says. */
  readonly listDigest: number
  readonly listAgeMs: number
}

/** What to do about one part of a peer's view: it is newer, it proves that ours still holds, or it says nothing. */
export type GossipAction = 'fetch' | 'confirm' | 'ignore'

/** Judges the peer's configuration against ours. */
export function compareConfig (own: ViewVersion, peer: ViewVersion): GossipAction {
  if (peer.configRevision > own.configRevision) return 'fetch'
  return peer.configRevision === own.configRevision && peer.configAgeMs < own.configAgeMs ? 'confirm' : 'ignore'
}

/** Judges the peer's list of endpoints against ours. A later list that says the same confirms ours. */
export function compareList (own: ViewVersion, peer: ViewVersion): GossipAction {
  if (peer.listRevision < own.listRevision || peer.listAgeMs >= own.listAgeMs) return 'ignore'
  return peer.listDigest === own.listDigest ? 'confirm' : 'fetch'
}
