/**
 * Tells whether the process behind an endpoint has ended from the ends of this instance's connections to it. Designed for an engine
 * whose port goes on accepting connections: a process that ends closes all of its connections at once, while the network, or a faulty
 * engine that lives on, closes single ones. Times are in ms.
 */

const TOGETHER_MS = 50 // the ends of one process's connections are seen within this time of each other, also on a busy instance
const MAX_ENDS = 16

/** Time after an end from which what is known of it is final. */
export const CONNECTIONS_SETTLE_MS = TOGETHER_MS

/** What became at one time of the connections to an endpoint. */
export interface ConnectionsAt {
  /** Connections that the endpoint's side closed at about that time. */
  readonly ended: number
  /** Connections that were open before and still are. */
  readonly left: number
}

const MIN_ENDS = 2 // a single connection that ended may have been reset by the network

/** True when the process behind the connections has ended. @param seenByPeer true when a peer's connection ended at the same time. */
export function hasProcessEnded ({ ended, left }: ConnectionsAt, seenByPeer: boolean): boolean {
  return left === 0 && ended + (seenByPeer ? 1 : 0) >= MIN_ENDS && ended > 0
}

export class ConnectionEnds {
  /** Times of the latest ends, in ascending order. */
  readonly #ends: number[] = []

  /** Records that the endpoint's side closed a connection that was idle, or within an answer. */
  recordEnd (at: number): void {
    this.#ends.push(at)
    if (this.#ends.length > MAX_ENDS) this.#ends.shift()
  }

  /** What became of the connections at about `at`. @param open times at which those that are open now were opened. */
  lookUp (at: number, open: readonly number[]): ConnectionsAt {
    return {
      ended: this.#ends.filter(end => Math.abs(end - at) <= TOGETHER_MS).length,
      left: open.filter(openedAt => openedAt < at - TOGETHER_MS).length
    }
  }
}
