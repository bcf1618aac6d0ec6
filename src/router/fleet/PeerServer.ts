/** HTTP listener for peers and operators: chats and service calls over plain HTTP, everything else over tRPC; also `/metrics`. */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import { createHTTPHandler } from '@trpc/server/adapters/standalone'
import { HEADER } from '../../common/Constants.js'
import { Disposable, toDisposable } from '../../common/Disposable.js'
import type { RouteError } from '../../common/Errors.js'
import { constantTimeEqual } from './Crypto.js'
import { headerOf, listen } from '../callers/HttpUtils.js'
import type { Log } from '../telemetry/Log.js'
import type { Metrics } from '../telemetry/Metrics.js'
import { createApiContext, createPeerApi, type IPeerApiHost } from './PeerApi.js'
import { readBody } from '../callers/RequestBody.js'
import type { ServiceRunner } from '../services/ServiceRunner.js'
import type { Tracing } from '../telemetry/Tracing.js'
import type { ChatCall, HomeReply, IChatRun, IChatSink, IHomeNode, ResumeCall, ServiceCallMessage } from '../Types.js'

const KEEP_ALIVE_MS = 60_000

/** Dependencies and limits of the listener. */
export interface PeerServerDependencies {
  readonly home: IHomeNode
  readonly runner: ServiceRunner
  readonly api: IPeerApiHost
  readonly metrics: Metrics
  readonly tracing: Tracing
  readonly log: Log
  readonly secret: string
  readonly maxBodyBytes: number
}

/** Streams a chat's response to a peer. */
class PeerResponseSink implements IChatSink {
  readonly #res: ServerResponse
  run: IChatRun | undefined

  constructor (res: ServerResponse) {
    this.#res = res
    res.on('drain', () => this.run?.resume())
  }

