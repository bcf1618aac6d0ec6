/**
 * Connections of callers, and how they end: after the last answer has been read, or at once when they hold more than `ConnectionTable`
 * allows. Owns the errors that are sent before a request could be read: their statuses promise that it was not run and never will be, so
 * no request of such a connection is run afterwards.
 */
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import type { Socket } from 'node:net'
import type { Duplex } from 'node:stream'
import type { ConnectionLimits } from '../../common/limits/ConnectionLimits.js'
import { ConnectionTable, type ConnectionRefusal, type Eviction } from '../../common/limits/ConnectionTable.js'
import type { Log } from '../telemetry/Log.js'
import { ConnectionLog } from './ConnectionLog.js'

const LINGER_MS = 1_000 // reads on for so long after the last answer, as a close with unread bytes would destroy it on its way
const CHECK_MS = 250 // between checks of what connections hold that causes no event

/** Statuses of requests that can't be read. */
type UnreadableStatus = 400 | 408 | 431

const REASONS: Readonly<Record<UnreadableStatus, string>> = { 400: 'Bad Request', 408: 'Request Timeout', 431: 'Request Header Fields Too Large' }

/** What is known of one connection. */
interface Connection {
  /** Responses that haven't been sent completely, in the order of their requests. */
  readonly pending: Set<ServerResponse>
  /** Requests that wait for the responses to those before them. */
  readonly queue: Array<() => void>
  /** Requests whose heads were read. */
  requests: number
  /** True when no further request of it is taken. */
  ending: boolean
}

/** Serves a request. @param waitedMs time that it waited for the responses to those before it on its connection. */
export type RequestListener = (req: IncomingMessage, res: ServerResponse, waitedMs: number) => void

/** Told how many sockets callers' connections and forwarded requests leave, whenever they take some or give some back. */
export type FreeSocketsListener = (free: number) => void

/** Counts what was refused, by the limit that was reached. */
export type RefusalCounter = (refusal: ConnectionRefusal) => void

export class CallerConnections {
  readonly #log: ConnectionLog
  readonly #table: ConnectionTable<Socket>
  readonly #countRefusal: RefusalCounter
  readonly #onFreeSockets: FreeSocketsListener
  readonly #connections = new WeakMap<Duplex, Connection>()
  readonly #open = new Set<Socket>()
  /** Connections on which responses were written whose unread bytes haven't been looked at since. */
  readonly #written = new Set<Socket>()
  #accepted = 0

  constructor (log: Log, limits: ConnectionLimits, countRefusal: RefusalCounter, onFreeSockets: FreeSocketsListener = () => {}) {
    this.#onFreeSockets = onFreeSockets
    this.#log = new ConnectionLog(log, performance.now())
    this.#table = new ConnectionTable(limits, { bytesRead: socket => socket.bytesRead, isReading: socket => this.#isReading(socket) })
    this.#countRefusal = countRefusal
  }

  /** Number of connections that haven't closed. */
  get openCount (): number {
    return this.#open.size
  }

  /** Number of connections that have been accepted so far. */
  get acceptedCount (): number {
    return this.#accepted
  }

