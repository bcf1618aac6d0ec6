/** Stand-in of a worker of the users' platform: answers calls and streams, records executed requests and injects failures. */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import type { AddressInfo, Socket } from 'node:net'

/** Number of events of a complete stream. */
export const STREAM_EVENT_COUNT = 4
const DRIP_INTERVAL_MS = 50
const ENDLESS_CHUNK_BYTES = 65_536
const SMALL_CHUNK = '4\r\n####\r\n'
const SMALL_CHUNKS_A_WRITE = 8_192

/** How the worker treats requests. */
export type WorkerMode =
  /** Executes and answers. */
  | 'well'
  /** Refuses with 503 without executing. */
  | 'full'
  /** Executes and answers 500. */
  | 'failing'
  /** Executes and resets the connection instead of answering. */
  | 'losing'
  /** Executes and resets the connection in the middle of the second event of a stream; other calls are answered. */
  | 'tearing'
  /** Executes and answers a stream without length or chunks, whose connection ends normally in the middle of the second event; other calls are answered. */
  | 'unframed'
  /** The same, but the connection ends before the first event. */
  | 'unframed head'
  /** Executes and answers without length or chunks; the answer is whole. */
  | 'unframed whole'
  /** Executes and begins such an answer, then ends with all its connections: after the first event, or in the middle of another answer. */
  | 'unframed crash'
  /** Executes and never answers. */
  | 'mute'
  /** Executes, sends the first event of a stream and then one byte now and then; other calls are answered. */
  | 'dripping'
  /** Executes, sends the first event of a stream and then an event that never ends; other calls are answered. */
  | 'endless'
  /** Executes and answers with chunks of four bytes that never end. */
  | 'endless chunks'
  /** Executes, sends the head of a stream and resets the connection; other calls are answered. */
  | 'head only'
  /** Executes and answers with the id of another request. */
  | 'confused'

/** Timing, faults and callbacks of a worker. */
export interface WorkerOptions {
  /** Id of a prompt part: the worker ends when it begins to answer a request with this part. */
  readonly fatalPart?: string
  /** How much of the answer to a fatal request is sent: an event in part in chunks by default, no head, or a whole event without length or chunks. */
  readonly fatalAnswer?: 'none' | 'unframed event'
  /** Called for each request with the fatal part that arrives. */
  readonly onFatalRequest?: () => void
  /** Called when the worker has ended by the fatal part. */
  readonly onCrash?: () => void
  /** Ends the process of the worker in place of its server alone. */
  readonly endProcess?: () => void
  /** Time from a request to its answer or first event, in ms; none by default. */
  readonly workMs?: number
  /** Time between events of a stream, in ms; none by default. */
  readonly eventIntervalMs?: number
  /** Called for each request that arrives for this worker, also for those that it refuses. @param pauseMs pause that the refusal asks for, 0 for none. */
  readonly onArrival?: (id: string, pauseMs: number) => void
  /** Called when the execution of a request starts, with the client account that it runs for. */
  readonly onStart?: (id: string, account: string) => void
  /** Called when a request has ended: the answer was sent, or the connection closed before that. */
  readonly onEnd?: (id: string) => void
}

/** HTTP server of one simulated worker. */
export class PlatformWorker {
  mode: WorkerMode = 'well'
  /** Limit that the worker names in its answers, in requests a second; undefined for none. */
  requestsPerSec: number | undefined
  /** True to say in each answer that the worker is leaving. */
  leaving = false
  /** Value of `Retry-After` in refusals; undefined for none. */
  retryAfter: string | undefined
  /** Media type of answers that aren't streams. */
  mediaType = 'text/plain'
  /** Bytes that each answer which isn't a stream is filled up to. */
  minAnswerBytes = 0
  /** Times at which requests for this worker arrived, on the monotonic clock. */
  readonly arrivals: number[] = []
  /** Ids of the executed requests, in order. */
  readonly executedIds: string[] = []
  /** Headers of the most recent request. */
  lastHeaders: Readonly<Record<string, string | string[] | undefined>> = {}
  /** Bytes written in the mode `endless chunks`. */
  bytesOfSmallChunks = 0
  /** Requests whose connection closed before the answer was complete. */
  cancelled = 0
  readonly #id: string
  readonly #server: Server
  readonly #options: WorkerOptions
  #port = 0
  #running = 0