  onAccepted (endpoint: string): void {
    if (this.#res.headersSent) return
    this.#res.writeHead(200, { 'content-type': 'text/event-stream', [HEADER.endpoint]: endpoint })
    this.#res.flushHeaders()
  }

  onEvents (bytes: Uint8Array, _events: number, done: boolean): void {
    if (done) this.#res.end(bytes)
    else if (!this.#res.write(bytes)) this.run?.pause()
  }

  onReply (reply: HomeReply): void {
    sendReply(this.#res, reply)
  }

  /** Once the stream has started, an error closes the connection, upon which the peer resumes or replays the chat. */
  onError (error: RouteError): void {
    sendReply(this.#res, { kind: 'error', error })
  }
}

function sendReply (res: ServerResponse, reply: HomeReply): void {
  if (res.headersSent) {
    res.destroy()
    return
  }
  res.writeHead(409, { 'content-type': 'application/json' })
  res.end(JSON.stringify(reply))
}

/** Serves requests of peers and operators. */
export class PeerServer extends Disposable {
  readonly #deps: PeerServerDependencies
  readonly #server: Server
  readonly #handleTrpc: (req: IncomingMessage, res: ServerResponse) => void
  #active = 0

  constructor (deps: PeerServerDependencies) {
    super()
    this.#deps = deps
    this.#handleTrpc = createHTTPHandler({
      router: createPeerApi(deps.api),
      basePath: '/trpc/',
      createContext: ({ req }) => createApiContext(deps.secret, headerOf(req, HEADER.peerAuth))
    })
    this.#server = createServer({ keepAliveTimeout: KEEP_ALIVE_MS, requestTimeout: 0 }, (req, res) => {
      this.#handle(req, res).catch((e: unknown) => {
        deps.log.error({ step: 'forward', err: String(e) }, 'peer request failed')
        res.destroy()
      })
    })
    this.own(toDisposable(() => this.#server.close()))
  }

  /** Number of peer requests in flight. */
  get activeRequests (): number {
    return this.#active
  }

  async listen (address: string, port: number): Promise<void> {
    await listen(this.#server, address, port)
  }

  async #handle (req: IncomingMessage, res: ServerResponse): Promise<void> {
    const url = req.url ?? '/'
    if (url === '/metrics') {
      const { registry } = this.#deps.metrics
      res.writeHead(200, { 'content-type': registry.contentType })
      res.end(await registry.metrics())
      return
    }
    if (url.startsWith('/trpc/')) {
      if (headerOf(req, HEADER.peerId) !== undefined) this.#countControlBytes(req, res)
      this.#handleTrpc(req, res)
      return
    }
    if (!constantTimeEqual(headerOf(req, HEADER.peerAuth) ?? '', this.#deps.secret)) {
      res.writeHead(401)
      res.end()
      return
    }
    const call: unknown = JSON.parse(decodeURIComponent(headerOf(req, HEADER.peerCall) ?? '{}'))
    this.#active++
    res.on('close', () => { this.#active-- })
    if (url === '/peer/chat') await this.#chat(call as ChatCall, req, res)
    else if (url === '/peer/resume') this.#resume(call as ResumeCall, res)
    else if (url === '/peer/cancel') this.#cancel(call as ResumeCall, res)
    else if (url === '/peer/service') await this.#service(call as ServiceCallMessage, req, res)
    else res.writeHead(404).end()
  }

  async #chat (call: ChatCall, req: IncomingMessage, res: ServerResponse): Promise<void> {
    const body = await readBody(req, this.#deps.maxBodyBytes)
    if (body.isErr()) {
      sendReply(res, { kind: 'error', error: body.error })
      return
    }
    const span = this.#deps.tracing.startSpan('home.chat', call.traceparent)
    res.on('close', () => span.end({ requestId: call.requestId, endpoint: call.endpoint, account: call.account }))
    const sink = new PeerResponseSink(res)
    sink.run = this.#deps.home.chat(span.traceparent === undefined ? call : { ...call, traceparent: span.traceparent }, body.value, sink)
    stopOnClose(res, sink.run)
  }

  #resume (call: ResumeCall, res: ServerResponse): void {
    const sink = new PeerResponseSink(res)
    sink.run = this.#deps.home.resume(call, sink)
    stopOnClose(res, sink.run)
  }

  #cancel (call: ResumeCall, res: ServerResponse): void {
    this.#deps.home.cancel(call.requestId, call.endpoint)
    res.writeHead(204).end()
  }

  async #service (call: ServiceCallMessage, req: IncomingMessage, res: ServerResponse): Promise<void> {
    const body = await readBody(req, this.#deps.maxBodyBytes)
    const span = this.#deps.tracing.startSpan('home.service', call.traceparent)
    const result = body.isErr() ? body : await this.#deps.runner.run(call, body.value)
    span.end({ requestId: call.requestId, service: call.service, account: call.account })
    if (result.isErr()) {
      res.writeHead(409, { 'content-type': 'application/json' })
      res.end(JSON.stringify(result.error))
      return
    }
    const head = encodeURIComponent(JSON.stringify({ status: result.value.status, headers: result.value.headers }))
    res.writeHead(200, { 'x-answer': head, 'content-length': result.value.body.length })
    res.end(result.value.body)
  }

  /** Counts the bytes of a tRPC call as control traffic. */
  #countControlBytes (req: IncomingMessage, res: ServerResponse): void {
    const { socket } = req
    const readBefore = socket.bytesRead
    const writtenBefore = socket.bytesWritten
    res.on('finish', () => {
      const head = req.rawHeaders.reduce((sum, h) => sum + h.length + 2, 0)
      this.#deps.metrics.countControlBytes('received', 'trpc', Math.max(head, socket.bytesRead - readBefore))
      this.#deps.metrics.countControlBytes('sent', 'trpc', Math.max(0, socket.bytesWritten - writtenBefore))
    })
  }
}

function stopOnClose (res: ServerResponse, run: IChatRun): void {
  res.on('close', () => {
    if (!res.writableEnded) run.stop()
  })
}