  /**
   * Takes over the connections of a server, and passes on those of its requests that are accepted: one of a connection at a time, so that
   * what a connection holds doesn't grow with the requests that are sent on it.
   */
  attach (server: Server, serve: RequestListener): void {
    server.on('connection', socket => this.#onConnection(socket))
    server.on('request', (req, res) => this.#accept(req, res, serve))
    // without these listeners Node answers such requests itself, any number on a connection
    server.on('checkContinue', (req, res) => this.#accept(req, res, (_req, _res, waitedMs) => {
      res.writeContinue()
      serve(req, res, waitedMs)
    }))
    server.on('checkExpectation', (req, res) => this.#accept(req, res, () => { res.writeHead(417, { 'content-length': 0 }).end() }))
    const timer = setInterval(() => this.#check(), CHECK_MS).unref()
    server.once('close', () => clearInterval(timer))
  }

  /** Closes connections on which the body of a request hardly comes, as bodies take all of their memory. */
  closeSlowBodies (): void {
    this.#evict(this.#table.closeSlowBodies())
  }

  /** Records that a response was written which its caller may not have read. */
  noteWritten (socket: Socket): void {
    if (this.#written.size === 0) setImmediate(() => this.#checkWritten()) // the system may take all of it until then
    this.#written.add(socket)
  }

  /** Takes a place for a request that is to be forwarded; undefined when there is none, and it must be refused. Its end is to be called once. */
  beginForward (): (() => void) | undefined {
    const { granted, evicted } = this.#table.beginForward(performance.now())
    this.#evict(evicted)
    this.#onFreeSockets(this.#table.freeSockets)
    if (granted) return () => this.#endForward()
    this.#countRefusal('forwards')
    return undefined
  }

  #endForward (): void {
    this.#table.endForward()
    this.#onFreeSockets(this.#table.freeSockets)
  }

  /** Ends connections that have been used and wait for their next request. */
  closeIdle (): void {
    for (const socket of this.#open) {
      const connection = this.#connection(socket)
      if (connection.ending || connection.requests === 0 || connection.pending.size > 0) continue
      this.#stopTaking(socket)
      endAndLinger(socket)
    }
  }

  #onConnection (socket: Socket): void {
    this.#accepted++
    this.#open.add(socket)
    socket.once('close', () => {
      this.#open.delete(socket)
      this.#table.remove(socket)
    })
    // called by Node after the last answer; its own one closes at once, and bytes that weren't read would make that a reset
    socket.destroySoon = () => {
      this.#stopTaking(socket)
      endAndLinger(socket)
    }
    this.#evict(this.#table.add(socket, performance.now()))
    this.#onFreeSockets(this.#table.freeSockets)
  }

  /** Serves a request whose head was read once those before it are answered, unless its connection ends or holds too many. */
  #accept (req: IncomingMessage, res: ServerResponse, serve: RequestListener): void {
    const { socket } = req
    const connection = this.#connection(socket)
    connection.requests++
    if (connection.ending) {
      this.#log.write({ requests: connection.requests }, 'request on a connection that ends dropped', performance.now())
      return
    }
    const now = performance.now()
    const refusal = this.#table.beginRequest(socket, now)
    if (refusal !== undefined) {
      this.#dropPipelined(socket, connection, refusal)
      return
    }
    const isFirst = connection.pending.size === 0
    connection.pending.add(res)
    res.on('drain', () => this.#checkUnread(socket))
    res.once('close', () => this.#onResponseClose(socket, connection, res))
    if (isFirst) serve(req, res, 0)
    else connection.queue.push(() => serve(req, res, performance.now() - now))
  }

  #onResponseClose (socket: Socket, connection: Connection, res: ServerResponse): void {
    connection.pending.delete(res)
    this.#table.endRequest(socket, performance.now())
    this.#checkUnread(socket)
    if (connection.ending && connection.pending.size === 0) endAndLinger(socket)
    if (socket.writable) connection.queue.shift()?.()
  }

  #isReading (socket: Socket): boolean {
    const [res] = [...this.#connection(socket).pending].slice(-1)
    return res?.req.complete === false
  }

  /** Takes no further request of a connection; it ends after the responses to those that were taken. */
  #dropPipelined (socket: Socket, connection: Connection, refusal: ConnectionRefusal): void {
    this.#refused(socket, refusal, 'pipelined requests dropped')
    this.#stopTaking(socket)
    if (connection.pending.size > 0) pauseInput(socket)
    else socket.destroy()
  }

