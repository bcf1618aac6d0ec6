/** Listener for callers: the chat-completions convention, plain services, tickets and health. */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import { createAdaptorServer, type HttpBindings } from '@hono/node-server'
import { RESPONSE_ALREADY_SENT } from '@hono/node-server/utils/response'
import { Hono, type Context } from 'hono'
import { err, ok, type Result } from 'neverthrow'
import { HEADER } from '../../common/Constants.js'
import type { ClientAccount, VotedConfig } from '../../common/config/VotedConfig.js'
import { Disposable, toDisposable } from '../../common/Disposable.js'
import { ERROR_CODES, errorBody, routeError, type RouteError } from '../../common/Errors.js'
import { MAX_KEY_LENGTH } from '../../common/once/KeyFormat.js'
import type { Allowances } from './Allowances.js'
import { headerOf, listen, sendError, timeoutOf } from './CallerHttp.js'
import type { CallerAuth } from './CallerAuth.js'
import type { ChatEntry } from '../engines/ChatEntry.js'
import type { KeyOwner } from '../services/KeyOwner.js'
import type { Log } from '../telemetry/Log.js'
import type { Metrics } from '../telemetry/Metrics.js'
import { readBody } from './RequestBody.js'
import { serviceRequestId, type ServiceEntry } from '../services/ServiceEntry.js'
import type { ServiceCallMessage } from '../Types.js'
import type { Tracing } from '../telemetry/Tracing.js'

const KEEP_ALIVE_MS = 65_000
const MAX_HEADER_BYTES = 16_384
const METHODS = new Set(['GET', 'PUT', 'POST', 'PATCH', 'DELETE'])
const HIDDEN_HEADERS = new Set(['authorization', 'host', 'connection', 'content-length', 'transfer-encoding', 'keep-alive', 'upgrade', 'expect', 'te', 'trailer'])

type Env = { Bindings: HttpBindings }

/** Parts that the listener works with. */
export interface CallerServerParts {
  readonly config: () => VotedConfig | undefined
  readonly auth: CallerAuth
  readonly allowances: Allowances
  readonly chats: ChatEntry
  readonly services: ServiceEntry
  readonly keys: KeyOwner
  readonly metrics: Metrics
  readonly tracing: Tracing
  readonly log: Log
  readonly maxBodyBytes: number
  readonly instance: string
}

/** An admitted caller. */
interface Admission {
  readonly account: ClientAccount
  readonly config: VotedConfig
}

export class CallerServer extends Disposable {
  readonly #parts: CallerServerParts
  readonly #server: Server
  #ready = false
  #draining = false
  #active = 0

