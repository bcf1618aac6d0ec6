/**
 * Bytes of a body that arrive in pieces. They are copied into blocks: a list of the pieces would take some hundred bytes for each of
 * them, however small the peer makes them, so that a bound in bytes wouldn't bound the memory.
 */

const FIRST_BLOCK_BYTES = 1_024
const MAX_BLOCK_BYTES = 65_536

export class ByteBuffer {
  readonly #maxBytes: number
  #blocks: Uint8Array[] = []
  /** Bytes of the last block that are in use; the blocks before it are full. */
  #used = 0
  #length = 0

  /** @param maxBytes length beyond which nothing is taken. */
  constructor (maxBytes: number) {
    this.#maxBytes = maxBytes
  }

  /** Number of bytes held. */
  get length (): number {
    return this.#length
  }

  /** Number of blocks that hold the bytes. */
  get blockCount (): number {
    return this.#blocks.length
  }

  /** Adds a copy of a piece; returns false, and takes nothing of it, when all together would exceed the maximum. */
  push (piece: Uint8Array): boolean {
    if (this.#length + piece.length > this.#maxBytes) return false
    this.#length += piece.length
    for (let rest = piece; rest.length > 0;) rest = rest.subarray(this.#fill(rest))
    return true
  }

  /** Returns the bytes in one piece and empties the buffer. */
  take (): Uint8Array {
    const bytes = this.#blocks.length === 1 ? this.#blocks[0]!.subarray(0, this.#used) : this.#join()
    this.#blocks = []
    this.#used = 0
    this.#length = 0
    return bytes
  }

  /** Copies as much of `bytes` as the last block has room for; returns how many bytes that was. */
  #fill (bytes: Uint8Array): number {
    const block = this.#blockWithRoom(bytes.length)
    const count = Math.min(bytes.length, block.length - this.#used)
    block.set(count === bytes.length ? bytes : bytes.subarray(0, count), this.#used)
    this.#used += count
    return count
  }

  /** The last block, or a new one as large as all before it, so that short bodies take little and long ones few blocks. */
  #blockWithRoom (wanted: number): Uint8Array {
    const last = this.#blocks[this.#blocks.length - 1]
    if (last !== undefined && this.#used < last.length) return last
    const size = Math.min(MAX_BLOCK_BYTES, Math.max(FIRST_BLOCK_BYTES, wanted, this.#length - wanted))
    const block = new Uint8Array(size)
    this.#blocks.push(block)
    this.#used = 0
    return block
  }

  #join (): Uint8Array {
    const bytes = new Uint8Array(this.#length)
    let at = 0
    for (const block of this.#blocks) {
      const part = block.subarray(0, Math.min(block.length, this.#length - at))
      bytes.set(part, at)
      at += part.length
    }
    return bytes
  }
}
