/**
 * Idempotency keys that this instance owned and tickets that it issued; entries outlive the time in which a caller may
 * retry.
 */
import { KEY_RETENTION_MS } from '../Constants.js'
import type { KeyState } from './KeyDecision.js'

const MAX_ENTRIES = 200_000 // per instance; 333 keyed calls a second for the whole retention

/** Answer stored for repetitions of a key. */
export interface StoredAnswer {
  readonly status: number
  readonly headers: Readonly<Record<string, string>>
  readonly body: Uint8Array
}

/** Result of a run. */
export type KeyResult =
  | { readonly state: 'answered', readonly answer: StoredAnswer }
  | { readonly state: 'not-run' }
  | { readonly state: 'outcome-unknown' }

interface Entry {
  readonly fingerprint: string
  state: KeyState
  at: number
  answer?: StoredAnswer
  run?: Promise<KeyResult>
}

/** State of each key and of each issued ticket. */
export class KeyTable {
  readonly #entries = new Map<string, Entry>()
  readonly #issued = new Map<string, number>()

  /** Number of keys in the table. */
  get size (): number {
    return this.#entries.size
  }

  state (key: string): KeyState {
    return this.#entries.get(key)?.state ?? 'unseen'
  }

  /** True when the key was used with another request. */
  conflicts (key: string, fingerprint: string): boolean {
    const entry = this.#entries.get(key)
    return entry !== undefined && entry.fingerprint !== fingerprint
  }

  answer (key: string): StoredAnswer | undefined {
    return this.#entries.get(key)?.answer
  }

  /** The run in progress, on which a repeated request waits. */
  running (key: string): Promise<KeyResult> | undefined {
    return this.#entries.get(key)?.run
  }

  /** Records a ticket that this incarnation issued. */
  recordTicket (ticket: string, now: number): void {
    this.#issued.set(ticket, now)
  }

  /** True when this incarnation issued the ticket and the record has not expired. */
  wasIssued (ticket: string): boolean {
    return this.#issued.has(ticket)
  }

  /** True when one more key fits into the table; otherwise nothing may run. */
  get hasCapacity (): boolean {
    return this.#entries.size < MAX_ENTRIES
  }

  /** Starts a run. The entry exists before `run` is called, so that a repeated request can't start a second one. */
  begin (key: string, fingerprint: string, now: number, run: () => Promise<KeyResult>): Promise<KeyResult> {
    const entry: Entry = { fingerprint, state: 'running', at: now }
    this.#entries.set(key, entry)
    entry.run = run().catch((): KeyResult => ({ state: 'outcome-unknown' })).then(result => {
      entry.state = result.state
      if (result.state === 'answered') entry.answer = result.answer
      delete entry.run
      return result
    })
    return entry.run
  }

  /** Removes entries that are past the retention. */
  prune (now: number): void {
    for (const [key, entry] of this.#entries) {
      if (entry.state !== 'running' && now - entry.at > KEY_RETENTION_MS) this.#entries.delete(key)
    }
    for (const [ticket, at] of this.#issued) {
      if (now - at > KEY_RETENTION_MS) this.#issued.delete(ticket)
    }
  }
}
