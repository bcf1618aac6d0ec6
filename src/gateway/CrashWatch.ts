/**
 * Finds out which endpoints have ended when they closed a connection in an answer: a connection alone may also be reset by
 * the network or by a faulty endpoint that lives on. An endpoint has ended when it accepts no connection or is gone from the list.
 */
import { Disposable, toDisposable } from '../common/Disposable.js'
import { hashString } from '../common/Hash.js'
import { endpointKey, type Endpoint } from '../common/routing/Types.js'
import type { IClock } from '../common/Services.js'
import type { ConnectProbe } from '../router/engines/ConnectProbe.js'

const WATCH_MS = 5_000 // an endpoint that ended is gone from the list by then
const MAX_WATCHED = 256

/** Receives the parts of young answers that an endpoint left when it ended, the hash of its incarnation, its id, and the time since. */
export type CrashListener = (parts: readonly number[], endpoint: number, id: string, ageMs: number) => void

/** An endpoint that closed connections in young answers. */
interface WatchedEndpoint {
  readonly since: number
  /** Parts of the prompts of these answers, until the endpoint is known to have ended. */
  readonly parts: Set<number>
  ended: boolean
}

export class CrashWatch extends Disposable {
  readonly #clock: IClock
  readonly #probeConnection: ConnectProbe
  readonly #onCrash: CrashListener
  /** By hash of the incarnation, in order of the first close. */
  readonly #watched = new Map<number, WatchedEndpoint>()

  constructor (clock: IClock, probe: ConnectProbe, onCrash: CrashListener) {
    super()
    this.#clock = clock
    this.#probeConnection = probe
    this.#onCrash = onCrash
    this.own(toDisposable(() => this.#watched.clear()))
  }

  /** Records that an endpoint closed the connection of a young answer. */
  recordClose (endpoint: Endpoint, parts: readonly number[]): void {
    this.#expire()
    const hash = hashString(endpointKey(endpoint))
    const watched = this.#watched.get(hash)
    if (watched === undefined) {
      this.#watched.set(hash, { since: this.#clock.nowMs(), parts: new Set(parts), ended: false })
      this.#probe(endpoint).catch(() => {}) // a probe reports failures by its result
    } else if (watched.ended) {
      this.#onCrash(parts, hash, endpoint.id, 0)
    } else {
      for (const part of parts) watched.parts.add(part)
    }
  }

  /** Records that an endpoint is gone from the list. */
  recordGone (endpoint: Endpoint): void {
    if (this.#watched.size > 0) this.#confirm(endpoint)
  }

  async #probe (endpoint: Endpoint): Promise<void> {
    if (await this.#probeConnection(endpoint) !== 'accepted') this.#confirm(endpoint)
  }

  #confirm (endpoint: Endpoint): void {
    const hash = hashString(endpointKey(endpoint))
    const watched = this.#watched.get(hash)
    if (watched === undefined || watched.ended || this.isDisposed) return
    watched.ended = true
    this.#onCrash([...watched.parts], hash, endpoint.id, this.#clock.nowMs() - watched.since)
  }

  #expire (): void {
    const oldest = this.#clock.nowMs() - WATCH_MS
    for (const [hash, { since }] of this.#watched) {
      if (since > oldest && this.#watched.size <= MAX_WATCHED) return
      this.#watched.delete(hash)
    }
  }
}
