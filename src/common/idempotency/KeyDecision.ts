/** Decides how the owner of an idempotency key handles a request. Pure functions, shared with the model checker. */
import type { KeyOwnership } from './KeyLease.js'

/** State of a key in the table of its owner. */
export type KeyState = 'unseen' | 'running' | 'answered' | 'not-run' | 'outcome-unknown'

/** Run the call, replay the stored answer, wait for the run in progress, or reject as outcome-unknown. */
export type KeyAction = 'run' | 'replay' | 'join' | 'unknown'

/** Durations on which the decision depends. */
export interface KeyTimes {
  /** Bound on the difference between wall clocks. */
  readonly skewMs: number
  /** How long keys are stored and may be retried. */
  readonly retentionMs: number
}

/** A request with a key, all times on the owner's monotonic clock. */
export interface KeyedRequest {
  /** When the caller minted the key; undefined when the key contains no time. */
  readonly mintedAt: number | undefined
  readonly now: number
}

/** True when no earlier owner can have run the key. */
export function isFirstOwner (req: KeyedRequest, ownership: KeyOwnership, times: KeyTimes): boolean {
  if (!ownership.isOwner) return false
  if (req.mintedAt === undefined) return req.now >= ownership.exclusiveSince + times.retentionMs
  if (req.mintedAt > req.now + times.skewMs) return false
  if (req.now - req.mintedAt > times.retentionMs - times.skewMs) return false
  return req.mintedAt > ownership.exclusiveSince + 2 * times.skewMs
}

/** The owner's action. A stored state takes precedence over ownership, as it is a record and not an assumption. */
export function decideKey (state: KeyState, req: KeyedRequest, ownership: KeyOwnership, times: KeyTimes): KeyAction {
  if (state === 'running') return 'join'
  if (state === 'answered') return 'replay'
  if (state === 'outcome-unknown') return 'unknown'
  if (state === 'not-run') return ownership.isOwner ? 'run' : 'unknown'
  return isFirstOwner(req, ownership, times) ? 'run' : 'unknown'
}