  constructor (id: string, options: WorkerOptions = {}) {
    this.#id = id
    this.#options = options
    this.#server = createServer((req, res) => this.#readRequest(req, res))
  }

  get port (): number {
    return this.#port
  }

  async listen (port = 0): Promise<void> {
    await new Promise<void>(resolve => this.#server.listen(port, '127.0.0.1', resolve))
    this.#port = (this.#server.address() as AddressInfo).port
  }

  /** Serves a connection that another process has accepted. */
  serve (socket: Socket): void {
    this.#server.emit('connection', socket)
    socket.resume()
  }

  /** Refuses new connections; open ones go on. */
  stopListening (): void {
    this.#server.close()
  }

  close (): void {
    this.#server.close()
    this.#server.closeAllConnections()
  }

  /** Entry of the worker in the store. */
  storeEntry (service: string, state: 'ready' | 'draining' = 'ready', port = this.#port): object {
    return { service, address: `127.0.0.1:${port}`, zone: 'a', version: 'v1', slots: 8, state, cold_left_ms: 0, seq_no: 1 }
  }

  #readRequest (req: IncomingMessage, res: ServerResponse): void {
    const chunks: Buffer[] = []
    req.on('data', (chunk: Buffer) => chunks.push(chunk))
    req.on('end', () => this.#execute(req, res, Buffer.concat(chunks)))
    res.on('close', () => {
      if (!res.writableFinished) this.cancelled++
      this.#options.onEnd?.(String(req.headers['attempt-id']))
    })
  }

  #execute (req: IncomingMessage, res: ServerResponse, body: Buffer): void {
    this.lastHeaders = req.headers
    const id = String(req.headers['attempt-id'])
    if (req.headers['expect-instance'] !== this.#id) {
      res.writeHead(421, { 'instance-id': this.#id, 'attempt-id': id }).end()
      return
    }
    this.arrivals.push(performance.now())
    this.#options.onArrival?.(id, this.mode === 'full' ? 1_000 * Number(this.retryAfter ?? 0) : 0)
    if (this.mode === 'full') {
      res.writeHead(503, { 'attempt-id': id, 'not-executed': '1', ...this.retryAfter === undefined ? {} : { 'retry-after': this.retryAfter } }).end()
      return
    }
    if (this.#isFatal(req)) this.#options.onFatalRequest?.()
    this.executedIds.push(id)
    this.#options.onStart?.(id, String(req.headers.tenant ?? ''))
    if (this.mode === 'mute') return
    this.#running++
    res.once('close', () => { this.#running-- })
    const { workMs } = this.#options
    if (workMs === undefined) this.#answer(req, res, id, body)
    else setTimeout(() => { if (!res.destroyed) this.#answer(req, res, id, body) }, workMs)
  }

  #answer (req: IncomingMessage, res: ServerResponse, id: string, body: Buffer): void {
    if (this.mode === 'losing') {
      (req.socket as Socket).resetAndDestroy()
      return
    }
    const headers = { 'attempt-id': this.mode === 'confused' ? 'another' : id, 'server-signature': `${this.#id}.${id}`, 'server-load': `${this.#running},0,8` }
    if (this.leaving) res.setHeader('server-leaving', '1')
    if (this.requestsPerSec !== undefined) res.setHeader('server-limit', String(this.requestsPerSec))
    if (this.mode.startsWith('unframed')) res.useChunkedEncodingByDefault = false
    if (this.mode === 'endless chunks') this.#writeSmallChunks(req.socket, headers)
    else if (this.mode === 'failing') res.writeHead(500, headers).end('failed')
    else if (req.url?.startsWith('/stream') === true) this.#startStream(req, res, headers)
    else this.#answerCall(res, headers, `answer to ${id}: ${body.toString()}`.padEnd(this.minAnswerBytes, '.'))
  }

  #answerCall (res: ServerResponse, headers: Record<string, string>, text: string): void {
    res.writeHead(200, { ...headers, 'content-type': this.mediaType })
    if (this.mode === 'unframed crash') res.write(text.slice(0, text.length / 2), () => setTimeout(() => this.#crash(), DRIP_INTERVAL_MS))
    else res.end(text)
  }

  /** Writes chunks of a few bytes as fast as they are read, until the connection closes. */
  #writeSmallChunks (socket: Socket, headers: Readonly<Record<string, string>>): void {
    const head = Object.entries({ ...headers, 'transfer-encoding': 'chunked' }).map(header => `${header.join(': ')}\r\n`)
    const chunks = Buffer.from(SMALL_CHUNK.repeat(SMALL_CHUNKS_A_WRITE))
    socket.write(`HTTP/1.1 200 OK\r\n${head.join('')}\r\n`)
    const write = (): void => {
      while (!socket.destroyed) {
        this.bytesOfSmallChunks += chunks.length
        if (!socket.write(chunks)) break
      }
      socket.once('drain', write)
    }
    write()
  }

  /** Sends all events, or those after the caller's `last-event-id`. */
  #startStream (req: IncomingMessage, res: ServerResponse, headers: Record<string, string>): void {
    const { fatalAnswer } = this.#options
    if (fatalAnswer === 'none' && this.#isFatal(req)) {
      this.#crash()
      return
    }
    if (fatalAnswer === 'unframed event' && this.#isFatal(req)) res.useChunkedEncodingByDefault = false
    res.writeHead(200, { ...headers, 'content-type': 'text/event-stream' })
    res.flushHeaders()
    if (this.#isFatal(req)) res.write(fatalAnswer === undefined ? 'id: 1\ndata: to' : 'id: 1\ndata: token1\n\n', () => this.#crash())
    else this.#writeEvent(req, res, Number(req.headers['last-event-id'] ?? 0) + 1, this.mode)
  }

  /** True for a request whose prompt has the fatal part. */
  #isFatal (req: IncomingMessage): boolean {
    const { fatalPart } = this.#options
    return fatalPart !== undefined && String(req.headers['prefix-hash'] ?? '').split(',').some(part => part.split(':')[0] === fatalPart)
  }

  #crash (): void {
    this.#options.endProcess?.()
    if (!this.#server.listening) return
    this.close()
    this.#options.onCrash?.()
  }

  /** Writes `text` again and again until the connection closes. */
  #writeForever (res: ServerResponse, text: string): void {
    const timer = setInterval(() => res.write(text), DRIP_INTERVAL_MS)
    res.once('close', () => clearInterval(timer))
  }

  /** @param mode mode in which the stream began: its framing can't change any more. */
  #writeEvent (req: IncomingMessage, res: ServerResponse, event: number, mode: WorkerMode): void {
    if (res.destroyed) return
    if (event > STREAM_EVENT_COUNT) {
      res.end()
    } else if (mode === 'unframed head') {
      res.end()
    } else if (mode === 'head only') {
      setTimeout(() => (req.socket as Socket).resetAndDestroy(), DRIP_INTERVAL_MS)
    } else if ((mode === 'dripping' || mode === 'endless') && event === 2) {
      this.#writeForever(res, mode === 'dripping' ? 'x' : 'x'.repeat(ENDLESS_CHUNK_BYTES))
    } else if (mode === 'unframed crash' && event === 2) {
      setTimeout(() => this.#crash(), DRIP_INTERVAL_MS)
    } else if (mode === 'unframed' && event === 2) {
      res.end('id: 2\ndata: to')
    } else if (mode === 'tearing' && event === 2) {
      res.write('id: 2\ndata: to', () => (req.socket as Socket).resetAndDestroy())
    } else {
      res.write(`id: ${event}\ndata: token${event}\n\n`)
      const { eventIntervalMs } = this.#options
      if (eventIntervalMs === undefined) this.#writeEvent(req, res, event + 1, mode)
      else setTimeout(() => this.#writeEvent(req, res, event + 1, mode), eventIntervalMs)
    }
  }
}
