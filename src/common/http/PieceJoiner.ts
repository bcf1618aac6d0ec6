/**
 * Joins the pieces of a body that arrive in one turn of the event loop, as when a peer sends chunks of a few bytes: what is done for each
 * piece is then done once for each read of the connection.
 */
import { ByteBuffer } from './ByteBuffer.js'

export class PieceJoiner {
  readonly #onBytes: (bytes: Uint8Array) => void
  readonly #joined = new ByteBuffer(Infinity)
  /** The only piece of this turn so far, which is passed on without a copy. */
  #single: Uint8Array | undefined
  #scheduled = false

  /** @param onBytes called with the bytes of each turn that brought some. */
  constructor (onBytes: (bytes: Uint8Array) => void) {
    this.#onBytes = onBytes
  }

  push (piece: Uint8Array): void {
    if (this.#joined.length === 0 && this.#single === undefined) {
      this.#single = piece
    } else {
      if (this.#single !== undefined) this.#joined.push(this.#single)
      this.#single = undefined
      this.#joined.push(piece)
    }
    if (this.#scheduled) return
    this.#scheduled = true
    queueMicrotask(() => this.flush())
  }

  /** Passes on at once what has arrived. */
  flush (): void {
    this.#scheduled = false
    const bytes = this.#single ?? (this.#joined.length > 0 ? this.#joined.take() : undefined)
    this.#single = undefined
    if (bytes !== undefined) this.#onBytes(bytes)
  }
}
