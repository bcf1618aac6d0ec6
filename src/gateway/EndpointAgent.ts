/**
 * Connection pool of one endpoint. Idle connections are kept alive for a while and closed on unsolicited bytes.
 * Built on Node's own HTTP client, which shares its parser with the server: undici takes 9 MB more in each process.
 */
import { Agent, type ClientRequest } from 'node:http'
import type { Socket } from 'node:net'
import type { Duplex } from 'node:stream'
import { ConnectionEnds, type ConnectionsAt } from '../common/routing/ConnectionEnds.js'
import { IdleConnections } from './IdleConnections.js'

const IDLE_TIMEOUT_MS = 8_000 // a shorter keep-alive timeout stated by the endpoint takes precedence
const KEEP_ALIVE_PROBE_MS = 1_000
const MAX_IDLE_CONNECTIONS = 16

/** State of an idle connection. */
interface IdleConnection {
  readonly since: number
  /** Closes the connection when unsolicited bytes arrive. */
  readonly onUnexpectedData: () => void
  /** Records that the endpoint's side closed the connection. */
  readonly onEnd: () => void
  readonly onClose: () => void
}

export class EndpointAgent extends Agent {
  readonly #idle = new WeakMap<Duplex, IdleConnection>()
  readonly #openedAt = new WeakMap<Duplex, number>()
  readonly #ends = new ConnectionEnds()
  readonly #allIdle: IdleConnections
  #reuseDisabledUntil = -Infinity

  /** @param allIdle idle connections of this and other agents. */
  constructor (allIdle = new IdleConnections(Infinity)) {
    super({ keepAlive: true, keepAliveMsecs: KEEP_ALIVE_PROBE_MS, maxFreeSockets: MAX_IDLE_CONNECTIONS, scheduling: 'lifo', timeout: IDLE_TIMEOUT_MS })
    this.#allIdle = allIdle
  }

  /** Opens a new connection for each request until `until`, as the endpoint sent a response that doesn't belong to its request. */
  disableReuse (until: number): void {
    this.#reuseDisabledUntil = until
    this.closeIdle()
  }

  /** Records that the endpoint's side closed a connection within an answer, or instead of one. */
  recordEnd (): void {
    this.#ends.recordEnd(performance.now())
  }

  /** What became of the connections at about `at`, on the monotonic clock; final after `CONNECTIONS_SETTLE_MS`. */
  connectionsAt (at: number): ConnectionsAt {
    const open = [...Object.values(this.sockets), ...Object.values(this.freeSockets)].flatMap(sockets => sockets ?? []).filter(socket => !socket.destroyed)
    return this.#ends.lookUp(at, open.map(socket => this.#openedAt.get(socket) ?? Infinity))
  }

  /** Closes connections that have been idle for at least `longerThanMs`, as they may be dead. */
  closeIdle (longerThanMs = 0): void {
    const before = performance.now() - longerThanMs
    for (const sockets of Object.values(this.freeSockets)) {
      for (const socket of [...sockets ?? []]) {
        if ((this.#idle.get(socket)?.since ?? -Infinity) <= before) socket.destroy()
      }
    }
  }

  override createConnection (...args: Parameters<Agent['createConnection']>): ReturnType<Agent['createConnection']> {
    const socket = super.createConnection(...args)
    if (socket !== null && socket !== undefined) this.#openedAt.set(socket, performance.now())
    return socket
  }

  /** Decides whether a connection is kept alive after its request. */
  override keepSocketAlive (socket: Duplex): boolean {
    if (performance.now() < this.#reuseDisabledUntil || !super.keepSocketAlive(socket)) return false
    const onUnexpectedData = (): void => { socket.destroy() }
    const onEnd = (): void => this.recordEnd()
    const onClose = (): void => this.#allIdle.remove(socket)
    this.#idle.set(socket, { since: performance.now(), onUnexpectedData, onEnd, onClose })
    socket.on('data', onUnexpectedData).once('end', onEnd).once('error', onEnd).once('close', onClose)
    this.#allIdle.add(socket)
    return true
  }

  override reuseSocket (socket: Duplex, req: ClientRequest): void {
    const idle = this.#idle.get(socket)
    if (idle !== undefined) socket.off('data', idle.onUnexpectedData).off('end', idle.onEnd).off('error', idle.onEnd).off('close', idle.onClose)
    this.#allIdle.remove(socket)
    ;(socket as Socket).setTimeout(0)
    super.reuseSocket(socket, req)
  }
}

declare module 'node:http' {
  interface Agent {
    keepSocketAlive (socket: Duplex): boolean
    reuseSocket (socket: Duplex, req: ClientRequest): void
  }
}
