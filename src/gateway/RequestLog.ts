/** Logs one line per request, rate limited; the number of omitted lines is logged with the next line. */
import type { ErrorCode, Step } from '../common/Errors.js'
import type { AnswerFraming } from '../common/http/AnswerFraming.js'
import type { RetryBudgetState } from '../common/limits/SharedRetryBudget.js'
import { TokenBucket } from '../common/limits/TokenBucket.js'
import type { IClock } from '../common/Services.js'
import type { Log } from '../router/telemetry/Log.js'

const LINES_PER_SEC = 40
const BURST_LINES = 200

/** Log fields of the answer that an attempt received; empty when none began. */
export interface AnswerLine {
  /** Time from the first byte of the answer to its end. */
  readonly answerMs?: number
  readonly framing?: AnswerFraming
  /** Complete events of a stream. */
  readonly events?: number
  /** True when bytes of an incomplete event followed them. */
  readonly partialEvent?: boolean
  /** What was found out about the endpoint when the end wasn't marked. */
  readonly end?: string
}

/** Log fields of the response to the caller. */
export interface ResponseLine {
  readonly framing: AnswerFraming
  /** False when the response was aborted, or the caller left before its end. */
  readonly whole: boolean
}

/** Log fields of a decision on the retry budget that all gateways share. */
export interface RetryLine extends RetryBudgetState {
  readonly granted: boolean
}

/** Log fields of one attempt. */
export interface AttemptLine extends AnswerLine {
  readonly endpoint: string
  readonly reason: string
  readonly load: number
  readonly result: string
  readonly detail?: string
  readonly ms: number
  /** Present when the attempt's result asked for a retry. */
  readonly retry?: RetryLine
}

/** Log fields of the session affinity that placed a prompt. */
export interface SessionLine {
  /** Hash of the session. */
  readonly id: number
  /** Gateway that decided. */
  readonly by: string
  /** Time that the decision took. */
  readonly ms: number
}

/** Log fields of an admitted request: inputs of its routing and its result. */
export interface RequestLine {
  readonly requestId: string
  readonly route: string
  readonly service: string
  readonly account: string
  readonly configRevision: number
  /** Age of the list of endpoints that was used. */
  readonly listAgeMs: number
  /** Absent for requests without a prompt. */
  readonly session?: SessionLine
  /** Ids of the prompt's parts that other requests share; only when an endpoint closed the connection before the end of its answer. */
  readonly parts?: readonly string[]
  readonly attempts: readonly AttemptLine[]
  readonly status: number
  /** Absent when no response was sent. */
  readonly response?: ResponseLine
  /** Error code of the gateway; empty when an endpoint's response was forwarded. */
  readonly code: string
  readonly ms: number
}

/** Log fields of a request that was rejected before any attempt. */
export interface RefusedLine {
  readonly step: Step
  readonly requestId: string
  readonly host: string
  readonly path: string
  /** Error code of the gateway. */
  readonly code: ErrorCode
  /** Inputs of the decision and their age. */
  readonly detail: string
  readonly status: number
}

export class RequestLog {
  readonly #log: Log
  readonly #clock: IClock
  readonly #bucket: TokenBucket
  #omitted = 0

  constructor (log: Log, clock: IClock) {
    this.#log = log
    this.#clock = clock
    this.#bucket = new TokenBucket(LINES_PER_SEC, BURST_LINES, clock.nowMs())
  }

  /** Logs a request that was admitted. */
  request (line: RequestLine): void {
    this.#write({ step: 'request', ...line }, 'request')
  }

  /** Logs a request that was rejected before any attempt. */
  refused (line: RefusedLine): void {
    this.#write({ ...line }, 'refused')
  }

  #write (line: Readonly<Record<string, unknown>>, message: string): void {
    if (!this.#bucket.take(1, this.#clock.nowMs())) {
      this.#omitted++
      return
    }
    const omitted = this.#omitted === 0 ? {} : { omittedLines: this.#omitted }
    this.#omitted = 0
    this.#log.info({ ...line, ...omitted }, message)
  }
}
