/**
 * Connections to one endpoint. Idle ones are kept a while and watched: bytes that no request asked for close them.
 * Built on Node's own client, which shares its parser with the listener: undici's costs 9 MB more in each process.
 */
import { Agent, type ClientRequest } from 'node:http'
import type { Socket } from 'node:net'
import type { Duplex } from 'node:stream'

const IDLE_MS = 8_000 // an endpoint that states a shorter time is heeded
const KEEP_ALIVE_PROBE_MS = 1_000
const MAX_IDLE = 16

export class EndpointAgent extends Agent {
  readonly #guards = new WeakMap<Duplex, () => void>()
  #distrustedUntil = -Infinity

  constructor () {
    super({ keepAlive: true, keepAliveMsecs: KEEP_ALIVE_PROBE_MS, maxFreeSockets: MAX_IDLE, scheduling: 'lifo', timeout: IDLE_MS })
  }

  /** Opens a connection for each request until `until`, as the endpoint answers out of turn. */
  distrust (until: number): void {
    this.#distrustedUntil = until
    this.dropIdle()
  }

  /** Closes idle connections, for instance because one of them turned out to be dead. */
  dropIdle (): void {
    for (const sockets of Object.values(this.freeSockets)) [...sockets ?? []].forEach(s => s.destroy())
  }

  /** Decides whether a connection outlives its request. */
  override keepSocketAlive (socket: Duplex): boolean {
    if (performance.now() < this.#distrustedUntil || !super.keepSocketAlive(socket)) return false
    const guard = (): void => { socket.destroy() }
    this.#guards.set(socket, guard)
    socket.on('data', guard)
    return true
  }

  override reuseSocket (socket: Duplex, req: ClientRequest): void {
    const guard = this.#guards.get(socket)
    if (guard !== undefined) socket.removeListener('data', guard)
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
