/**
 * Shows whether the process that an endpoint runs in lives on, by idle connections to it. They are opened for answers whose end isn't marked,
 * one for those that begin within a second.
 */
import { toDisposable } from '../common/Disposable.js'
import type { Liveness } from '../common/http/UnmarkedEnd.js'
import type { IDisposable } from '../common/Services.js'
import { LivenessConnection, REUSE_MS, type LivenessTarget } from './LivenessConnection.js'

/** Watches an endpoint from the moment when it was created. */
export interface ILivenessWatch extends IDisposable {
  /** Resolves to what is known of the process once its end would have been noticed; never rejects. */
  check (): Promise<Liveness>
}

/** The connections that watch one endpoint, while answers need them. */
export class EndpointLiveness implements IDisposable {
  readonly #target: LivenessTarget
  readonly #open = new Set<LivenessConnection>()
  #newest: LivenessConnection | undefined
  #wasWatched = false

  constructor (target: LivenessTarget) {
    this.#target = target
  }

  /** Watches the endpoint from the start of a request when an earlier answer had to be watched; undefined when none had. */
  watchAgain (): ILivenessWatch | undefined {
    return this.#wasWatched ? this.watch() : undefined
  }

  /** Watches the endpoint until the watch is disposed. */
  watch (): ILivenessWatch {
    this.#wasWatched = true
    const connection = this.#newest?.isReusable === true ? this.#newest : this.#connect()
    clearTimeout(connection.lingerTimer)
    connection.watches++
    const release = toDisposable(() => { if (--connection.watches === 0) this.#linger(connection) })
    return { check: async () => await connection.check(), dispose: () => release.dispose() }
  }

  dispose (): void {
    for (const connection of [...this.#open]) this.#close(connection)
  }

  #connect (): LivenessConnection {
    const connection = new LivenessConnection(this.#target)
    this.#newest = connection
    this.#open.add(connection)
    return connection
  }

  #linger (connection: LivenessConnection): void {
    if (!connection.isReusable) this.#close(connection)
    else connection.lingerTimer = setTimeout(() => this.#close(connection), REUSE_MS).unref()
  }

  #close (connection: LivenessConnection): void {
    this.#open.delete(connection)
    connection.close()
  }
}
