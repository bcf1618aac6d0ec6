/** TCP proxy on loopback in front of one address that delays connections, resets them or drops their data. */
import { connect, createServer, type AddressInfo, type Server, type Socket } from 'node:net'
import { Disposable, toDisposable } from '../common/Disposable.js'

/**
 * What the proxy does with connections: `drop-to-target` drops what clients send, `drop-to-client` what the target
 * sends, `drop-all` both.
 */
export type ProxyMode = 'forward' | 'reset' | 'drop-to-target' | 'drop-to-client' | 'drop-all'

/** Loopback address that connections are forwarded to. */
export interface ProxyTarget {
  readonly host: string
  readonly port: number
}

/** One proxy; connections are accepted from `listen` until it is disposed. */
export class FaultProxy extends Disposable {
  mode: ProxyMode = 'forward'
  /** Delay of each chunk in each direction, in ms. */
  delayMs = 0
  readonly #target: () => ProxyTarget
  readonly #server: Server
  readonly #sockets = new Set<Socket>()

  constructor (target: () => ProxyTarget) {
    super()
    this.#target = target
    this.#server = createServer(socket => this.#accept(socket))
    this.own(toDisposable(() => {
      this.#server.close()
      this.reset()
    }))
  }

  /** Starts listening on loopback and returns the port. */
  async listen (): Promise<number> {
    await new Promise<void>(resolve => this.#server.listen(0, '127.0.0.1', resolve))
    return (this.#server.address() as AddressInfo).port
  }

  /** Resets all open connections. */
  reset (): void {
    for (const socket of this.#sockets) socket.resetAndDestroy()
  }

  /** Local ports of the open connections. */
  get localPorts (): ReadonlyArray<number | undefined> {
    return [...this.#sockets].map(socket => socket.localPort)
  }

  #accept (client: Socket): void {
    if (this.mode === 'reset') {
      client.resetAndDestroy()
      return
    }
    const upstream = connect(this.#target())
    this.#pipe(client, upstream, () => this.mode === 'drop-to-target' || this.mode === 'drop-all')
    this.#pipe(upstream, client, () => this.mode === 'drop-to-client' || this.mode === 'drop-all')
  }

  /** Forwards data, end and reset from `from` to `to` in order. After a dropped chunk, later data and the end are dropped too. */
  #pipe (from: Socket, to: Socket, shouldDrop: () => boolean): void {
    this.#sockets.add(from)
    let dropped = false
    const queue = new DelayQueue(() => this.delayMs)
    const enqueue = (action: () => void): void => queue.add(action)
    from.on('data', chunk => {
      dropped ||= shouldDrop()
      if (!dropped) enqueue(() => { if (!to.destroyed) to.write(chunk) })
    })
    from.on('end', () => { if (!dropped) enqueue(() => to.end()) })
    from.on('error', () => { if (!shouldDrop()) enqueue(() => to.resetAndDestroy()) })
    from.on('close', () => {
      this.#sockets.delete(from)
      if (!shouldDrop()) enqueue(() => to.destroy())
    })
  }
}

/** Action and the time when it is due. */
interface DelayedAction {
  readonly dueAt: number
  readonly run: () => void
}

/** Runs actions after a delay that may change, always in the order in which they were added. */
class DelayQueue {
  readonly #delayMs: () => number
  readonly #actions: DelayedAction[] = []

  constructor (delayMs: () => number) {
    this.#delayMs = delayMs
  }

  add (run: () => void): void {
    const delayMs = this.#delayMs()
    if (delayMs === 0 && this.#actions.length === 0) {
      run()
      return
    }
    this.#actions.push({ dueAt: performance.now() + delayMs, run })
    if (this.#actions.length === 1) this.#scheduleNext()
  }

  #scheduleNext (): void {
    setTimeout(() => {
      this.#actions.shift()!.run()
      if (this.#actions.length > 0) this.#scheduleNext()
    }, Math.max(0, this.#actions[0]!.dueAt - performance.now()))
  }
}
