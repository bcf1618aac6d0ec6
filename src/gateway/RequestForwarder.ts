/** One request from its whole body to its answer: chooses endpoints, repeats what may be repeated, ends in time. */
import { outcomeOf, routeError, type ErrorCode, type RouteError } from '../common/Errors.js'
import { placeCall } from '../common/routing/CallPlacement.js'
import type { EndpointOutcome } from '../common/routing/EndpointHealth.js'
import { placePrompt, promptKey, type EndpointChoice } from '../common/routing/PromptPlacement.js'
import type { Account, Endpoint, Prompt, Route } from '../common/routing/Types.js'
import type { RetryBudget } from '../common/limits/RetryBudget.js'
import type { IClock } from '../common/Services.js'
import { Attempt, type AttemptResult } from './Attempt.js'
import type { CallerResponse } from './CallerResponse.js'
import type { EndpointPool, PooledEndpoint } from './EndpointPool.js'
import { EventStream } from './EventStream.js'
import type { GatewayMetrics } from './GatewayMetrics.js'
import type { SessionAffinity, SessionAffinityTask } from './SessionAffinityTask.js'
import type { AttemptLine, RequestLog } from './RequestLog.js'
import type { ExchangeRequest } from './EndpointExchange.js'
import type { ResponseHead, HeaderList, IRequestCodec, RoutedRequest } from './Types.js'

const CONNECT_TIMEOUT_MS = 150 // far above a round trip between data centres; nothing is lost by trying elsewhere
const MAX_CONNECT_FAILURES = 4
const MAX_REUSE_IDLE_MS = 500 // a connection idle for longer may lead nowhere; work that runs once isn't risked on it
const CALL_IDLE_TIMEOUT_GOALS = 3 // multiples of the latency goal after which a repeatable call is tried elsewhere
const LATE_THRESHOLD_GOALS = 1.25 // multiples of the latency goal
const MIN_LATE_THRESHOLD_MS = 400 // a call in a short queue isn't silent
const STREAM_IDLE_TIMEOUT_MS = 900 // a resumable stream goes on elsewhere before its caller loses patience
const REUSE_DISABLED_MS = 5_000 // an endpoint that answered out of turn gets a connection for each request this long
const DEADLINE_MARGIN_MS = 60 // the endpoint's own word on the deadline goes before this instance's
const RETRY_AFTER_MS = 250
const MIN_FAILURE_STATUS = 500
const EXCESS_FAILURE_SHARE = 0.2 // an endpoint that fails this much more than the others is worth a second try elsewhere

/** Collaborators of all runs. */
export interface ForwarderServices {
  readonly clock: IClock
  readonly codec: IRequestCodec
  readonly pool: EndpointPool
  readonly sessionAffinity: SessionAffinityTask
  readonly metrics: GatewayMetrics
  readonly log: RequestLog
  readonly dataCentre: string
  retryBudget (service: string): RetryBudget
}

/** One request that the configuration allows. */
export interface RequestContext {
  readonly request: RoutedRequest
  readonly route: Route
  readonly service: string
  readonly account: Account | undefined
  readonly configRevision: number
  readonly body: Uint8Array
  /** When the request's head came. */
  readonly startedAt: number
}

export class RequestForwarder {
  readonly #services: ForwarderServices
  readonly #context: RequestContext
  readonly #response: CallerResponse
  readonly #deadlineAt: number
  readonly #eventStream: EventStream | undefined
  readonly #tried = new Set<string>()
  readonly #attemptLines: AttemptLine[] = []
  readonly #retryable: boolean
  #affinity: SessionAffinity | undefined
  #currentAttempt: Attempt | undefined
  #stopReason: 'caller-gone' | 'deadline' | undefined
  #mayHaveRun = false
  #executedAttempts = 0
  #connectFailures = 0
  #fallbackResponse: Extract<AttemptResult, { kind: 'answered' }> | undefined

