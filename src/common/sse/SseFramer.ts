/** Splits a byte stream into complete server-sent events without parsing them. */

const LF = 10
const CR = 13
const MAX_EVENT_BYTES = 262_144 // no event is as long; bytes without an end must not fill the memory
const DONE = new TextEncoder().encode('data: [DONE]\n\n')

/** Complete events found in a chunk. */
export interface SseFrame {
  /** Bytes up to the end of the last complete event; a view of the input where possible. */
  readonly bytes: Uint8Array
  /** Number of complete events in `bytes`, including the end marker. */
  readonly events: number
  /** True when the last event is the `[DONE]` marker. */
  readonly done: boolean
}

function endsWithDone (bytes: Uint8Array, end: number): boolean {
  if (end < DONE.length) return false
  const start = end - DONE.length
  for (let i = 0; i < DONE.length; i++) {
    if (bytes[start + i] !== DONE[i]) return false
  }
  return true
}

/** Buffers the incomplete tail, so that the output always ends between two events. */
export class SseFramer {
  #tail: Uint8Array | undefined

  /** Number of buffered bytes of an incomplete event. */
  get pendingBytes (): number {
    return this.#tail?.length ?? 0
  }

  /** True when the incomplete event is longer than any event may be: the sender is at fault. */
  get isOversized (): boolean {
    return this.pendingBytes > MAX_EVENT_BYTES
  }

  /** Adds a chunk and returns the events that are complete. */
  push (chunk: Uint8Array): SseFrame {
    const input = this.#join(chunk)
    let events = 0
    let end = 0
    for (let at = input.indexOf(LF); at >= 0; at = input.indexOf(LF, at + 1)) {
      const blankLineEnd = input[at + 1] === CR ? at + 2 : at + 1
      if (input[blankLineEnd] !== LF) continue
      events++
      at = blankLineEnd
      end = at + 1
    }
    this.#tail = end === input.length ? undefined : input.subarray(end)
    return { bytes: input.subarray(0, end), events, done: endsWithDone(input, end) }
  }

  /** Discards an incomplete event, as a resumed stream sends it again. */
  reset (): void {
    this.#tail = undefined
  }

  #join (chunk: Uint8Array): Uint8Array {
    if (this.#tail === undefined) return chunk
    const joined = new Uint8Array(this.#tail.length + chunk.length)
    joined.set(this.#tail)
    joined.set(chunk, this.#tail.length)
    return joined
  }
}
