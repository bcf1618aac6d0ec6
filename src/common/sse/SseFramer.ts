/** Splits a byte stream into complete server-sent events without parsing them. A line ends with LF, CR LF or CR; an empty one ends an event. */

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

/** Position of the first byte from `from` on that ends a line; -1 when there is none. */
function lineEnd (bytes: Uint8Array, from: number, hasCr: boolean): number {
  if (!hasCr) return bytes.indexOf(LF, from)
  let at = from
  while (at < bytes.length && bytes[at] !== LF && bytes[at] !== CR) at++
  return at < bytes.length ? at : -1
}

/** Buffers the incomplete tail, so that the output always ends between two events. */
export class SseFramer {
  #tail: Uint8Array | undefined
  /** True when the output ended with a CR: an LF that follows belongs to it. */
  #afterCr = false

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
    const hasCr = input.includes(CR)
    let events = 0
    let lastEventEnd = 0
    let end = this.#afterCr && input[0] === LF ? 1 : 0
    let lineStart = end
    for (let at = lineEnd(input, lineStart, hasCr); at >= 0; at = lineEnd(input, lineStart, hasCr)) {
      const next = input[at] === CR && input[at + 1] === LF ? at + 2 : at + 1
      if (at === lineStart) {
        if (lineStart > end) {
          events++
          lastEventEnd = next
        }
        end = next
      }
      lineStart = next
    }
    if (input.length > 0) this.#afterCr = end === input.length && input[end - 1] === CR
    this.#tail = end === input.length ? undefined : input.subarray(end)
    return { bytes: input.subarray(0, end), events, done: endsWithDone(input, lastEventEnd) }
  }

  /** Discards an incomplete event, as a resumed stream sends it again. */
  reset (): void {
    this.#tail = undefined
    this.#afterCr = false
  }

  #join (chunk: Uint8Array): Uint8Array {
    if (this.#tail === undefined) return chunk
    const joined = new Uint8Array(this.#tail.length + chunk.length)
    joined.set(this.#tail)
    joined.set(chunk, this.#tail.length)
    return joined
  }
}
