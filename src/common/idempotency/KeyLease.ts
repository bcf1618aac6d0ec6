/**
 * Lease by which an instance acts as the owner of idempotency keys, without a store or a consensus group.
 *
 * Every instance of a data centre acts upon the platform's list of that data centre's instances. An owner needs a recent
 * consent to exactly that list from every peer on it. Two lists that share a running peer can't both have consent: the
 * peer consents to one list at a time, and a new consent counts only after the old one has expired. A key that contains
 * the time at which it was minted runs only when it was minted after every earlier owner had lost its ownership; any
 * other unseen key is outcome-unknown.
 *
 * Pure functions over immutable state; the model checker runs the same functions. Times are in milliseconds of the
 * instance's own monotonic clock.
 */

/** Consent of one peer to the current list: send times of the first and the last acknowledged request. */
export interface PeerConsent {
  readonly first: number
  readonly last: number
}

/** Ownership under the previous list, for keys whose owner stays the same. */
interface PreviousOwnership {
  readonly list: readonly string[]
  readonly exclusiveSince: number
  readonly last: Readonly<Record<string, number>>
}

/** State of the lease on one instance. */
export interface KeyLease {
  readonly self: string
  readonly list: readonly string[]
  readonly listAt: number
  readonly consents: Readonly<Record<string, PeerConsent>>
  readonly previous: PreviousOwnership | undefined
}

/** Durations; the model checker uses small ones. */
export interface LeaseTimes {
  readonly leaseMs: number
}

/** Returns the instance of a list that owns a key. */
export type KeyOwnerFunction = (key: string, list: readonly string[]) => string | undefined

/** Ownership of a key. */
export interface KeyOwnership {
  /** True when this instance may act as the owner now. */
  readonly isOwner: boolean
  /** Keys minted before this time may have been run by an earlier owner. */
  readonly exclusiveSince: number
}

const NOT_OWNER: KeyOwnership = { isOwner: false, exclusiveSince: Infinity }

/** State of an instance before its first list. */
export function initialLease (self: string): KeyLease {
  return { self, list: [], listAt: 0, consents: {}, previous: undefined }
}

function sameList (a: readonly string[], b: readonly string[]): boolean {
  return a.length === b.length && a.every((id, i) => id === b[i])
}

function peersOf (lease: KeyLease): string[] {
  return lease.list.filter(id => id !== lease.self)
}

/** Time of the latest first consent: from then on all peers have consented to the list. */
function unanimousSince (lease: KeyLease): number {
  return peersOf(lease).reduce((latest, id) => Math.max(latest, lease.consents[id]?.first ?? Infinity), lease.listAt)
}

/** Start of exclusive ownership under the current list alone: by then, consents to any other list have expired. */
function currentExclusiveSince (lease: KeyLease, times: LeaseTimes): number {
  return unanimousSince(lease) + times.leaseMs
}

/** Applies a list of the data centre's instances; ids need not be sorted. */
export function withList (lease: KeyLease, ids: readonly string[], now: number, times: LeaseTimes): KeyLease {
  const list = [...ids].sort()
  if (sameList(list, lease.list)) return lease
  const last: Record<string, number> = {}
  for (const [id, consent] of Object.entries(lease.consents)) last[id] = consent.last
  const exclusiveSince = currentExclusiveSince(lease, times)
  const previous = lease.list.includes(lease.self) && exclusiveSince < Infinity ? { list: lease.list, exclusiveSince, last } : undefined
  return { self: lease.self, list, listAt: now, consents: {}, previous }
}

/** Applies a peer's consent to the current list, for a request sent at `sentAt`. */
export function withConsent (lease: KeyLease, peer: string, sentAt: number, times: LeaseTimes): KeyLease {
  if (!lease.list.includes(peer) || sentAt < lease.listAt) return lease
  const old = lease.consents[peer]
  if (old !== undefined && sentAt <= old.last) return lease
  const expired = old === undefined || sentAt - old.last >= times.leaseMs
  const consent = { first: expired ? sentAt : old.first, last: sentAt }
  return { ...lease, consents: { ...lease.consents, [peer]: consent } }
}

function allConsentsFresh (lease: KeyLease, now: number, times: LeaseTimes): boolean {
  return peersOf(lease).every(id => now - (lease.consents[id]?.last ?? -Infinity) < times.leaseMs)
}

/** True when every consent has been held long enough for consents to any other list to have expired. */
function otherConsentsExpired (lease: KeyLease, now: number, times: LeaseTimes): boolean {
  const from = currentExclusiveSince(lease, times)
  if (lease.list.length === 1) return now >= from
  return peersOf(lease).every(id => (lease.consents[id]?.last ?? -Infinity) >= from)
}

/** True when no other instance can have gained the key between the two lists. */
function retainsOwnership (lease: KeyLease, key: string, owner: KeyOwnerFunction, times: LeaseTimes): boolean {
  const previous = lease.previous
  if (previous === undefined || owner(key, previous.list) !== lease.self) return false
  const shared = peersOf(lease).filter(id => previous.list.includes(id))
  if (shared.length === 0) return false
  return shared.every(id => (lease.consents[id]?.first ?? Infinity) - (previous.last[id] ?? -Infinity) < times.leaseMs)
}

/** Ownership of a key by this instance at `now`. */
export function keyOwnership (lease: KeyLease, key: string, now: number, owner: KeyOwnerFunction, times: LeaseTimes): KeyOwnership {
  if (owner(key, lease.list) !== lease.self || !allConsentsFresh(lease, now, times)) return NOT_OWNER
  if (retainsOwnership(lease, key, owner, times)) return { isOwner: true, exclusiveSince: lease.previous!.exclusiveSince }
  if (!otherConsentsExpired(lease, now, times)) return NOT_OWNER
  return { isOwner: true, exclusiveSince: currentExclusiveSince(lease, times) }
}
