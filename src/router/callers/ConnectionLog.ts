/** Logs decisions on connections of callers, rate limited: clients that nobody controls cause very many. Omitted lines are counted in the next one. */
import { TokenBucket } from '../../common/limits/TokenBucket.js'
import type { Log } from '../telemetry/Log.js'

const LINES_PER_SEC = 5
const BURST_LINES = 50

export class ConnectionLog {
  readonly #log: Log
  readonly #bucket: TokenBucket
  #omitted = 0

  constructor (log: Log, now: number) {
    this.#log = log
    this.#bucket = new TokenBucket(LINES_PER_SEC, BURST_LINES, now)
  }

  write (line: Readonly<Record<string, unknown>>, message: string, now: number): void {
    if (!this.#bucket.take(1, now)) {
      this.#omitted++
      return
    }
    const omitted = this.#omitted === 0 ? {} : { omittedLines: this.#omitted }
    this.#omitted = 0
    this.#log.info({ step: 'accept', ...line, ...omitted }, message)
  }
}