  #stopTaking (socket: Socket): void {
    this.#connection(socket).ending = true
    this.#table.close(socket, performance.now())
    stopParsing(socket)
  }

  #evict (evictions: ReadonlyArray<Eviction<Socket>>): void {
    for (const { connection: socket, refusal } of evictions) {
      this.#refused(socket, refusal, 'connection closed')
      this.#connection(socket).ending = true
      stopParsing(socket)
      socket.destroy()
    }
  }

  #refused (socket: Socket, refusal: ConnectionRefusal, message: string): void {
    this.#countRefusal(refusal)
    const { pending, requests } = this.#connection(socket)
    const { size: open, unreadBytes } = this.#table
    const { remoteAddress: peer, bytesRead } = socket
    this.#log.write({ refusal, peer, requests, unanswered: pending.size, bytesRead, open, unreadBytes }, message, performance.now())
  }

  #check (): void {
    this.#evict(this.#table.checkHeads(performance.now()))
    this.#table.checkBodies(performance.now())
    for (const socket of this.#open) {
      if (this.#connection(socket).pending.size > 0) this.#checkUnread(socket)
    }
  }

  #checkWritten (): void {
    const written = [...this.#written]
    this.#written.clear()
    for (const socket of written) this.#checkUnread(socket)
  }

  #checkUnread (socket: Socket): void {
    let bytes = 0
    for (const res of this.#connection(socket).pending) bytes += res.writableLength
    this.#evict(this.#table.setUnread(socket, bytes, performance.now()))
  }

  /**
   * Refuses a connection whose input the parser gave up. A timeout is decided anew once the input has been read that waits: after a pause
   * of this process it is due before that.
   * @param headers further lines of the error's head, each with its line end.
   */
  onClientError (e: NodeJS.ErrnoException, socket: Socket, headers = '', body = ''): void {
    if (!socket.writable || e.code === 'ECONNRESET') {
      socket.destroy()
      return
    }
    const status = statusOf(e)
    const connection = this.#connection(socket)
    const { requests } = connection
    const refuse = (): void => {
      if (connection.ending || !socket.writable) return
      this.#log.write({ status, err: e.code ?? e.message, requests, unanswered: connection.pending.size }, 'connection refused', performance.now())
      this.#stopTaking(socket)
      refuseConnection(socket, connection, errorText(status, headers, body))
    }
    if (status !== 408) refuse()
    else setImmediate(() => { if (connection.requests === requests) refuse() })
  }

  #connection (socket: Duplex): Connection {
    const connection = this.#connections.get(socket) ?? { pending: new Set(), queue: [], requests: 0, ending: false }
    this.#connections.set(socket, connection)
    return connection
  }
}

/** Sends an error, unless its caller would take it for the answer to a request that may have run: then the connection ends after that answer. */
function refuseConnection (socket: Socket, connection: Connection, error: string): void {
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

/** The part of Node's parser that passes on requests. Not in its types. */
interface RequestParser {
  onIncoming: () => number
}

const STOP_PARSING = 2 // what Node's own listener returns for a connection that changes to another protocol

/** Stops the parser at the next request, also within what was read already: Node parses all of it, thousands of short requests at once. */
function stopParsing (socket: Socket): void {
  const { parser } = socket as { parser?: RequestParser | null }
  if (parser !== undefined && parser !== null) parser.onIncoming = () => STOP_PARSING
}

/** Reads on without parsing. */
function discardInput (socket: Socket): void {
  socket.removeAllListeners('data') // Node's parser reads through one of them
  socket.on('data', () => {}).resume()
}

/** Reads no more until the last response was sent. */
function pauseInput (socket: Socket): void {
  discardInput(socket)
  setImmediate(() => { if (!socket.writableEnded) socket.pause() }) // Node reads on after each request that it parses in this turn
}

/** Ends the writable side and, a moment after the last byte of it was sent, the whole connection. */
function endAndLinger (socket: Socket, text = ''): void {
  if (socket.writableEnded) return
  if (text === '') socket.end()
  else socket.end(text)
  socket.once('finish', () => {
    discardInput(socket)
    const timer = setTimeout(() => socket.destroy(), LINGER_MS)
    socket.once('close', () => clearTimeout(timer))
  })
}
