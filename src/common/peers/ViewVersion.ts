/** Versions of the platform's configuration and list that gateways gossip, so that few of them need to read the platform. */
import type { ListVersion } from '../generated/PeerDatagram.js'
import { compareVersions } from './ListVersion.js'

/** Version and age of a gateway's view of the platform. */
export interface ViewVersion {
  readonly configRevision: number
  /** Time since the platform confirmed that there is no newer configuration; Infinity when it never did. */
  readonly configAgeMs: number
  readonly listVersion: ListVersion
  /** Digest of the content of the list of endpoints. */
  readonly listDigest: number
  readonly listAgeMs: number
}

/** How to handle one part of a peer's view: fetch it if it is newer, confirm ours if it shows that ours is current, else ignore it. */
export type GossipAction = 'fetch' | 'confirm' | 'ignore'

/** Compares a peer's configuration with ours. */
export function compareConfig (own: ViewVersion, peer: ViewVersion): GossipAction {
  if (peer.configRevision > own.configRevision) return 'fetch'
  return peer.configRevision === own.configRevision && peer.configAgeMs < own.configAgeMs ? 'confirm' : 'ignore'
}

/** Compares a peer's list of endpoints with ours. A later list with the same content confirms ours; a peer that has read none tells nothing. */
export function compareList (own: ViewVersion, peer: ViewVersion): GossipAction {
  if (!isRead(peer.listVersion) || compareVersions(peer.listVersion, own.listVersion) < 0) return 'ignore'
  const isSameEpoch = peer.listVersion.epoch === own.listVersion.epoch
  if (isSameEpoch && peer.listAgeMs >= own.listAgeMs) return 'ignore'
  return peer.listDigest === own.listDigest ? 'confirm' : 'fetch'
}

/** False for the version of a gateway that has no list yet. */
function isRead (version: ListVersion): boolean {
  return version.epoch > 0 || version.revision > 0
}
