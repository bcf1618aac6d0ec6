/** HTTP listener for callers: chat completions, plain services, tickets and health checks. */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import type { Socket } from 'node:net'
import { getRequestListener, type HttpBindings } from '@hono/node-server'
import { RESPONSE_ALREADY_SENT } from '@hono/node-server/utils/response'
import { Hono, type Context } from 'hono'
import { err, ok, type Result } from 'neverthrow'
import { HEADER } from '../../common/Constants.js'
import type { ClientAccount, VotedConfig } from '../../common/config/VotedConfig.js'
import { Disposable, toDisposable } from '../../common/Disposable.js'
import { ERROR_CODES, errorBody, routeError, type RouteError } from '../../common/Errors.js'
import { MAX_KEY_LENGTH } from '../../common/idempotency/KeyFormat.js'
import type { ConnectionLimits } from '../../common/limits/ConnectionLimits.js'
import type { AccountRateLimiter } from './AccountRateLimiter.js'
import type { CallerAuth } from './CallerAuth.js'
import { CallerConnections } from './CallerConnections.js'
import type { ChatHandler } from '../engines/ChatHandler.js'
import { headerOf, listen, sendError, stopListening, timeoutOf } from './HttpUtils.js'
import type { KeyOwner } from '../services/KeyOwner.js'
import type { Log } from '../telemetry/Log.js'
import type { Metrics } from '../telemetry/Metrics.js'
import { readBody } from './RequestBody.js'
import { createServiceRequestId, type ServiceHandler } from '../services/ServiceHandler.js'
import type { Tracing } from '../telemetry/Tracing.js'
import type { ServiceCallMessage } from '../Types.js'

const KEEP_ALIVE_MS = 65_000
const MAX_HEADER_BYTES = 16_384
const ALLOWED_METHODS = new Set(['GET', 'PUT', 'POST', 'PATCH', 'DELETE'])
const STRIPPED_HEADERS = new Set(['authorization', 'host', 'connection', 'content-length', 'transfer-encoding', 'keep-alive', 'upgrade', 'expect', 'te', 'trailer'])

type Env = { Bindings: HttpBindings }

/** Dependencies and limits of the listener. */
export interface CallerServerDependencies {
  readonly config: () => VotedConfig | undefined
  readonly auth: CallerAuth
  readonly rateLimiter: AccountRateLimiter
  readonly chats: ChatHandler
  readonly services: ServiceHandler
  readonly keys: KeyOwner
  readonly metrics: Metrics
  readonly tracing: Tracing
  readonly log: Log
  readonly maxBodyBytes: number
  readonly connectionLimits: ConnectionLimits
  readonly instance: string
}

/** The client account of a request and the configuration that it was authenticated against. */
interface AuthenticatedCaller {
  readonly account: ClientAccount
  readonly config: VotedConfig
}

/** Authenticates, rate-limits and routes requests of callers. */
export class CallerServer extends Disposable {
  readonly #deps: CallerServerDependencies
  readonly #server: Server
  readonly #connections: CallerConnections
  #ready = false
  #draining = false
  #active = 0

