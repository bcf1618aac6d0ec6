/**
 * Decides which connections of callers stay open and which requests on them are taken, within `ConnectionLimits`. Handles the load of
 * clients that nobody controls. When there are too many connections, those are closed that have the least claim: heads that don't come,
 * then connections that end, then bodies that hardly come, then connections that wait for their next request, then responses that nobody
 * reads. A connection with a request in work is kept; a new one is refused in its place.
 */
import type { ConnectionLimits } from './ConnectionLimits.js'

/** Limit for which something was refused. */
export type ConnectionRefusal = 'connections' | 'partial-heads' | 'pipelined' | 'unread-bytes' | 'slow-bodies' | 'forwards'

/** A connection to close at once, and the limit for which. */
export interface Eviction<C> {
  readonly connection: C
  readonly refusal: ConnectionRefusal
}

/** Whether a request may be forwarded, and the connections to close for it. They are removed. */
export interface ForwardDecision<C> {
  readonly granted: boolean
  readonly evicted: ReadonlyArray<Eviction<C>>
}

/** What is read from a connection. */
export interface IConnectionInput<C> {
  /** Bytes received so far. */
  bytesRead (connection: C): number
  /** True while the body of its last request hasn't come completely. */
  isReading (connection: C): boolean
}

/** What a connection waits for: its first head or the rest of one, a body, a response, its next request, or its end. */
type State = 'waiting' | 'reading' | 'active' | 'idle' | 'closing'

/** What is known of one connection. */
interface Entry {
  state: State
  /** When the state began. */
  since: number
  /** Bytes received when it began to wait for the next request, or when the progress of a body was last looked at. */
  bytesBefore: number
  /** When the progress of a body was last looked at. */
  checkedAt: number
  /** Requests without a complete response. */
  unanswered: number
}

const MIN_WAIT_MS = 500 // far longer than the head of an ordinary client takes to come, or the close of a connection that was answered
const UNREAD_MS = 1_000 // an ordinary client reads on within it
const BODY_CHECK_MS = 2_000
const MIN_BODY_BYTES = 32_768 // in that time; a body of 4 MB that comes more slowly takes longer than any request may

