/** HTTP server for callers: finds the route and the account of each request, reads its body and forwards it. */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import type { Socket } from 'node:net'
import { setImmediate as nextTurn, setTimeout as sleep } from 'node:timers/promises'
import { err, ok, type Result } from 'neverthrow'
import { Disposable, toDisposable } from '../common/Disposable.js'
import { routeError, type RouteError } from '../common/Errors.js'
import { hashString } from '../common/Hash.js'
import { ByteBudget, type IByteReservation } from '../common/limits/ByteBudget.js'
import type { ConnectionLimits } from '../common/limits/ConnectionLimits.js'
import { acceptsWhileDraining, type DrainWindow } from '../common/routing/DrainWindow.js'
import { promptKey } from '../common/routing/PromptPlacement.js'
import type { RouteTable } from '../common/routing/RouteTable.js'
import type { Account, CallerLimits, Route } from '../common/routing/Types.js'
import { CallerConnections } from '../router/callers/CallerConnections.js'
import { listen, stopListening } from '../router/callers/HttpUtils.js'
import { readBody } from '../router/callers/RequestBody.js'
import type { Log } from '../router/telemetry/Log.js'
import { CallerResponse } from './CallerResponse.js'
import type { ConfigHolder } from './ConfigHolder.js'
import { InputTimeout } from './InputTimeout.js'
import { RequestForwarder, type ForwarderServices } from './RequestForwarder.js'
import type { RoutedRequest } from './Types.js'

const MIN_PARSER_HEADER_BYTES = 16_384 // the configured limit is checked after parsing
const MAX_PARSER_HEADER_BYTES = 65_536
const PARSER_HEADER_FACTOR = 2 // of the configured limit: a head that is a little over it gets an error with the usual headers
const BODY_MARGIN_MS = 100 // lets a body be read that has come when the deadline passes
const TIMEOUT_CHECK_MS = 1_000
const MAX_CONFIRMED_AGE_MS = 3_000 // an older configuration must not reject a caller's route or key as unknown
const RETRY_AFTER_MS = 300
const CLOSE_POLL_MS = 10
const MAX_ACCEPT_MS = 150

/** A request that the configuration allows, with its route and account. */
interface AdmittedRequest {
  readonly request: RoutedRequest
  readonly route: Route
  readonly account: Account | undefined
  readonly table: RouteTable
}

/** Services that the server uses. */
export interface CallerServerServices extends ForwarderServices {
  readonly config: ConfigHolder
  readonly systemLog: Log
}

export class CallerServer extends Disposable {
  readonly #services: CallerServerServices
  readonly #server: Server
  readonly #connections: CallerConnections
  readonly #bodyBudget: ByteBudget
  readonly #responseBudget: ByteBudget
  #active = 0
  #drainWindow: DrainWindow | undefined
  /** For each body that is being read, rejects its request when it is too late in a drain. */
  readonly #bodyReads = new Set<() => void>()

