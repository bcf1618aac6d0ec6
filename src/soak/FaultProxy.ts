/** A proxy on loopback in front of one address that delays, resets or silences the connections through it. */
import { connect, createServer, type AddressInfo, type Server, type Socket } from 'node:net'
import { Disposable, toDisposable } from '../common/Disposable.js'

/** What the proxy does to its connections; `deaf` passes nothing on towards the target, `mute` nothing back. */
export type ProxyMood = 'passes' | 'resets' | 'deaf' | 'mute' | 'silent'

/** Where connections through a proxy go; an address on loopback. */
export interface ProxyTarget {
  readonly host: string
  readonly port: number
}

export class FaultProxy extends Disposable {
  mood: ProxyMood = 'passes'
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

  #accept (near: Socket): void {
    if (this.mood === 'resets') {
      near.resetAndDestroy()
      return
    }
    const far = connect(this.#target())
    this.#join(near, far, () => this.mood === 'deaf' || this.mood === 'silent')
    this.#join(far, near, () => this.mood === 'mute' || this.mood === 'silent')
  }

  /** Passes bytes, the end and a reset of `from` on to `to`, in their order; what is swallowed is lost for good. */
  #join (from: Socket, to: Socket, swallows: () => boolean): void {
    this.#sockets.add(from)
    let swallowed = false
    const line = new DelayLine(() => this.delayMs)
    const later = (act: () => void): void => line.add(act)
    from.on('data', chunk => {
      swallowed ||= swallows()
      if (!swallowed) later(() => { if (!to.destroyed) to.write(chunk) })
    })
    from.on('end', () => { if (!swallowed) later(() => to.end()) })
    from.on('error', () => { if (!swallows()) later(() => to.resetAndDestroy()) })
    from.on('close', () => {
      this.#sockets.delete(from)
      if (!swallows()) later(() => to.destroy())
    })
  }
}

interface Waiting {
  readonly dueAt: number
  readonly act: () => void
}

/** Acts after a delay that may change, and always in the order in which they were added. */
class DelayLine {
  readonly #delayMs: () => number
  readonly #waiting: Waiting[] = []

  constructor (delayMs: () => number) {
    this.#delayMs = delayMs
  }

  add (act: () => void): void {
    const delayMs = this.#delayMs()
    if (delayMs === 0 && this.#waiting.length === 0) {
      act()
      return
    }
    this.#waiting.push({ dueAt: performance.now() + delayMs, act })
    if (this.#waiting.length === 1) this.#wait()
  }

  #wait (): void {
    setTimeout(() => {
      this.#waiting.shift()!.act()
      if (this.#waiting.length > 0) this.#wait()
    }, Math.max(0, this.#waiting[0]!.dueAt - performance.now()))
  }
}