  constructor (parts: CallerServerParts) {
    super()
    this.#parts = parts
    const app = this.#routes()
    this.#server = createAdaptorServer({
      fetch: app.fetch,
      createServer,
      serverOptions: { keepAliveTimeout: KEEP_ALIVE_MS, requestTimeout: 0, maxHeaderSize: MAX_HEADER_BYTES }
    }) as Server
    this.#server.on('clientError', (e: NodeJS.ErrnoException, socket) => {
      const tooLong = e.code === 'HPE_HEADER_OVERFLOW'
      const body = JSON.stringify(errorBody(routeError('invalid_request', 'accept', 'caller', tooLong ? 'The headers are too long.' : 'This is not HTTP.')))
      if (socket.writable) socket.end(`HTTP/1.1 ${tooLong ? '431' : '400'} Bad Request\r\ncontent-type: application/json\r\nx-radishloft-outcome: not-run\r\ncontent-length: ${body.length}\r\nconnection: close\r\n\r\n${body}`)
    })
    this.own(toDisposable(() => this.#server.close()))
  }

  /** Tells the balancer that requests are welcome. */
  turnReady (): void {
    this.#ready = !this.#draining
  }

  /** Requests in progress. */
  get active (): number {
    return this.#active
  }

  async listen (address: string, port: number): Promise<void> {
    await listen(this.#server, address, port)
  }

  /** Turns unready; requests are still taken, each connection ends after its request. */
  drain (): void {
    this.#ready = false
    this.#draining = true
  }

  /** Takes no new connection. */
  close (): void {
    this.#server.close()
    this.#server.closeIdleConnections()
  }

  #routes (): Hono<Env> {
    const app = new Hono<Env>()
    app.use(async (c, next) => {
      const { outgoing } = c.env
      this.#active++
      this.#parts.metrics.inFlight.set(this.#active)
      outgoing.on('close', () => {
        this.#active--
        this.#parts.metrics.inFlight.set(this.#active)
      })
      if (this.#draining) outgoing.setHeader('connection', 'close')
      await next()
    })
    app.get('/healthz', c => c.json({ status: 'ok' }))
    app.get('/readyz', c => c.json({ ready: this.#ready }, this.#ready ? 200 : 503))
    app.get('/v1/models', async c => await this.#models(c))
    app.post('/v1/chat/completions', async c => await this.#chat(c))
    app.get('/v1/chat/streams/:id', async c => await this.#resume(c))
    app.post('/v1/tickets', async c => await this.#ticket(c))
    app.all('/v1/services/:service/*', async c => await this.#service(c))
    app.notFound(c => {
      this.#fail(c.env.outgoing, 'other', routeError('invalid_request', 'accept', 'caller', 'No such route.'))
      return RESPONSE_ALREADY_SENT
    })
    app.onError((e, c) => {
      this.#parts.log.error({ step: 'respond', err: String(e), stack: e.stack }, 'request failed')
      this.#fail(c.env.outgoing, 'other', routeError('internal', 'respond', this.#parts.instance))
      return RESPONSE_ALREADY_SENT
    })
    return app
  }

  async #models (c: Context<Env>): Promise<Response> {
    const who = this.#identify(c.env.incoming)
    if (who.isErr()) return this.#fail(c.env.outgoing, 'models', who.error)
    const data = who.value.config.version.file.models.map(m => ({ id: m.id, object: 'model', created: 0, owned_by: 'radishloft' }))
    return c.json({ object: 'list', data })
  }

  async #chat (c: Context<Env>): Promise<Response> {
    const { incoming, outgoing } = c.env
    const who = await this.#admit(incoming)
    if (who.isErr()) return this.#fail(outgoing, 'chat', who.error)
    const body = await readBody(incoming, this.#parts.maxBodyBytes)
    if (body.isErr()) return this.#fail(outgoing, 'chat', body.error)
    const failure = this.#parts.chats.start(who.value.account, who.value.config, body.value, incoming, outgoing)
    return failure === undefined ? RESPONSE_ALREADY_SENT : this.#fail(outgoing, 'chat', failure)
  }

  async #resume (c: Context<Env>): Promise<Response> {
    const { incoming, outgoing } = c.env
    const who = this.#identify(incoming)
    if (who.isErr()) return this.#fail(outgoing, 'resume', who.error)
    const failure = await this.#parts.chats.resume(c.req.param('id') ?? '', who.value.config, incoming, outgoing)
    return failure === undefined ? RESPONSE_ALREADY_SENT : this.#fail(outgoing, 'resume', failure)
  }

  async #ticket (c: Context<Env>): Promise<Response> {
    const who = this.#identify(c.env.incoming)
    if (who.isErr()) return this.#fail(c.env.outgoing, 'ticket', who.error)
    return c.json({ ticket: this.#parts.keys.issueTicket(who.value.account.id) }, 201)
  }

  async #service (c: Context<Env>): Promise<Response> {
    const { incoming, outgoing } = c.env
    const who = await this.#admit(incoming)
    if (who.isErr()) return this.#fail(outgoing, 'service', who.error)
    const call = this.#serviceCall(who.value, incoming)
    if (call.isErr()) return this.#fail(outgoing, 'service', call.error)
    const body = await readBody(incoming, this.#parts.maxBodyBytes)
    if (body.isErr()) return this.#fail(outgoing, 'service', body.error)
    const hop = this.#parts.tracing.hop('entry.service', call.value.traceparent)
    const traced = hop.traceparent === undefined ? call.value : { ...call.value, traceparent: hop.traceparent }
    const result = await this.#parts.services.call(traced, body.value)
    hop.end({ account: call.value.account, service: call.value.service, outcome: result.isOk() ? 'answered' : result.error.code })
    if (result.isErr()) return this.#fail(outgoing, 'service', result.error, call.value.requestId)
    this.#parts.metrics.requests.inc({ route: 'service', outcome: 'answered', code: '' })
    const { status, headers, body: answer } = result.value
    outgoing.writeHead(status, { ...headers, 'content-length': answer.length, [HEADER.requestId]: call.value.requestId, [HEADER.outcome]: 'answered' })
    outgoing.end(answer)
    return RESPONSE_ALREADY_SENT
  }

  #serviceCall (who: Admission, req: IncomingMessage): Result<ServiceCallMessage, RouteError> {
    const match = /^\/v1\/services\/([^/?]+)(\/[^?]*)?(\?.*)?$/.exec(req.url ?? '')
    const method = req.method ?? ''
    if (!METHODS.has(method)) return err(routeError('method_not_allowed', 'accept', 'caller'))
    const service = match?.[1] ?? ''
    const path = match?.[2] ?? '/'
    const rule = who.config.callRule(service, method, path)
    if (rule.isNothing) return err(routeError('service_not_found', 'place', 'caller', `No service "${service}" is declared.`))
    const key = headerOf(req, HEADER.idempotencyKey)
    if (key !== undefined && (key.length === 0 || key.length > MAX_KEY_LENGTH || !/^[\x21-\x7e]+$/.test(key))) {
      return err(routeError('invalid_request', 'accept', 'caller', `The key takes 1 to ${MAX_KEY_LENGTH} visible ASCII characters.`))
    }
    const timeout = timeoutOf(req, rule.value.timeoutMs)
    if (timeout.isErr()) return err(timeout.error)
    const traceparent = headerOf(req, HEADER.traceparent)
    return ok({
      requestId: serviceRequestId(),
      service,
      method: method as ServiceCallMessage['method'],
      path: path + (match?.[3] ?? ''),
      headers: passedOn(req),
      neverRepeat: rule.value.neverRepeat,
      ...(key === undefined ? {} : { key }),
      account: who.account.id,
      timeoutMs: timeout.value,
      ...(traceparent === undefined ? {} : { traceparent })
    })
  }

  #identify (req: IncomingMessage): Result<Admission, RouteError> {
    const config = this.#parts.config()
    if (config === undefined) return err(routeError('not_ready', 'accept', this.#parts.instance, '', 1_000))
    return this.#parts.auth.account(headerOf(req, 'authorization'), config).map(account => ({ account, config }))
  }

  async #admit (req: IncomingMessage): Promise<Result<Admission, RouteError>> {
    const who = this.#identify(req)
    if (who.isErr()) return who
    if (await this.#parts.allowances.admit(who.value.account)) return who
    return err(routeError('rate_limited', 'admit', this.#parts.instance, '', 1000 / who.value.account.requestsPerSec))
  }

  #fail (res: ServerResponse, route: string, error: RouteError, requestId?: string): Response {
    const info = ERROR_CODES[error.code]
    this.#parts.metrics.requests.inc({ route, outcome: info.outcome, code: error.code })
    this.#parts.log[info.status >= 500 ? 'warn' : 'debug']({ requestId, ...error }, 'request not answered')
    sendError(res, error, requestId)
    return RESPONSE_ALREADY_SENT
  }
}

function passedOn (req: IncomingMessage): Record<string, string> {
  const headers: Record<string, string> = {}
  for (const [name, value] of Object.entries(req.headers)) {
    if (value === undefined || HIDDEN_HEADERS.has(name) || name === HEADER.idempotencyKey || name.startsWith('x-peer-')) continue
    headers[name] = Array.isArray(value) ? value.join(', ') : value
  }
  return headers
}
