/** Answer of an engine as a sequence of whole events, retained so that an interrupted stream can resume after any event. */
import type { ServerResponse } from 'node:http'
import { STREAM_RETAIN_MS } from '../common/Constants.js'

/** Time without readers after which an unfinished stream is cancelled. */
const ORPHAN_TIMEOUT_MS = 10_000

/** One answer and the connections that read it. */
export class AnswerStream {
  readonly id: string
  /** Number of the event before the first retained one; 0 when the answer is retained from its start. */
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

  /** True when the last event was appended. */
  get done (): boolean {
    return this.#done
  }

  /** Number of the last event appended so far, counted from the start of the answer. */
  get eventCount (): number {
    return this.startOffset + this.#events.length
  }

  /** Appends whole events and sends them to all readers in one write. @param last true when the answer is complete. */
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

  /** Sends the retained events after number `from` to a reader, then each further event. */
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

  /** Closes the connections of all readers without ending the stream, for fault injection. */
  dropReaders (): void {
    for (const res of this.#readers) res.destroy()
    this.#readers.clear()
  }

  /** True when the answer is incomplete and had no reader for the orphan timeout. */
  isOrphaned (now: number): boolean {
    return !this.#done && this.#readers.size === 0 && now - this.#lastReadAt > ORPHAN_TIMEOUT_MS
  }

  /** True when the answer is complete and its retention time has passed. */
  isExpired (now: number): boolean {
    return this.#done && now - this.#lastReadAt > STREAM_RETAIN_MS
  }
}
