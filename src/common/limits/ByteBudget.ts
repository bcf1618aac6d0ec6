/**
 * Bytes that the bodies of all requests of a process may take together. Answers the load of many large uploads at once: each is within
 * its own limit, and together they exceed the memory of the process.
 */

/** What one request has reserved. */
export interface IByteReservation {
  /** Reserves more; false when the budget has no room, and then nothing is reserved. */
  grow (bytes: number): boolean
  /** Gives everything back; may be called again. */
  release (): void
}

export class ByteBudget {
  readonly #maxBytes: number
  #reserved = 0

  constructor (maxBytes: number) {
    this.#maxBytes = maxBytes
  }

  /** Bytes that are reserved now. */
  get reserved (): number {
    return this.#reserved
  }

  /** Begins the reservation of a request. */
  begin (): IByteReservation {
    let own = 0
    return {
      grow: bytes => {
        if (this.#reserved + bytes > this.#maxBytes) return false
        this.#reserved += bytes
        own += bytes
        return true
      },
      release: () => {
        this.#reserved -= own
        own = 0
      }
    }
  }
}