  constructor (deps: CallerServerDependencies) {
    super()
    this.#deps = deps
    this.#connections = new CallerConnections(deps.log, deps.connectionLimits, reason => deps.metrics.connectionRefusals.inc({ reason }))
    const listener = getRequestListener(this.#routes().fetch)
    this.#server = createServer({ keepAliveTimeout: KEEP_ALIVE_MS, requestTimeout: 0, maxHeaderSize: MAX_HEADER_BYTES, requireHostHeader: false })
    this.#connections.attach(this.#server, (req, res) => {
      listener(req, res).catch((e: unknown) => {
        deps.log.error({ step: 'respond', err: String(e) }, 'request failed')
        res.destroy()
      })
    })
    this.#server.on('clientError', (e: NodeJS.ErrnoException, socket) => {
      const detail = e.code === 'HPE_HEADER_OVERFLOW' ? 'The headers are too long.' : 'This is not HTTP, or not all of it came in time.'
      const body = JSON.stringify(errorBody(routeError('invalid_request', 'accept', 'caller', detail)))
      this.#connections.onClientError(e, socket as Socket, `content-type: application/json\r\n${HEADER.outcome}: not-run\r\n`, body)
    })
    this.own(toDisposable(() => this.#server.close()))
  }

  /** Makes `/readyz` report ready, unless the server is draining. */
  setReady (): void {
    this.#ready = !this.#draining
  }

  /** Number of requests in flight. */
  get activeRequests (): number {
    return this.#active
  }

  async listen (address: string, port: number): Promise<void> {
    await listen(this.#server, address, port)
  }

  /** Makes `/readyz` report not ready. Requests are still accepted; each connection closes after its request. */
  drain (): void {
    this.#ready = false
    this.#draining = true
  }

  /** Stops accepting connections and closes idle ones. */
  close (): void {
    stopListening(this.#server)
    this.#connections.closeIdle()
  }

  #routes (): Hono<Env> {
    const app = new Hono<Env>()
    app.use(async (c, next) => {
      const { outgoing } = c.env
      this.#active++
      this.#deps.metrics.inFlight.set(this.#active)
      outgoing.on('close', () => {
        this.#active--
        this.#deps.metrics.inFlight.set(this.#active)
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
      this.#deps.log.error({ step: 'respond', err: String(e), stack: e.stack }, 'request failed')
      this.#fail(c.env.outgoing, 'other', routeError('internal', 'respond', this.#deps.instance))
      return RESPONSE_ALREADY_SENT
    })
    return app
  }

  async #models (c: Context<Env>): Promise<Response> {
    const caller = this.#authenticate(c.env.incoming)
    if (caller.isErr()) return this.#fail(c.env.outgoing, 'models', caller.error)
    const data = caller.value.config.version.file.models.map(m => ({ id: m.id, object: 'model', created: 0, owned_by: 'radishloft' }))
    return c.json({ object: 'list', data })
  }

  async #chat (c: Context<Env>): Promise<Response> {
    const { incoming, outgoing } = c.env
    const caller = await this.#admit(incoming)
    if (caller.isErr()) return this.#fail(outgoing, 'chat', caller.error)
    const body = await readBody(incoming, this.#deps.maxBodyBytes)
    if (body.isErr()) return this.#fail(outgoing, 'chat', body.error)
    const failure = this.#deps.chats.start(caller.value.account, caller.value.config, body.value, incoming, outgoing)
    return failure === undefined ? RESPONSE_ALREADY_SENT : this.#fail(outgoing, 'chat', failure)
  }

  async #resume (c: Context<Env>): Promise<Response> {
    const { incoming, outgoing } = c.env
    const caller = this.#authenticate(incoming)
    if (caller.isErr()) return this.#fail(outgoing, 'resume', caller.error)
    const failure = await this.#deps.chats.resume(c.req.param('id') ?? '', caller.value.config, incoming, outgoing)
    return failure === undefined ? RESPONSE_ALREADY_SENT : this.#fail(outgoing, 'resume', failure)
  }

  async #ticket (c: Context<Env>): Promise<Response> {
    const caller = this.#authenticate(c.env.incoming)
    if (caller.isErr()) return this.#fail(c.env.outgoing, 'ticket', caller.error)
    return c.json({ ticket: this.#deps.keys.issueTicket(caller.value.account.id) }, 201)
  }

  async #service (c: Context<Env>): Promise<Response> {
    const { incoming, outgoing } = c.env
    const caller = await this.#admit(incoming)
    if (caller.isErr()) return this.#fail(outgoing, 'service', caller.error)
    const call = this.#serviceCall(caller.value, incoming)
    if (call.isErr()) return this.#fail(outgoing, 'service', call.error)
    const body = await readBody(incoming, this.#deps.maxBodyBytes)
    if (body.isErr()) return this.#fail(outgoing, 'service', body.error)
    const span = this.#deps.tracing.startSpan('entry.service', call.value.traceparent)
    const traced = span.traceparent === undefined ? call.value : { ...call.value, traceparent: span.traceparent }
    const result = await this.#deps.services.call(traced, body.value)
    span.end({ account: call.value.account, service: call.value.service, outcome: result.isOk() ? 'answered' : result.error.code })
    if (result.isErr()) return this.#fail(outgoing, 'service', result.error, call.value.requestId)
    this.#deps.metrics.requests.inc({ route: 'service', outcome: 'answered', code: '' })
    const { status, headers, body: answer } = result.value
    outgoing.writeHead(status, { ...headers, 'content-length': answer.length, [HEADER.requestId]: call.value.requestId, [HEADER.outcome]: 'answered' })
    outgoing.end(answer)
    return RESPONSE_ALREADY_SENT
  }

  #serviceCall (caller: AuthenticatedCaller, req: IncomingMessage): Result<ServiceCallMessage, RouteError> {
    const match = /^\/v1\/services\/([^/?]+)(\/[^?]*)?(\?.*)?$/.exec(req.url ?? '')
    const method = req.method ?? ''
    if (!ALLOWED_METHODS.has(method)) return err(routeError('method_not_allowed', 'accept', 'caller'))
    const service = match?.[1] ?? ''
    const path = match?.[2] ?? '/'
    const rule = caller.config.callRule(service, method, path)
    if (rule.isNothing) return err(routeError('service_not_found', 'place', 'caller', `No service "${service}" is declared.`))
    const key = headerOf(req, HEADER.idempotencyKey)
    if (key !== undefined && (key.length === 0 || key.length > MAX_KEY_LENGTH || !/^[\x21-\x7e]+$/.test(key))) {
      return err(routeError('invalid_request', 'accept', 'caller', `The key takes 1 to ${MAX_KEY_LENGTH} visible ASCII characters.`))
    }
    const timeout = timeoutOf(req, rule.value.timeoutMs)
    if (timeout.isErr()) return err(timeout.error)
    const traceparent = headerOf(req, HEADER.traceparent)
    return ok({
      requestId: createServiceRequestId(),
      service,
      method: method as ServiceCallMessage['method'],
      path: path + (match?.[3] ?? ''),
      headers: forwardedHeaders(req),
      neverRepeat: rule.value.neverRepeat,
      ...(key === undefined ? {} : { key }),
      account: caller.account.id,
      timeoutMs: timeout.value,
      ...(traceparent === undefined ? {} : { traceparent })
    })
  }

  #authenticate (req: IncomingMessage): Result<AuthenticatedCaller, RouteError> {
    const config = this.#deps.config()
    if (config === undefined) return err(routeError('not_ready', 'accept', this.#deps.instance, '', 1_000))
    return this.#deps.auth.account(headerOf(req, 'authorization'), config).map(account => ({ account, config }))
  }

  async #admit (req: IncomingMessage): Promise<Result<AuthenticatedCaller, RouteError>> {
    const caller = this.#authenticate(req)
    if (caller.isErr()) return caller
    if (await this.#deps.rateLimiter.admit(caller.value.account)) return caller
    return err(routeError('rate_limited', 'admit', this.#deps.instance, '', 1000 / caller.value.account.requestsPerSec))
  }

  #fail (res: ServerResponse, route: string, error: RouteError, requestId?: string): Response {
    const info = ERROR_CODES[error.code]
    this.#deps.metrics.requests.inc({ route, outcome: info.outcome, code: error.code })
    this.#deps.log[info.status >= 500 ? 'warn' : 'debug']({ requestId, ...error }, 'request ended with an error')
    sendError(res, error, requestId)
    return RESPONSE_ALREADY_SENT
  }
}

function forwardedHeaders (req: IncomingMessage): Record<string, string> {
  const headers: Record<string, string> = {}
  for (const [name, value] of Object.entries(req.headers)) {
    if (value === undefined || STRIPPED_HEADERS.has(name) || name === HEADER.idempotencyKey || name.startsWith('x-peer-')) continue
    headers[name] = Array.isArray(value) ? value.join(', ') : value
  }
  return headers
}
