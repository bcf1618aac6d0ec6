/** What callers report. */
import type { Outcome } from '../common/Types.js'

/** A connection that broke before the answer was whole. */
export interface StreamInterruption {
  readonly entry: string
  /** Monotonic time of the caller's process. */
  readonly at: number
}

/** Result of one request as its caller saw it. */
export interface CallResult {
  readonly outcome: Outcome
  readonly code: string
  readonly account: string
  /** The answer arrived whole and is the caller's own. */
  readonly correct: boolean
  readonly text: string
  /** Connections that broke in the middle of the answer; the caller read on through another entry. */
  readonly cuts: readonly StreamInterruption[]
  readonly firstTokenMs: number
  readonly totalMs: number
  /** Longest time between two events. */
  readonly maxGapMs: number
  /** Tokens that arrived. */
  readonly tokens: number
  readonly entry: string
}
