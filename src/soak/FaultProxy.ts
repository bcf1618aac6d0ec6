/** A proxy on loopback in front of one address that delays, resets or silences the connections through it. */
import { connect, createServer, type AddressInfo, type Server, type Socket } from 'node:net'
import { Disposable, toDisposable } from '../common/Disposable.js'

/** What the proxy does to its connections; `deaf` passes nothing on towards the target, `mute` nothing back. */
export type ProxyMode = 'passes' | 'resets' | 'deaf' | 'mute' | 'silent'

/** Where connections through a proxy go; an address on loopback. */
export interface ProxyTarget {
  readonly host: string
  readonly port: number
}

export class FaultProxy extends Disposable {
  mode: ProxyMode = 'passes'
  /** Added to each chunk, in each direction. */
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

  async listen (): Promise<number> {
    await new Promise<void>(resolve => this.#server.listen(0, '127.0.0.1', resolve))
    return (this.#server.address() as AddressInfo).port
  }

  /** Resets all open connections. */
  reset (): void {
    for (const socket of this.#sockets) socket.resetAndDestroy()
  }

  #accept (client: Socket): void {
    if (this.mode === 'resets') {
      client.resetAndDestroy()
      return
    }
    const upstream = connect(this.#target())
    this.#pipe(client, upstream, () => this.mode === 'deaf' || this.mode === 'silent')
    this.#pipe(upstream, client, () => this.mode === 'mute' || this.mode === 'silent')
  }

  /** Passes bytes, the end and a reset of `from` on to `to`, in their order; what is swallowed is lost for good. */
  #pipe (from: Socket, to: Socket, shouldDrop: () => boolean): void {
    this.#sockets.add(from)
    let dropped = false
    const queue = new DelayQueue(() => this.delayMs)
    const enqueue = (act: () => void): void => queue.add(act)
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

interface DelayedAction {
  readonly dueAt: number
  readonly run: () => void
}

/** Acts after a delay that may change, and always in the order in which they were added. */
class DelayQueue {
  readonly #delayMs: () => number
  readonly #actions: DelayedAction[] = []

  constructor (delayMs: () => number) {
    this.#delayMs = delayMs
  }

  add (act: () => void): void {
    const delayMs = this.#delayMs()
    if (delayMs === 0 && this.#actions.length === 0) {
      act()
      return
    }
    this.#actions.push({ dueAt: performance.now() + delayMs, run: act })
    if (this.#actions.length === 1) this.#scheduleNext()
  }

  #scheduleNext (): void {
    setTimeout(() => {
      this.#actions.shift()!.run()
      if (this.#actions.length > 0) this.#scheduleNext()
    }, Math.max(0, this.#actions[0]!.dueAt - performance.now()))
  }
}
