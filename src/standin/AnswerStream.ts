/** Answers of an engine as whole events, kept so that a cut stream resumes from any event. */
import type { ServerResponse } from 'node:http'
import { STREAM_RETAIN_MS } from '../common/Constants.js'

const ORPHAN_TIMEOUT_MS = 10_000 // a stream that nobody reads is cancelled after this

/** One answer. */
export class AnswerStream {
  readonly id: string
  /** Number of the first kept event minus one. */
  readonly startOffset: number
  readonly #events: Buffer[] = []
  readonly #readers = new Set<ServerResponse>()
  #done = false
  #lastReadAt: number

  constructor (id: string, from: number, now: number) {
    this.id = id
    this.startOffset = from
    this.#lastReadAt = now
  }

  get done (): boolean {
    return this.#done
  }

  /** Events written so far, counted from the start of the answer. */
  get eventCount (): number {
    return this.startOffset + this.#events.length
  }

  /** Appends whole events and passes them to all readers in one write. */
  push (events: readonly string[], last: boolean, now: number): void {
    const bytes = events.map(e => Buffer.from(e))
    this.#events.push(...bytes)
    this.#done = last
    if (this.#readers.size > 0) this.#lastReadAt = now
    const joined = bytes.length === 1 ? bytes[0]! : Buffer.concat(bytes)
    for (const res of this.#readers) {
      res.write(joined)
      if (last) res.end()
    }
  }

  /** Sends all events after number `from`, then those to come. */
  attach (res: ServerResponse, from: number, now: number): void {
    this.#lastReadAt = now
    if (!res.headersSent) res.writeHead(200, { 'content-type': 'text/event-stream' })
    res.flushHeaders()
    const kept = this.#events.slice(Math.max(0, from - this.startOffset))
    if (kept.length > 0) res.write(Buffer.concat(kept))
    if (this.#done) {
      res.end()
      return
    }
    this.#readers.add(res)
    res.on('close', () => {
      this.#readers.delete(res)
    })
  }

  /** Cuts all connections in the middle of the stream, as a fault. */
  dropReaders (): void {
    for (const res of this.#readers) res.destroy()
    this.#readers.clear()
  }

  /** True when nobody reads the stream and nobody came back for it. */
  isOrphaned (now: number): boolean {
    return !this.#done && this.#readers.size === 0 && now - this.#lastReadAt > ORPHAN_TIMEOUT_MS
  }

  isExpired (now: number): boolean {
    return this.#done && now - this.#lastReadAt > STREAM_RETAIN_MS
  }
}
