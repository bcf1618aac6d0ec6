/**
 * Finds out which endpoints have ended when they closed a connection in an answer: a connection alone may also be reset by
 * the network or by a faulty endpoint that lives on. An endpoint has ended when it accepts no connection, when its incarnation is gone
 * from the list, when all connections to it ended together, or when it closed connections of two instances at the same time. A close
 * that none of these explains is reported as unconfirmed.
 */
import { Disposable, toDisposable } from '../common/Disposable.js'
import { hashString } from '../common/Hash.js'
import { CONNECTIONS_SETTLE_MS, hasProcessEnded, type ConnectionsAt } from '../common/routing/ConnectionEnds.js'
import { YOUNG_ANSWER_MS } from '../common/routing/PartEvidence.js'
import { endpointKey, type Endpoint } from '../common/routing/Types.js'
import type { IClock } from '../common/Services.js'
import type { ConnectProbe } from '../router/engines/ConnectProbe.js'

/** Time after a broken answer by which the list names the end of its endpoint, also when it is seconds late. */
export const WATCH_MS = 15_000
const SAME_TIME_MS = 150 // two instances see the end of one process within this time of each other, by the age in the peer's message
const MAX_KEPT = 256

/** This instance's connections to an endpoint. */
export interface IEndpointConnections {
  /** What became of them at about `at`, on the monotonic clock. */
  connectionsAt (at: number): ConnectionsAt
}

/** Receives what the watch finds out. Endpoints are given by the hash of their incarnation. */
export interface ICrashListener {
  /** The endpoint ended `ageMs` ago when its answers on these parts were young. */
  onCrash (parts: readonly number[], endpoint: number, id: string, ageMs: number): void
  /** The endpoint broke off answers on these parts `ageMs` ago; whether it ended isn't known. */
  onUnconfirmed (parts: readonly number[], endpoint: number, id: string, ageMs: number): void
}

/** An endpoint that closed connections in young answers. */
interface WatchedEndpoint {
  readonly since: number
  readonly id: string
  /** Time of the last close. */
  closedAt: number
  readonly connections: IEndpointConnections | undefined
  /** Parts of the prompts of these answers, until the endpoint is known to have ended. */
  readonly parts: Set<number>
  ended: boolean
}

/** Ends of answers that were normal, or the end of their endpoint. */
interface UnmarkedEnds {
  readonly at: number
  readonly parts: ReadonlySet<number>
}

export class CrashWatch extends Disposable {
  readonly #clock: IClock
  readonly #probeConnection: ConnectProbe
  readonly #listener: ICrashListener
  /** By hash of the incarnation, in order of the first close. */
  readonly #watched = new Map<number, WatchedEndpoint>()
  /** Young answers of which nothing told whether they were whole, by hash of the incarnation, in order of the last one. */
  readonly #unmarked = new Map<number, UnmarkedEnds>()
  /** Times of closes that peers saw, by hash of the incarnation. */
  readonly #peerCloses = new Map<number, number>()
  /** Incarnations that are gone from the list: requests that were sent before may still be in flight there. */
  readonly #gone = new Set<number>()
  readonly #timers = new Set<NodeJS.Timeout>()

  constructor (clock: IClock, probe: ConnectProbe, listener: ICrashListener) {
    super()
    this.#clock = clock
    this.#probeConnection = probe
    this.#listener = listener
    this.own(toDisposable(() => {
      this.#watched.clear()
      this.#timers.forEach(timer => clearTimeout(timer))
    }))
  }

