/** The response to one caller: sent once, aborted rather than ended when incomplete, with a listener for the caller's disconnect. */
import type { IncomingMessage, ServerResponse } from 'node:http'
import { ERROR_CODES, errorBody, type RouteError } from '../common/Errors.js'
import { framingOf, type AnswerFraming } from '../common/http/AnswerFraming.js'
import type { ResponseLine } from './RequestLog.js'
import { setResetOnClose } from './ResetOnClose.js'
import type { HeaderList } from './Types.js'

export class CallerResponse {
  readonly #res: ServerResponse
  readonly #req: IncomingMessage
  readonly #isDraining: () => boolean
  readonly #onUnread: () => void
  #disconnectListener: (() => void) | undefined
  #drainListener: (() => void) | undefined
  /** How the end of the response is marked; undefined before its head was sent. */
  #framing: AnswerFraming | undefined

  /**
   * @param isDraining true when this instance is stopping: the response closes its connection, so that the caller opens another.
   * @param onUnread called when bytes were written that the caller may not have read.
   */
  constructor (req: IncomingMessage, res: ServerResponse, isDraining: () => boolean, onUnread: () => void) {
    this.#onUnread = onUnread
    this.#req = req
    this.#res = res
    this.#isDraining = isDraining
    res.on('close', () => { if (!res.writableFinished) this.#disconnectListener?.() })
    res.on('drain', () => this.#drainListener?.())
  }

  /** True once the caller's connection has closed before the end of the response. */
  get disconnected (): boolean {
    return this.#res.destroyed && !this.#res.writableFinished
  }

  get headersSent (): boolean {
    return this.#res.headersSent
  }

  /** Status that was sent; 0 before any. */
  get status (): number {
    return this.#res.headersSent ? this.#res.statusCode : 0
  }

  /** Log fields of the response; undefined before its head was sent. */
  get line (): ResponseLine | undefined {
    return this.#framing === undefined ? undefined : { framing: this.#framing, whole: this.#res.writableEnded && !this.disconnected }
  }

  /** Sets the listener that is called when the caller disconnects before the end of the response. */
  onDisconnect (listener: () => void): void {
    this.#disconnectListener = listener
  }

  /** Sets the listener that is called when more may be written after `write` returned false. */
  onDrain (listener: () => void): void {
    this.#drainListener = listener
  }

  /** Sends the head at once, for a body that is streamed. */
  writeHead (status: number, headers: HeaderList): void {
    this.#res.writeHead(status, this.#withConnectionHeader(headers))
    this.#res.flushHeaders()
    const transferEncoding = this.#res.chunkedEncoding ? 'chunked' : undefined
    this.#framing = framingOf({ method: this.#req.method ?? '', status, contentLength: undefined, transferEncoding })
    if (this.#framing === 'connection') setResetOnClose(this.#req.socket, true)
  }

  /** Writes a part of the body; returns false on backpressure, when the caller reads more slowly than data arrives. */
  write (chunk: Uint8Array): boolean {
    const isRead = this.#res.write(chunk)
    if (!isRead) this.#onUnread()
    return isRead
  }

  end (): void {
    if (this.#framing === 'connection') setResetOnClose(this.#req.socket, false)
    this.#res.end()
  }

  /** Destroys the connection, so that a started response is recognisably incomplete. */
  destroy (): void {
    this.#res.destroy()
  }

  /** Sends a complete response. */
  send (status: number, headers: HeaderList, body: Uint8Array): void {
    if (this.disconnected) return
    this.#res.writeHead(status, this.#withConnectionHeader([...headers, 'Content-Length', String(body.length)]))
    this.#res.end(body)
    this.#framing = 'length'
    this.#onUnread()
  }

  /** Sends an error of the gateway; if a response has started, its connection is destroyed instead. */
  sendError (error: RouteError, headers: HeaderList): void {
    if (this.headersSent) {
      this.destroy()
      return
    }
    const body = Buffer.from(JSON.stringify(errorBody(error)))
    const unread = this.#req.complete ? [] : ['Connection', 'close']
    this.send(ERROR_CODES[error.code].status, ['Content-Type', 'application/json', ...headers, ...unread], body)
  }

  #withConnectionHeader (headers: HeaderList): string[] {
    return this.#isDraining() && !headers.includes('Connection') ? [...headers, 'Connection', 'close'] : [...headers]
  }
}
