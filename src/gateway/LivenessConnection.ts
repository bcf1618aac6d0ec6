/**
 * An idle connection that shows whether the process which accepted it lives on: the process's end closes it, and a successor can't hold it open.
 */
import { connect, type Socket } from 'node:net'
import type { Liveness } from '../common/http/UnmarkedEnd.js'

const CONNECT_TIMEOUT_MS = 150
const SETTLE_MS = 50 // a process that ends closes its connections one after the other, and their packets may take different times
/** Time for which a connection serves further answers, and stays open without one: servers close those that are unused for long. */
export const REUSE_MS = 1_000

/** An address to connect to. */
export interface LivenessTarget {
  readonly address: string
  readonly port: number
}

/** Such a connection; it isn't opened again after its end. */
export class LivenessConnection {
  readonly #socket: Socket
  readonly #connected: Promise<void>
  #wasOpen = false
  #ended = false
  readonly #openedAt = performance.now()
  /** Watches that use the connection. */
  watches = 0
  /** Closes the connection a while after its last watch. */
  lingerTimer: NodeJS.Timeout | undefined

  constructor ({ address: host, port }: LivenessTarget) {
    const socket = connect({ host, port })
    this.#socket = socket
    this.#connected = new Promise(resolve => {
      socket.once('connect', () => {
        this.#wasOpen = true
        resolve()
      })
      socket.once('close', () => {
        this.#ended = true
        resolve()
      })
    })
    socket.on('error', () => {}) // 'close' follows
    socket.on('end', () => { this.#ended = true })
    socket.resume() // an end is noticed only by reading
  }

  /** True while further answers may be watched by this connection. */
  get isReusable (): boolean {
    return !this.#ended && performance.now() - this.#openedAt < REUSE_MS
  }

  /** Resolves to what is known of the process once its end would have been noticed; never rejects. */
  async check (): Promise<Liveness> {
    await Promise.race([this.#connected, sleep(CONNECT_TIMEOUT_MS)])
    if (this.#wasOpen && !this.#ended) await sleep(SETTLE_MS)
    if (!this.#wasOpen) return 'unknown'
    return this.#ended ? 'ended' : 'held'
  }

  close (): void {
    this.#ended = true
    clearTimeout(this.lingerTimer)
    this.#socket.destroy()
  }
}

async function sleep (ms: number): Promise<void> {
  await new Promise(resolve => setTimeout(resolve, ms))
}
