/** Queries to peers by datagram: matches replies to queries, and avoids peers that leave a query without a reply. */
import { Disposable, toDisposable } from '../common/Disposable.js'
import type { IClock } from '../common/Services.js'
import { InputTimeout } from './InputTimeout.js'

const BACKOFF_MS = 2_000 // a peer that didn't reply isn't queried again for this long

interface PendingQuery<T> {
  readonly peer: string
  readonly timeout: InputTimeout
  readonly resolve: (reply: T | undefined) => void
}

export class PendingReplies<T> extends Disposable {
  readonly #clock: IClock
  readonly #pending = new Map<number, PendingQuery<T>>()
  readonly #backoffUntil = new Map<string, number>()
  #seq = 0

  constructor (clock: IClock) {
    super()
    this.#clock = clock
    this.own(toDisposable(() => this.#pending.forEach(q => q.timeout.dispose())))
  }

  /** False for a peer that lately left a query without a reply. */
  isResponsive (peer: string): boolean {
    return this.#clock.nowMs() >= (this.#backoffUntil.get(peer) ?? 0)
  }

  /** Calls `send` with the number of a new query; resolves to undefined when the peer doesn't reply in time. */
  async query (peer: string, timeoutMs: number, send: (seq: number) => void): Promise<T | undefined> {
    const seq = ++this.#seq
    return await new Promise(resolve => {
      const timeout = new InputTimeout(timeoutMs, () => this.#onTimeout(seq))
      this.#pending.set(seq, { peer, timeout, resolve })
      send(seq)
    })
  }

  /** Ends a query with its reply; a reply that comes too late only ends the peer's backoff. */
  onReply (peer: string, seq: number, reply: T): void {
    this.#backoffUntil.delete(peer)
    const pending = this.#pending.get(seq)
    if (pending === undefined) return
    pending.timeout.dispose()
    this.#pending.delete(seq)
    pending.resolve(reply)
  }

  #onTimeout (seq: number): void {
    const pending = this.#pending.get(seq)
    if (pending === undefined) return
    this.#pending.delete(seq)
    this.#backoffUntil.set(pending.peer, this.#clock.nowMs() + BACKOFF_MS)
    pending.resolve(undefined)
  }
}