  /** @param maxBodyBytes bytes that the bodies of all requests may take together. */
  constructor (services: CallerServerServices, maxBodyBytes: number, limits: ConnectionLimits) {
    super()
    this.#bodyBudget = new ByteBudget(maxBodyBytes)
    this.#responseBudget = new ByteBudget(limits.maxBufferedBytes)
    this.#services = services
    this.#connections = new CallerConnections(
      services.systemLog, limits, reason => services.metrics.connectionRefusals.inc({ reason }), free => services.pool.idle.setRoom(free)
    )
    this.#server = createServer({
      maxHeaderSize: MAX_PARSER_HEADER_BYTES, connectionsCheckingInterval: TIMEOUT_CHECK_MS, requestTimeout: 0, requireHostHeader: false
    })
    this.#connections.attach(this.#server, (req, res, waitedMs) => {
      this.#serve(req, res, waitedMs).catch((e: unknown) => this.#onFailure(res, e))
    })
    this.#server.on('clientError', (e: NodeJS.ErrnoException, socket) => this.#connections.onClientError(e, socket as Socket))
    services.systemLog.info({ step: 'start', ...limits, maxBodyBytes }, 'limits of callers')
    this.own(services.config.onChange(({ table }) => this.#applyLimits(table.config.limits)))
    this.own(toDisposable(() => {
      this.#server.close()
      this.#server.closeAllConnections()
    }))
  }

  /** Number of requests in flight. */
  get active (): number {
    return this.#active
  }

  async listen (address: string, port: number): Promise<void> {
    await listen(this.#server, address, port)
  }

  /** Starts to drain: responses close their connection, and late requests are rejected. */
  drain (window: DrainWindow): void {
    this.#drainWindow = window
  }

  /** Ends connections that wait for their next request. */
  closeIdle (): void {
    this.#connections.closeIdle()
  }

  /** Takes no more connections, rejects requests whose bodies are still being read, and waits at most `lingerMs` until callers have read their answers. */
  async close (lingerMs: number): Promise<void> {
    await this.#acceptWaiting()
    stopListening(this.#server)
    for (const reject of this.#bodyReads) reject()
    const end = this.#services.clock.nowMs() + lingerMs
    while (this.#connections.openCount > 0 && this.#services.clock.nowMs() < end) {
      await sleep(CLOSE_POLL_MS)
      this.#connections.closeIdle()
    }
  }

  /** Waits until the connections that the system has established for the server are accepted: one in each turn of the event loop. */
  async #acceptWaiting (): Promise<void> {
    const end = this.#services.clock.nowMs() + MAX_ACCEPT_MS
    for (let before = -1; before !== this.#connections.acceptedCount && this.#services.clock.nowMs() < end;) {
      before = this.#connections.acceptedCount
      await nextTurn()
    }
  }

  async #serve (req: IncomingMessage, res: ServerResponse, waitedMs: number): Promise<void> {
    const startedAt = this.#services.clock.nowMs() - waitedMs
    const response = new CallerResponse(req, res, () => this.#drainWindow !== undefined, () => this.#connections.noteWritten(req.socket))
    this.#addActive(1)
    res.once('close', () => this.#addActive(-1))
    const decoded = this.#services.codec.decodeRequest({ method: req.method ?? '', target: req.url ?? '', headers: req.rawHeaders })
    const admitted = decoded.andThen(request => this.#admit(request, req))
    if (admitted.isErr()) {
      this.#sendError(response, decoded.unwrapOr(undefined), admitted.error)
      return
    }
    const { request, route, account, table } = admitted.value
    const reservation = this.#bodyBudget.begin()
    res.once('close', () => reservation.release())
    const deadlineMs = Math.min(request.timeoutMs ?? Infinity, route.timeoutMs)
    const body = await this.#readBody(req, table.config.limits.maxBodyBytes, reservation, deadlineMs - waitedMs)
    if (body.isErr()) {
      if (body.error.code === 'memory_full') this.#connections.closeSlowBodies()
      this.#sendError(response, request, body.error)
      return
    }
    if (waitedMs > deadlineMs) {
      this.#sendError(response, request, routeError('deadline_passed', 'admit', 'caller', 'The requests before it on its connection took longer.'))
      return
    }
    const endForward = this.#connections.beginForward()
    if (endForward === undefined) {
      this.#sendError(response, request, routeError('connections_full', 'admit', 'caller', `${this.#active} requests in flight`, RETRY_AFTER_MS))
      return
    }
    const service = table.serviceFor(route, request.prompt === undefined ? hashString(request.id) : promptKey(request.prompt).session)
    const kept = this.#responseBudget.begin()
    const context = { request, route, service, account, configRevision: table.config.revision, body: body.value, startedAt, reservation: kept }
    await new RequestForwarder(this.#services, context, response).run().finally(() => {
      kept.release()
      endForward()
    })
  }

  /** Reads a body. When it comes too late in a drain, or after the request's deadline, the request is rejected, as nothing of it has been sent yet. */
  async #readBody (req: IncomingMessage, maxBytes: number, reservation: IByteReservation, deadlineMs: number): Promise<Result<Uint8Array, RouteError>> {
    return await new Promise((resolve, reject) => {
      const deadline = new InputTimeout(Math.max(0, deadlineMs) + BODY_MARGIN_MS, () => {
        resolve(err(routeError('deadline_passed', 'admit', 'caller', `The body didn't come within ${Math.round(deadlineMs)} ms.`)))
      })
      const rejectLate = (): void => {
        const late = this.#lateError()
        if (late !== undefined) resolve(err(late))
      }
      this.#bodyReads.add(rejectLate)
      readBody(req, maxBytes, reservation).then(body => {
        deadline.dispose()
        this.#bodyReads.delete(rejectLate)
        rejectLate()
        resolve(body)
      }, reject)
    })
  }

  #admit (request: RoutedRequest, req: IncomingMessage): Result<AdmittedRequest, RouteError> {
    const table = this.#services.config.table
    if (table === undefined) return err(routeError('not_ready', 'accept', 'caller', '', RETRY_AFTER_MS))
    const headerBytes = req.rawHeaders.reduce((sum, text) => sum + text.length + 2, 0)
    if (headerBytes > table.config.limits.maxHeaderBytes) return err(routeError('headers_too_large', 'accept', 'caller'))
    const found = table.route(request.host, request.path)
    if (found.isNothing) return err(this.#notConfigured('route_not_found'))
    const route = found.value
    const late = this.#lateError()
    if (late !== undefined) return err(late)
    if (table.config.accounts === undefined || route.open) return ok({ request, route, account: undefined, table })
    const account = table.account(request.apiKey ?? '')
    return account.isNothing ? err(this.#notConfigured('invalid_api_key')) : ok({ request, route, account: account.value, table })
  }

  /** Error for a request that comes too late in a drain: another instance can take it at once. */
  #lateError (): RouteError | undefined {
    const drain = this.#drainWindow
    if (drain === undefined) return undefined
    const now = this.#services.clock.nowMs()
    return acceptsWhileDraining(drain, now) ? undefined : routeError('stopping', 'admit', 'caller', `drains for ${Math.round(now - drain.startedAt)} ms`, 0)
  }

  /** Error for a route or key that isn't configured; a newer configuration that this instance hasn't read yet may have it. */
  #notConfigured (code: 'route_not_found' | 'invalid_api_key'): RouteError {
    const { ageMs, revision } = this.#services.config
    const detail = `configuration ${revision}, confirmed ${Math.round(ageMs)} ms ago`
    return ageMs > MAX_CONFIRMED_AGE_MS ? routeError('stale_configuration', 'admit', 'caller', detail, RETRY_AFTER_MS) : routeError(code, 'admit', 'caller', detail)
  }

  #sendError (response: CallerResponse, request: RoutedRequest | undefined, error: RouteError): void {
    const { codec, metrics, log } = this.#services
    const { code, step, detail } = error
    response.sendError(error, codec.errorHeaders(request, error.retryAfterMs))
    metrics.requests.inc({ kind: 'refused', status: String(response.status), code })
    log.refused({ step, requestId: request?.id ?? '', host: request?.host ?? '', path: request?.path ?? '', code, detail, status: response.status })
  }

  /** Handles an unexpected exception: destroys the caller's connection, as it is unknown whether the request ran. */
  #onFailure (res: ServerResponse, e: unknown): void {
    this.#services.systemLog.error({ step: 'respond', err: String(e), stack: e instanceof Error ? e.stack : undefined }, 'request failed')
    res.destroy()
  }

  #applyLimits (limits: CallerLimits): void {
    this.#server.headersTimeout = limits.headerTimeoutMs
    this.#server.keepAliveTimeout = limits.idleTimeoutMs
    const parserBytes = Math.min(MAX_PARSER_HEADER_BYTES, Math.max(MIN_PARSER_HEADER_BYTES, limits.maxHeaderBytes * PARSER_HEADER_FACTOR))
    Object.assign(this.#server, { maxHeaderSize: parserBytes }) // Node reads it for each new connection
  }

  #addActive (change: number): void {
    this.#active += change
    this.#services.metrics.inFlight.set(this.#active)
  }
}