  /** Records that an endpoint closed the connection of a young answer. */
  recordClose (endpoint: Endpoint, parts: readonly number[], connections?: IEndpointConnections): void {
    this.#expire()
    const hash = hashString(endpointKey(endpoint))
    const now = this.#clock.nowMs()
    let watched = this.#watched.get(hash)
    if (watched?.ended === true) {
      this.#listener.onCrash(parts, hash, endpoint.id, 0)
      return
    }
    if (watched === undefined) {
      watched = { since: now, id: endpoint.id, closedAt: now, connections, parts: new Set(), ended: false }
      this.#watched.set(hash, watched)
      this.#probe(endpoint).catch(() => {}) // a probe reports failures by its result
    }
    watched.closedAt = now
    for (const part of parts) watched.parts.add(part)
    if (this.#gone.has(hash)) this.#confirm(hash)
    else this.#settle(hash, parts)
  }

  /**
   * Records a young answer that ended with its connection and without a mark. That is normal for some endpoints: it counts only when
   * other connections broke off with it and none is left, or when the endpoint is gone from the list without having said that it leaves.
   */
  recordUnmarkedEnd (endpoint: Endpoint, parts: readonly number[], connections: IEndpointConnections): void {
    const hash = hashString(endpointKey(endpoint))
    const now = this.#clock.nowMs()
    const before = this.#unmarked.get(hash)
    const isRecent = before !== undefined && now - before.at < YOUNG_ANSWER_MS
    this.#unmarked.delete(hash)
    this.#unmarked.set(hash, { at: now, parts: new Set([...isRecent ? before.parts : [], ...parts]) })
    dropOldest(this.#unmarked)
    this.#afterSettling(() => {
      if (hasProcessEnded(connections.connectionsAt(now), true)) this.#confirmUnmarked(hash, endpoint.id)
    })
  }

  /** Records that an endpoint's incarnation is gone from the list. */
  recordGone (endpoint: Endpoint): void {
    const hash = hashString(endpointKey(endpoint))
    if (!endpoint.leaving) this.#confirmUnmarked(hash, endpoint.id)
    this.#gone.add(hash)
    dropOldest(this.#gone)
    this.#confirm(hash)
  }

  /** Records that a peer saw an endpoint break off a young answer at `at`. */
  recordPeerClose (endpoint: number, at: number): void {
    this.#peerCloses.delete(endpoint)
    this.#peerCloses.set(endpoint, at)
    dropOldest(this.#peerCloses)
    const watched = this.#watched.get(endpoint)
    if (watched !== undefined && this.#clock.nowMs() - watched.closedAt >= CONNECTIONS_SETTLE_MS) this.#checkConnections(endpoint, watched, watched.closedAt)
  }

  async #probe (endpoint: Endpoint): Promise<void> {
    if (await this.#probeConnection(endpoint) !== 'accepted') this.#confirm(hashString(endpointKey(endpoint)))
  }

  /** Decides on a close once the connections that end together with it have ended. */
  #settle (hash: number, parts: readonly number[]): void {
    const closedAt = this.#clock.nowMs()
    this.#afterSettling(() => {
      const watched = this.#watched.get(hash)
      if (watched !== undefined) this.#checkConnections(hash, watched, closedAt)
      if (watched?.ended === false) this.#listener.onUnconfirmed(parts, hash, watched.id, CONNECTIONS_SETTLE_MS)
    })
  }

  #checkConnections (hash: number, { connections }: WatchedEndpoint, closedAt: number): void {
    const seenByPeer = Math.abs((this.#peerCloses.get(hash) ?? Infinity) - closedAt) <= SAME_TIME_MS
    if (connections !== undefined && hasProcessEnded(connections.connectionsAt(closedAt), seenByPeer)) this.#confirm(hash)
  }

  #afterSettling (decide: () => void): void {
    const timer = setTimeout(() => {
      this.#timers.delete(timer)
      decide()
    }, CONNECTIONS_SETTLE_MS)
    this.#timers.add(timer)
  }

  #confirmUnmarked (hash: number, id: string): void {
    const ends = this.#unmarked.get(hash)
    const ageMs = this.#clock.nowMs() - (ends?.at ?? -Infinity)
    if (ends === undefined || ageMs > WATCH_MS) return
    this.#unmarked.delete(hash)
    this.#listener.onCrash([...ends.parts], hash, id, ageMs)
  }

  #confirm (hash: number): void {
    const watched = this.#watched.get(hash)
    if (watched === undefined || watched.ended || this.isDisposed) return
    watched.ended = true
    this.#listener.onCrash([...watched.parts], hash, watched.id, this.#clock.nowMs() - watched.since)
  }

  #expire (): void {
    const oldest = this.#clock.nowMs() - WATCH_MS
    for (const [hash, { since }] of this.#watched) {
      if (since > oldest && this.#watched.size <= MAX_KEPT) return
      this.#watched.delete(hash)
    }
  }
}

function dropOldest (kept: Set<number> | Map<number, unknown>): void {
  const [oldest] = kept.keys()
  if (kept.size > MAX_KEPT && oldest !== undefined) kept.delete(oldest)
}
