/**
 * Connections of callers, and how they end: after the last answer has been read. Owns the errors that are sent before a request could be
 * read: their statuses promise that it was not run and never will be, so no request of such a connection is run afterwards.
 */
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import type { Socket } from 'node:net'
import type { Duplex } from 'node:stream'
import type { Log } from '../telemetry/Log.js'

const LINGER_MS = 1_000 // reads on for so long after the last answer, as a close with unread bytes would destroy it on its way

/** Statuses of requests that can't be read. */
type UnreadableStatus = 400 | 408 | 431

const REASONS: Readonly<Record<UnreadableStatus, string>> = { 400: 'Bad Request', 408: 'Request Timeout', 431: 'Request Header Fields Too Large' }

/** What is known of one connection. */
interface Connection {
  /** Responses that haven't been sent completely. */
  readonly pending: Set<ServerResponse>
  /** Requests whose heads were read. */
  requests: number
  /** True when no further request of it is taken. */
  ending: boolean
}

export class CallerConnections {
  readonly #log: Log
  readonly #connections = new WeakMap<Duplex, Connection>()
  readonly #open = new Set<Socket>()
  #accepted = 0

  constructor (log: Log) {
    this.#log = log
  }

  /** Number of connections that haven't closed. */
  get openCount (): number {
    return this.#open.size
  }

  /** Number of connections that have been accepted so far. */
  get acceptedCount (): number {
    return this.#accepted
  }

  /** Takes over the connections of a server. */
  attach (server: Server): void {
    server.on('connection', (socket: Socket) => {
      this.#accepted++
      this.#open.add(socket)
      socket.once('close', () => this.#open.delete(socket))
      // called by Node after the last answer; its own one closes at once, and bytes that weren't read would make that a reset
      socket.destroySoon = () => {
        this.#connection(socket).ending = true
        endAndLinger(socket)
      }
    })
  }

  /** Ends connections that have been used and wait for their next request. */
  closeIdle (): void {
    for (const socket of this.#open) {
      const connection = this.#connection(socket)
      if (connection.ending || connection.requests === 0 || connection.pending.size > 0) continue
      connection.ending = true
      endAndLinger(socket)
    }
  }

  /** Records a request whose head was read; false when its connection ends, so that the request must not run. */
  accept (req: IncomingMessage, res: ServerResponse): boolean {
    const connection = this.#connection(req.socket)
    connection.requests++
    if (connection.ending) {
      this.#log.info({ step: 'accept', requests: connection.requests }, 'request on a connection that ends dropped')
      return false
    }
    connection.pending.add(res)
    res.once('close', () => {
      connection.pending.delete(res)
      if (connection.ending && connection.pending.size === 0) endAndLinger(req.socket)
    })
    return true
  }

  /**
   * Refuses a connection whose input the parser gave up. A timeout is decided anew once the input has been read that waits: after a pause
   * of this process it is due before that.
   * @param headers further lines of the error's head, each with its line end.
   */
  onClientError (e: NodeJS.ErrnoException, socket: Duplex, headers = '', body = ''): void {
    if (!socket.writable || e.code === 'ECONNRESET') {
      socket.destroy()
      return
    }
    const status = statusOf(e)
    const connection = this.#connection(socket)
    const { requests } = connection
    const refuse = (): void => {
      if (connection.ending || !socket.writable) return
      this.#log.info({ step: 'accept', status, err: e.code ?? e.message, requests, unanswered: connection.pending.size }, 'connection refused')
      refuseConnection(socket, connection, errorText(status, headers, body))
    }
    if (status !== 408) refuse()
    else setImmediate(() => { if (connection.requests === requests) refuse() })
  }

  #connection (socket: Duplex): Connection {
    const connection = this.#connections.get(socket) ?? { pending: new Set(), requests: 0, ending: false }
    this.#connections.set(socket, connection)
    return connection
  }
}

/** Sends an error, unless its caller would take it for the answer to a request that may have run: then the connection ends after that answer. */
function refuseConnection (socket: Duplex, connection: Connection, error: string): void {
  connection.ending = true
  const pending = [...connection.pending]
  if (pending.some(res => res.req.complete)) return
  endAndLinger(socket, pending.some(res => res.headersSent) ? '' : error)
}

function statusOf (e: NodeJS.ErrnoException): UnreadableStatus {
  if (e.code === 'HPE_HEADER_OVERFLOW') return 431
  return e.code === 'ERR_HTTP_REQUEST_TIMEOUT' ? 408 : 400
}

function errorText (status: UnreadableStatus, headers: string, body: string): string {
  return `HTTP/1.1 ${status} ${REASONS[status]}\r\nConnection: close\r\n${headers}Content-Length: ${Buffer.byteLength(body)}\r\n\r\n${body}`
}

/** Ends the writable side and, a moment after the last byte of it was sent, the whole connection. */
function endAndLinger (socket: Duplex, text = ''): void {
  if (socket.writableEnded) return
  if (text === '') socket.end()
  else socket.end(text)
  socket.once('finish', () => {
    const timer = setTimeout(() => socket.destroy(), LINGER_MS)
    socket.once('close', () => clearTimeout(timer))
  })
}