  constructor (services: ForwarderServices, context: RequestContext, response: CallerResponse) {
    this.#services = services
    this.#context = context
    this.#response = response
    const { route, request, startedAt } = context
    this.#deadlineAt = startedAt + Math.min(request.timeoutMs ?? Infinity, route.timeoutMs)
    this.#retryable = route.idempotent || (route.streaming && route.resumable)
    this.#eventStream = route.streaming && route.resumable ? new EventStream() : undefined
  }

  /** Runs it to its end; never rejects. */
  async run (): Promise<void> {
    const { clock } = this.#services
    const timer = setTimeout(() => this.#stop('deadline'), Math.max(0, this.#deadlineAt - clock.nowMs()) + DEADLINE_MARGIN_MS)
    this.#response.onDisconnect(() => this.#stop('caller-gone'))
    this.#services.retryBudget(this.#context.service).recordRequest()
    try {
      const error = await this.#runAttempts()
      this.#finish(error)
    } finally {
      clearTimeout(timer)
    }
  }

  /** Makes attempts until the request is answered (undefined) or given up. */
  async #runAttempts (): Promise<RouteError | undefined> {
    for (;;) {
      if (this.#stopReason !== undefined || this.#response.disconnected) return this.#stoppedError()
      const choice = await this.#chooseEndpoint()
      if (this.#stopReason !== undefined) continue
      if (choice === undefined) return this.#createError(this.#attemptLines.length === 0 ? 'no_endpoint' : 'endpoint_refused', 'no endpoint is left to try')
      const result = await this.#attempt(choice)
      const next = this.#handleResult(choice, result)
      if (next !== 'again') return next
    }
  }

  async #chooseEndpoint (): Promise<EndpointChoice | undefined> {
    const { prompt, id } = this.#context.request
    const { clock, dataCentre, metrics } = this.#services
    const choice = prompt === undefined
      ? placeCall(id, dataCentre, this.#candidates(), clock.nowMs())
      : await this.#chooseEngine(prompt)
    if (choice !== undefined) metrics.placements.inc({ reason: choice.reason })
    return choice
  }

  /** Asks for the session's holder once; later attempts go on from it. */
  async #chooseEngine (prompt: Prompt): Promise<EndpointChoice | undefined> {
    const { clock, sessionAffinity: holders } = this.#services
    const key = promptKey(prompt)
    this.#affinity ??= await holders.resolve(this.#context.service, key)
    return placePrompt(key.session, this.#affinity?.endpoint, this.#candidates(), clock.nowMs())
  }

  #candidates (): PooledEndpoint[] {
    return this.#services.pool.candidates(this.#context.service, this.#tried)
  }

  async #attempt (choice: EndpointChoice): Promise<AttemptResult> {
    const { clock } = this.#services
    const { route } = this.#context
    const state = choice.state as PooledEndpoint
    const startedAt = clock.nowMs()
    this.#tried.add(state.endpoint.id)
    if (!this.#retryable) state.agent.closeIdle(MAX_REUSE_IDLE_MS)
    state.inFlight++
    const attempt = new Attempt(state.agent, this.#buildExchangeRequest(state), this.#response, {
      streaming: route.streaming,
      eventStream: this.#eventStream,
      idleTimeoutMs: this.#idleTimeoutMs(),
      lateThresholdMs: this.#lateThresholdMs(),
      onLate: () => this.#services.pool.recordOutcome(state, 'late', this.#context.request.id),
      decodeHead: (status, headers) => this.#decodeHead(state, status, headers)
    })
    this.#currentAttempt = attempt
    const result = await attempt.result
    state.inFlight--
    this.#recordAttempt(choice, result, clock.nowMs() - startedAt)
    return result
  }

