/** The answer to one caller: writes it once, keeps an early end from looking complete, tells when the caller is gone. */
import type { IncomingMessage, ServerResponse } from 'node:http'
import { ERROR_CODES, errorBody, type RouteError } from '../common/Errors.js'
import type { HeaderList } from './Types.js'

export class CallerReply {
  readonly #res: ServerResponse
  readonly #req: IncomingMessage
  readonly #closing: () => boolean
  #onGone: (() => void) | undefined
  #onDrain: (() => void) | undefined

  /** @param closing true when this instance is stopping: the caller should use another connection next. */
  constructor (req: IncomingMessage, res: ServerResponse, closing: () => boolean) {
    this.#req = req
    this.#res = res
    this.#closing = closing
    res.on('close', () => { if (!res.writableFinished) this.#onGone?.() })
    res.on('drain', () => this.#onDrain?.())
  }

  /** True once the caller's connection is closed. */
  get gone (): boolean {
    return this.#res.destroyed && !this.#res.writableFinished
  }

  get started (): boolean {
    return this.#res.headersSent
  }

  /** Status that was sent; 0 before any. */
  get status (): number {
    return this.#res.headersSent ? this.#res.statusCode : 0
  }

  /** Sets what is called when the caller leaves before the answer's end. */
  whenGone (listener: () => void): void {
    this.#onGone = listener
  }

  /** Sets what is called when more may be written after `data` returned false. */
  whenDrained (listener: () => void): void {
    this.#onDrain = listener
  }

  /** Sends the head at once, for a body that comes in pieces. */
  head (status: number, headers: HeaderList): void {
    this.#res.writeHead(status, this.#framed(headers))
    this.#res.flushHeaders()
  }

  /** Returns false when the caller reads more slowly than data comes. */
  data (chunk: Uint8Array): boolean {
    return this.#res.write(chunk)
  }

  end (): void {
    this.#res.end()
  }

  /** Closes the connection, so that a started answer is seen to be incomplete. */
  break (): void {
    this.#res.destroy()
  }

  /** Sends a whole answer. */
  whole (status: number, headers: HeaderList, body: Uint8Array): void {
    if (this.gone) return
    this.#res.writeHead(status, this.#framed([...headers, 'Content-Length', String(body.length)]))
    this.#res.end(body)
  }

  /** Sends an error of this system; a started answer is broken off instead. */
  refuse (error: RouteError, headers: HeaderList): void {
    if (this.started) {
      this.break()
      return
    }
    const body = Buffer.from(JSON.stringify(errorBody(error)))
    const unread = this.#req.complete ? [] : ['Connection', 'close']
    this.whole(ERROR_CODES[error.code].status, ['Content-Type', 'application/json', ...headers, ...unread], body)
  }

  #framed (headers: HeaderList): string[] {
    return this.#closing() && !headers.includes('Connection') ? [...headers, 'Connection', 'close'] : [...headers]
  }
}