export class ConnectionTable<C extends object> {
  readonly #limits: ConnectionLimits
  readonly #input: IConnectionInput<C>
  readonly #entries = new Map<C, Entry>()
  /** Connections in each state but `active`, those that have been in it for longest first. */
  readonly #byState: Readonly<Record<Exclude<State, 'active'>, Set<C>>> = {
    waiting: new Set(), reading: new Set(), idle: new Set(), closing: new Set()
  }

  /** Connections in the state `reading` on which hardly anything comes. */
  readonly #slow = new Set<C>()
  /** Unread bytes of those connections that have any, and since when, the oldest first. */
  readonly #unread = new Map<C, { bytes: number, readonly since: number }>()
  #unreadBytes = 0
  #pipelined = 0
  #forwards = 0

  constructor (limits: ConnectionLimits, input: IConnectionInput<C>) {
    this.#limits = limits
    this.#input = input
  }

  /** Number of open connections. */
  get size (): number {
    return this.#entries.size
  }

  /** Number of sockets that neither callers' connections nor forwarded requests use. */
  get freeSockets (): number {
    return Math.max(0, this.#limits.maxSockets - this.size - this.#forwards)
  }

  /** Bytes of responses that wait to be read. */
  get unreadBytes (): number {
    return this.#unreadBytes
  }

  /** Adds a new connection; returns the one to close for it, which may be the new one. It is removed. */
  add (connection: C, now: number): ReadonlyArray<Eviction<C>> {
    this.#entries.set(connection, { state: 'active', since: now, bytesBefore: 0, checkedAt: now, unanswered: 0 })
    this.#enter(connection, 'waiting', now)
    if (!this.#isFull()) return []
    const victim = this.#victim(now) ?? connection
    this.remove(victim)
    return [{ connection: victim, refusal: 'connections' }]
  }

  /** Records the head of a request; returns the limit for which it must not be taken, and no later one of its connection. */
  beginRequest (connection: C, now: number): ConnectionRefusal | undefined {
    const entry = this.#entries.get(connection)
    if (entry === undefined) return 'connections' // closed already
    if (entry.unanswered > 0) {
      if (entry.unanswered >= this.#limits.maxPipelined || this.#pipelined >= this.#limits.maxPipelinedTogether) return 'pipelined'
      this.#pipelined++
    }
    entry.unanswered++
    if (entry.state !== 'closing') this.#enter(connection, 'reading', now)
    return undefined
  }

  /** Records that a request's response was sent completely, or given up. */
  endRequest (connection: C, now: number): void {
    const entry = this.#entries.get(connection)
    if (entry === undefined) return
    entry.unanswered--
    if (entry.unanswered > 0) this.#pipelined--
    else if (entry.state !== 'closing') this.#enter(connection, 'idle', now)
  }

  /** Records that a connection takes no further requests. */
  close (connection: C, now: number): void {
    if (this.#entries.has(connection)) this.#enter(connection, 'closing', now)
  }

  /** Records how many bytes of a connection's responses wait to be read; returns connections to close, the one with most first. They are removed. */
  setUnread (connection: C, bytes: number, now: number): ReadonlyArray<Eviction<C>> {
    if (!this.#entries.has(connection)) return []
    const before = this.#unread.get(connection)
    this.#unreadBytes += bytes - (before?.bytes ?? 0)
    if (bytes === 0) this.#unread.delete(connection)
    else if (before === undefined) this.#unread.set(connection, { bytes, since: now })
    else before.bytes = bytes
    const evicted: Array<Eviction<C>> = []
    while (this.#unreadBytes > this.#limits.maxUnreadBytes) {
      const largest = this.#largestUnread()
      evicted.push({ connection: largest, refusal: 'unread-bytes' })
      this.remove(largest)
    }
    return evicted
  }

  /** Takes a place for a forwarded request, if need be that of a connection without a request in work. */
  beginForward (now: number): ForwardDecision<C> {
    const { guaranteedForwards, maxSockets } = this.#limits
    const isFull = this.#forwards >= Math.max(guaranteedForwards, maxSockets - this.size)
    const victim = isFull ? this.#unusedVictim(now) : undefined
    if (isFull && victim === undefined) return { granted: false, evicted: [] }
    this.#forwards++
    if (victim === undefined) return { granted: true, evicted: [] }
    this.remove(victim)
    return { granted: true, evicted: [{ connection: victim, refusal: 'connections' }] }
  }

  /** Gives the place of a forwarded request back. */
  endForward (): void {
    this.#forwards--
  }

  /** Removes the connections on which the body of a request hardly comes, as bodies take all of their memory; returns them, to be closed. */
  closeSlowBodies (): ReadonlyArray<Eviction<C>> {
    const evicted = [...this.#slow].map(connection => ({ connection, refusal: 'slow-bodies' as const }))
    evicted.forEach(e => this.remove(e.connection))
    return evicted
  }

  /** Looks how bodies come on; to be called now and then. */
  checkBodies (now: number): void {
    for (const connection of this.#byState.reading) {
      const entry = this.#entries.get(connection)!
      if (!this.#input.isReading(connection)) {
        this.#enter(connection, 'active', now)
      } else if (now - entry.checkedAt >= BODY_CHECK_MS) {
        const bytes = this.#input.bytesRead(connection)
        if (bytes - entry.bytesBefore < MIN_BODY_BYTES) this.#slow.add(connection)
        else this.#slow.delete(connection)
        entry.bytesBefore = bytes
        entry.checkedAt = now
      }
    }
  }

  /** Looks for partial heads; to be called now and then. Returns connections to close, those that have waited for longest. They are removed. */
  checkHeads (now: number): ReadonlyArray<Eviction<C>> {
    const { waiting, idle } = this.#byState
    if (waiting.size + idle.size <= this.#limits.maxPartialHeads) return []
    for (const connection of idle) {
      if (this.#hasPartialHead(connection)) this.#enter(connection, 'waiting', now)
    }
    const partial = [...waiting].filter(connection => this.#hasPartialHead(connection))
    const excess = Math.max(0, partial.length - this.#limits.maxPartialHeads)
    const evicted = partial.slice(0, excess).map(connection => ({ connection, refusal: 'partial-heads' as const }))
    evicted.forEach(e => this.remove(e.connection))
    return evicted
  }

  /** Removes a connection that was closed; may be called again. */
  remove (connection: C): void {
    const entry = this.#entries.get(connection)
    if (entry === undefined) return
    this.#entries.delete(connection)
    this.#slow.delete(connection)
    if (entry.state !== 'active') this.#byState[entry.state].delete(connection)
    this.#pipelined -= Math.max(0, entry.unanswered - 1)
    this.#unreadBytes -= this.#unread.get(connection)?.bytes ?? 0
    this.#unread.delete(connection)
  }

  #isFull (): boolean {
    return this.size > this.#limits.maxConnections || this.size + this.#forwards > this.#limits.maxSockets
  }

  #enter (connection: C, state: State, now: number): void {
    const entry = this.#entries.get(connection)!
    if (entry.state === state) return
    if (entry.state !== 'active') this.#byState[entry.state].delete(connection)
    this.#slow.delete(connection)
    if (state === 'idle' || state === 'reading') entry.bytesBefore = this.#input.bytesRead(connection)
    if (state !== 'active') this.#byState[state].add(connection)
    entry.state = state
    entry.since = now
    entry.checkedAt = now
  }

  /** The connection with the least claim to stay open; undefined when all have requests in work. */
  #victim (now: number): C | undefined {
    const { waiting, closing } = this.#byState
    return this.#unusedVictim(now) ?? this.#first(closing, now) ?? this.#firstUnread(now - UNREAD_MS) ?? this.#first(waiting, now)
  }

  /** A connection that has had its time, or waits for its next request. */
  #unusedVictim (now: number): C | undefined {
    const { waiting, closing, idle } = this.#byState
    return this.#first(waiting, now - MIN_WAIT_MS) ?? this.#first(closing, now - MIN_WAIT_MS) ?? this.#first(this.#slow, now) ?? this.#first(idle, now)
  }

  #first (connections: ReadonlySet<C>, notAfter: number): C | undefined {
    const [first] = connections
    return first !== undefined && this.#entries.get(first)!.since <= notAfter ? first : undefined
  }

  #firstUnread (notAfter: number): C | undefined {
    const [first] = this.#unread
    return first !== undefined && first[1].since <= notAfter ? first[0] : undefined
  }

  #largestUnread (): C {
    let largest: { readonly connection: C, readonly bytes: number } | undefined
    for (const [connection, { bytes }] of this.#unread) {
      if (largest === undefined || bytes > largest.bytes) largest = { connection, bytes }
    }
    return largest!.connection
  }

  #hasPartialHead (connection: C): boolean {
    return this.#input.bytesRead(connection) > this.#entries.get(connection)!.bytesBefore
  }
}
