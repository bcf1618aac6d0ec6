/**
 * Unused connections to all endpoints together. Each endpoint keeps few, but there are many endpoints, and together they could take the
 * descriptors of callers. The one that has been unused for longest is closed for a new one.
 */
import type { Duplex } from 'node:stream'

export class IdleConnections {
  readonly #max: number
  /** In the order in which they became idle. */
  readonly #connections = new Set<Duplex>()

  constructor (max: number) {
    this.#max = max
  }

  get size (): number {
    return this.#connections.size
  }

  /** Adds a connection that has become idle. */
  add (connection: Duplex): void {
    this.#connections.add(connection)
    if (this.#connections.size <= this.#max) return
    const [longestIdle] = this.#connections
    this.remove(longestIdle!)
    longestIdle!.destroy()
  }

  /** Removes a connection that was closed or is used again. */
  remove (connection: Duplex): void {
    this.#connections.delete(connection)
  }
}
