/** Tracks the events of a resumable stream: passes whole events on and remembers the last one's id. */
import { SseFramer } from '../common/sse/SseFramer.js'

const ID_LINE = /^id: ?(.*)$/gm

export class EventStream {
  readonly #framer = new SseFramer()
  #lastId: string | undefined

  /** Id of the last whole event that was passed on. */
  get lastId (): string | undefined {
    return this.#lastId
  }

  /** True when an event was begun and not ended. */
  get hasPartialEvent (): boolean {
    return this.#framer.pendingBytes > 0
  }

  /** Whole events in what came so far. */
  push (chunk: Uint8Array): Uint8Array {
    const { bytes } = this.#framer.push(chunk)
    if (bytes.length === 0) return bytes
    for (const match of Buffer.from(bytes.buffer, bytes.byteOffset, bytes.byteLength).toString('latin1').matchAll(ID_LINE)) this.#lastId = match[1]!.trim()
    return bytes
  }

  /** Drops an unfinished event: the next endpoint sends it whole. */
  discardPartialEvent (): void {
    this.#framer.reset()
  }
}