  /** The request as it goes out to an endpoint. */
  #buildExchangeRequest (state: PooledEndpoint): ExchangeRequest {
    const { request, route, account, body } = this.#context
    const { id, address, port } = state.endpoint
    const headers = this.#services.codec.encodeRequest({
      request,
      endpointId: id,
      account: account?.id,
      priority: account?.priority ?? route.priority,
      timeLeftMs: this.#deadlineAt - this.#services.clock.nowMs(),
      lastEventId: this.#eventStream?.lastId,
      promptSource: this.#promptSource(state)
    })
    const framed = body.length > 0 || request.method !== 'GET' ? [...headers, 'Content-Length', String(body.length)] : headers
    return { address, port, method: request.method, target: request.target, headers: framed, body, connectTimeoutMs: CONNECT_TIMEOUT_MS }
  }

  /** A healthy engine to copy from: the session's holder copies from its source, any other engine from the holder. */
  #promptSource (state: PooledEndpoint): Endpoint | undefined {
    if (this.#affinity === undefined) return undefined
    const { endpoint, source } = this.#affinity
    const engine = this.#services.pool.getReachable(state.hash === endpoint ? source : endpoint)
    return engine?.health.isAvailable(this.#services.clock.nowMs()) === true ? engine.endpoint : undefined
  }

  /** Reads an answer's head; the load that it states is as of now, however long the answer takes. */
  #decodeHead (state: PooledEndpoint, status: number, headers: HeaderList): ResponseHead {
    const head = this.#services.codec.decodeResponse(this.#context.request, status, headers)
    if (head.trusted && head.load !== undefined) state.recordReport(head.load.running + head.load.waiting, this.#services.clock.nowMs())
    return head
  }

  #recordAttempt (choice: EndpointChoice, result: AttemptResult, ms: number): void {
    const endpoint = choice.state.endpoint.id
    const load = Math.round(choice.load * 10) / 10
    const detail = 'detail' in result ? { detail: result.detail } : {}
    this.#attemptLines.push({ endpoint, reason: choice.reason, load, result: result.kind, ...detail, ms: Math.round(ms) })
    this.#services.metrics.attempts.inc({ service: this.#context.service, result: result.kind })
  }

  /** Takes a result in: undefined when the request is answered, an error when it is given up. */
  #handleResult (choice: EndpointChoice, result: AttemptResult): RouteError | undefined | 'again' {
    const state = choice.state as PooledEndpoint
    const recordOutcome = (outcome: EndpointOutcome): void => this.#services.pool.recordOutcome(state, outcome, this.#context.request.id)
    switch (result.kind) {
      case 'streamed':
        recordOutcome('answered')
        return undefined
      case 'answered':
        this.#executedAttempts++
        recordOutcome(result.head.status >= MIN_FAILURE_STATUS ? 'failed' : 'answered')
        return this.#handleResponse(state, result)
      case 'not-run':
        if (result.by === 'endpoint') return this.#mayRetry() ? 'again' : this.#createError('endpoint_refused', result.detail)
        recordOutcome('unreachable')
        return ++this.#connectFailures < MAX_CONNECT_FAILURES ? 'again' : this.#createError('no_endpoint', result.detail)
      case 'lost':
        this.#executedAttempts++
        this.#mayHaveRun = true
        recordOutcome(result.why === 'silent' ? 'silent' : 'broken')
        if (result.why === 'untrusted') state.agent.disableReuse(this.#services.clock.nowMs() + REUSE_DISABLED_MS)
        return this.#retryable && this.#mayRetry() ? 'again' : this.#createError('response_lost', result.detail)
      case 'broken':
        this.#executedAttempts++
        recordOutcome('broken')
        this.#eventStream?.discardPartialEvent()
        return this.#eventStream?.lastId !== undefined && this.#mayRetry() ? 'again' : this.#createError('response_lost', result.detail)
      case 'stopped':
        this.#mayHaveRun ||= result.sent
        return this.#stoppedError()
    }
  }

  /** Passes an answer on, or tries elsewhere when the endpoint fails more requests than the others do. */
  #handleResponse (state: PooledEndpoint, result: Extract<AttemptResult, { kind: 'answered' }>): undefined | 'again' {
    const failsMore = result.head.status >= MIN_FAILURE_STATUS && state.health.failureRate(this.#services.clock.nowMs()) > this.#othersFailureShare(state) + EXCESS_FAILURE_SHARE
    if (failsMore && this.#retryable && this.#fallbackResponse === undefined && this.#mayRetry()) {
      this.#fallbackResponse = result
      return 'again'
    }
    this.#sendResponse(result)
    return undefined
  }

  #sendResponse (result: Extract<AttemptResult, { kind: 'answered' }>): void {
    if (this.#response.headersSent) this.#response.destroy()
    else this.#response.send(result.head.status, result.head.passHeaders, result.body)
  }

  #othersFailureShare (state: PooledEndpoint): number {
    return this.#services.pool.othersFailureShare(state)
  }

  /** True when another endpoint may be asked, within the route's attempts and the shared budget. */
  #mayRetry (): boolean {
    return this.#executedAttempts < this.#context.route.maxAttempts && this.#services.retryBudget(this.#context.service).tryRetry()
  }

  /** Silence that ends an attempt; a request that can't be repeated waits for its answer to the end. */
  #idleTimeoutMs (): number {
    if (!this.#retryable || this.#executedAttempts + 1 >= this.#context.route.maxAttempts) return Infinity
    return this.#context.route.streaming ? STREAM_IDLE_TIMEOUT_MS : this.#context.route.latencyGoalMs * CALL_IDLE_TIMEOUT_GOALS
  }

  /** Longest wait for the head of an answer from an endpoint that is well. */
  #lateThresholdMs (): number {
    return Math.max(MIN_LATE_THRESHOLD_MS, this.#context.route.latencyGoalMs * LATE_THRESHOLD_GOALS)
  }

  #stop (reason: 'caller-gone' | 'deadline'): void {
    this.#stopReason ??= reason
    this.#currentAttempt?.stop()
  }

  #stoppedError (): RouteError | undefined {
    if (this.#stopReason !== 'deadline') return routeError('response_lost', 'respond', 'caller', 'the caller left')
    return this.#createError(this.#mayHaveRun ? 'timed_out' : 'deadline_passed', 'the deadline passed')
  }

  /** An error that says "not run" becomes one that promises nothing once the request may have run. */
  #createError (code: ErrorCode, detail: string): RouteError {
    const peer = this.#attemptLines[this.#attemptLines.length - 1]?.endpoint ?? this.#context.service
    const error = routeError(code, 'forward', peer, detail, RETRY_AFTER_MS)
    return this.#mayHaveRun && outcomeOf(error) === 'not-run' ? routeError('response_lost', 'forward', peer, detail) : error
  }

  #finish (error: RouteError | undefined): void {
    const { clock, log, metrics, codec, pool } = this.#services
    const { request, route, service, account, configRevision, startedAt } = this.#context
    const fallback = this.#fallbackResponse
    if (error !== undefined && fallback !== undefined && !this.#response.headersSent) this.#sendResponse(fallback)
    else if (error !== undefined && !this.#response.disconnected) this.#response.sendError(error, codec.errorHeaders(request, error.retryAfterMs))
    const ms = clock.nowMs() - startedAt
    const kind = route.streaming ? 'stream' : 'call'
    const status = this.#response.status
    metrics.requests.inc({ kind, status: String(status), code: error?.code ?? '' })
    metrics.latency.observe({ kind }, ms / 1_000)
    log.request({
      requestId: request.id,
      route: route.name,
      service,
      account: account?.id ?? '',
      configRevision,
      listAgeMs: Math.round(pool.listAgeMs),
      attempts: this.#attemptLines,
      status,
      code: error?.code ?? '',
      ms: Math.round(ms)
    })
  }
}
