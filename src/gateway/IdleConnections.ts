/**
 * Unused connections to all endpoints together. Each endpoint keeps few, but there are many endpoints, and together they could take the
 * descriptors of callers. The one that has been unused for longest is closed for a new one.
 */
import type { Duplex } from 'node:stream'

export class IdleConnections {
  readonly #max: number
  #room = Infinity
  /** In the order in which they became idle. */
  readonly #connections = new Set<Duplex>()

  constructor (max: number) {
    this.#max = max
  }

  get size (): number {
    return this.#connections.size
  }

  /** Sets for how many connections others leave room; those beyond are closed. */
  setRoom (room: number): void {
    this.#room = room
    this.#trim()
  }

  /** Adds a connection that has become idle. */
  add (connection: Duplex): void {
    this.#connections.add(connection)
    this.#trim()
  }

  /** Removes a connection that was closed or is used again. */
  remove (connection: Duplex): void {
    this.#connections.delete(connection)
  }

  #trim (): void {
    const max = Math.min(this.#max, this.#room)
    for (const longestIdle of this.#connections) {
      if (this.#connections.size <= max) return
      this.#connections.delete(longestIdle)
      longestIdle.destroy()
    }
  }
}
