/** Decides what the owner of an idempotency key does with a request; pure, shared with the model checker. */
import type { KeyRight } from './KeyLease.js'

/** What the owner remembers of a key. */
export type KeyState = 'unseen' | 'running' | 'answered' | 'not-run' | 'outcome-unknown'

/** Run the call, give the remembered answer, wait for the run in progress, or refuse as outcome-unknown. */
export type KeyAction = 'run' | 'replay' | 'join' | 'unknown'

export interface KeyTimes {
  /** Bound on the difference between wall clocks. */
  readonly skewMs: number
  /** How long keys are remembered and may be retried. */
  readonly retentionMs: number
}

/** A request with a key, all times on the owner's monotonic clock. */
export interface KeyedRequest {
  /** When the caller minted the key; undefined when the key does not say. */
  readonly mintedAt: number | undefined
  readonly now: number
}

/** True when no earlier owner can have run the key. */
export function canVouch (req: KeyedRequest, right: KeyRight, times: KeyTimes): boolean {
  if (!right.mayAct) return false
  if (req.mintedAt === undefined) return req.now >= right.vouchFrom + times.retentionMs
  if (req.mintedAt > req.now + times.skewMs) return false
  if (req.now - req.mintedAt > times.retentionMs - times.skewMs) return false
  return req.mintedAt > right.vouchFrom + 2 * times.skewMs
}

/** The owner's action. A remembered state goes before the right, as it is knowledge, not a claim. */
export function decideKey (state: KeyState, req: KeyedRequest, right: KeyRight, times: KeyTimes): KeyAction {
  if (state === 'running') return 'join'
  if (state === 'answered') return 'replay'
  if (state === 'outcome-unknown') return 'unknown'
  if (state === 'not-run') return right.mayAct ? 'run' : 'unknown'
  return canVouch(req, right, times) ? 'run' : 'unknown'
}
