/** Results of requests as seen by their callers. */
import type { Outcome } from '../common/Types.js'

/** Connection that broke before the answer was complete. */
export interface StreamInterruption {
  readonly entry: string
  /** Time of the break in ms, on the monotonic clock of the caller's process. */
  readonly at: number
}

/** Result of one chat request. */
export interface CallResult {
  readonly outcome: Outcome
  readonly code: string
  readonly account: string
  /** The answer is complete, in order, and belongs to the request. */
  readonly correct: boolean
  readonly text: string
  /** Connections that broke before the end of the answer; the caller continued through another entry. */
  readonly cuts: readonly StreamInterruption[]
  readonly firstTokenMs: number
  readonly totalMs: number
  /** Longest time between two consecutive events of the stream. */
  readonly maxGapMs: number
  /** Number of events received: one for each token, and the end of the stream. */
  readonly tokens: number
  readonly entry: string
}
