/** One line for each request, at a bounded rate; lines left out are counted and told with the next one. */
import type { ErrorCode, Step } from '../common/Errors.js'
import { TokenBucket } from '../common/limits/TokenBucket.js'
import type { IClock } from '../common/Services.js'
import type { Log } from '../router/telemetry/Log.js'

const LINES_PER_SEC = 40
const BURST_LINES = 200

/** One attempt as the log tells it. */
export interface AttemptLine {
  readonly endpoint: string
  readonly reason: string
  readonly load: number
  readonly result: string
  readonly detail?: string
  readonly ms: number
}

/** What decided a request and how it ended. */
export interface RequestLine {
  readonly requestId: string
  readonly route: string
  readonly service: string
  readonly account: string
  readonly configRevision: number
  /** Age of the list of endpoints that decided. */
  readonly listAgeMs: number
  readonly attempts: readonly AttemptLine[]
  readonly status: number
  /** Error code of this system; empty when an endpoint's answer was passed on. */
  readonly code: string
  readonly ms: number
}

/** Why a request was refused at once. */
export interface RefusedLine {
  readonly step: Step
  readonly requestId: string
  readonly host: string
  readonly path: string
  /** Error code of this system. */
  readonly code: ErrorCode
  /** The deciding inputs and their age. */
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

  /** A request that attempts were made for. */
  request (line: RequestLine): void {
    this.#write({ step: 'request', ...line }, 'request')
  }

  /** A request that was refused before any attempt. */
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
