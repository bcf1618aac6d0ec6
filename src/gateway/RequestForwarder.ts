/** Forwards one request whose body has been read: chooses endpoints, retries where that is safe, and enforces the deadline. */
import { outcomeOf, routeError, type ErrorCode, type RouteError } from '../common/Errors.js'
import { hashString } from '../common/Hash.js'
import { isWholeAt } from '../common/http/UnmarkedEnd.js'
import type { IByteReservation } from '../common/limits/ByteBudget.js'
import type { EndpointOutcome } from '../common/routing/EndpointHealth.js'
import { sharedParts, type EndpointChoice } from '../common/routing/PromptPlacement.js'
import { allowedRegions, type AllowedRegions } from '../common/routing/RegionFilter.js'
import { streamIdleMs } from '../common/routing/StreamIdle.js'
import type { Account, Route } from '../common/routing/Types.js'
import type { ConnectProbe } from '../router/engines/ConnectProbe.js'
import { Attempt, type AttemptResult, type EndVerdict } from './Attempt.js'
import type { CallerResponse } from './CallerResponse.js'
import type { ExchangeRequest } from './EndpointExchange.js'
import type { ILivenessWatch } from './EndpointLiveness.js'
import type { PooledEndpoint } from './EndpointPool.js'
import { EndpointSelector, type SelectorServices } from './EndpointSelector.js'
import { EventStream } from './EventStream.js'
import type { PromptGuard } from './PromptGuard.js'
import type { AnswerLine, AttemptLine, RequestLog } from './RequestLog.js'
import { RetryPolicy, type RetryServices } from './RetryPolicy.js'
import type { HeaderList, IRequestCodec, ResponseHead, RoutedRequest } from './Types.js'

const CONNECT_TIMEOUT_MS = 150 // far above a round trip between data centres; a retry at another endpoint loses nothing, as nothing was sent
const MAX_CONNECT_FAILURES = 4
const MAX_REUSE_IDLE_MS = 500 // a connection idle for longer may be dead; requests that can't be retried don't use it
const CALL_IDLE_TIMEOUT_GOALS = 3 // multiples of the latency goal without data after which a retryable call is retried at another endpoint
const LATE_THRESHOLD_GOALS = 1.25 // multiples of the latency goal without a response head after which an endpoint counts as late
const MIN_LATE_THRESHOLD_MS = 400 // a call that waits in a short queue isn't late
const REUSE_DISABLED_MS = 5_000 // after a response that doesn't belong to its request, each request gets a new connection for this long
const DEADLINE_MARGIN_MS = 60 // lets the endpoint's own deadline error arrive before this instance sends one
const RETRY_AFTER_MS = 250
const EVACUATED_RETRY_AFTER_MS = 1_000 // an evacuation doesn't end within moments; another instance may reach other data centres
const RETURN_SPREAD_MS = 1_000
const MIN_REDIRECT_STATUS = 300
const MIN_FAILURE_STATUS = 500
const EXCESS_FAILURE_RATE = 0.2 // failure rate above the other endpoints' mean from which a failed request is retried at another one

const MAX_LOGGED_PARTS = 8

/** Services shared by all requests. */
export interface ForwarderServices extends SelectorServices, RetryServices {
  readonly codec: IRequestCodec
  readonly promptGuard: PromptGuard
  readonly probe: ConnectProbe
  readonly log: RequestLog
}

/** An admitted request with its route, service and account. */
export interface RequestContext {
  readonly request: RoutedRequest
  readonly route: Route
  readonly service: string
  readonly account: Account | undefined
  readonly configRevision: number
  readonly body: Uint8Array
  /** Time at which the request's head was received. */
  readonly startedAt: number
  /** For the bytes of its responses that are kept until they are complete. */
  readonly reservation: IByteReservation
}

export class RequestForwarder {
  readonly #services: ForwarderServices
  readonly #context: RequestContext
  readonly #response: CallerResponse
  readonly #deadlineAt: number
  readonly #eventStream: EventStream | undefined
  readonly #regions: AllowedRegions
  readonly #selector: EndpointSelector
  readonly #retries: RetryPolicy
  readonly #attemptLines: AttemptLine[] = []
  readonly #retryable: boolean
  #currentAttempt: Attempt | undefined
  #stopReason: 'caller-gone' | 'deadline' | 'prompt-blocked' | undefined
  #mayHaveRun = false
  /** True once an endpoint closed its connection before the end of an answer. */
  #closedEarly = false
  #fallbackResponse: Extract<AttemptResult, { kind: 'answered' }> | undefined

  constructor (services: ForwarderServices, context: RequestContext, response: CallerResponse) {
    this.#services = services
    this.#context = context
    this.#response = response
    const { route, account, request, startedAt } = context
    this.#regions = allowedRegions(route, account)
    this.#selector = new EndpointSelector(services, context.service, request, this.#regions)
    this.#retries = new RetryPolicy(services, context.service, route.maxAttempts)
    this.#deadlineAt = startedAt + Math.min(request.timeoutMs ?? Infinity, route.timeoutMs)
    this.#retryable = route.idempotent || (route.streaming && route.resumable)
    this.#eventStream = route.streaming ? new EventStream(route.resumable) : undefined
  }

  /** Runs until the response was sent or the request failed; never rejects. */
  async run (): Promise<void> {
    const { clock } = this.#services
    const timer = setTimeout(() => this.#stop('deadline'), Math.max(0, this.#deadlineAt - clock.nowMs()) + DEADLINE_MARGIN_MS)
    this.#response.onDisconnect(() => this.#stop('caller-gone'))
    this.#retries.recordRequest()
    const blockedListener = this.#services.promptGuard.onBlocked(parts => this.#onPartsBlocked(parts))
    try {
      const error = await this.#runAttempts()
      this.#finish(error)
    } finally {
      clearTimeout(timer)
      blockedListener.dispose()
      this.#endTrial(false)
    }
  }

  /** Makes attempts until the request is answered; returns undefined then, else the error to send. */
  async #runAttempts (): Promise<RouteError | undefined> {
    for (;;) {
      if (this.#stopReason !== undefined || this.#response.disconnected) return this.#stoppedError()
      const refusal = await this.#checkPrompt()
      if (refusal !== undefined) return this.#mayHaveRun ? this.#createError('response_lost', refusal.detail) : refusal
      const choice = await this.#selector.select()
      if (this.#stopReason !== undefined) continue
      if (choice === undefined) return this.#noChoiceError()
      const result = await this.#attempt(choice)
      const next = this.#handleResult(choice, result)
      if (next !== 'again') return next
    }
  }

  /** Checks the prompt before each attempt: evidence against it may have come since the last one. */
  async #checkPrompt (): Promise<RouteError | undefined> {
    const { prompt, id } = this.#context.request
    return prompt === undefined ? undefined : await this.#services.promptGuard.check(prompt, id)
  }

  #noChoiceError (): RouteError {
    const waitMs = this.#selector.openWaitMs()
    if (waitMs !== undefined) return this.#createError('limit_reached', 'all endpoints are at their limits or want a pause', this.#spread(waitMs))
    if (this.#selector.hasEvacuated) return this.#createError('evacuated', 'the data centres of the endpoints that are left are evacuated', this.#spread(EVACUATED_RETRY_AFTER_MS))
    const where = this.#regions === undefined ? '' : ` in the regions ${this.#regions.join(', ')}`
    return this.#createError(this.#attemptLines.length === 0 ? 'no_endpoint' : 'endpoint_refused', `no endpoint is left to try${where}`)
  }

  /** Spreads the return of callers that are refused together. */
  #spread (waitMs: number): number {
    return waitMs + hashString(this.#context.request.id) % RETURN_SPREAD_MS
  }

  /** Stops a request whose answer hasn't begun when a part of its prompt is blocked, before it ends another engine. */
  #onPartsBlocked (parts: ReadonlySet<number>): void {
    const { prompt } = this.#context.request
    if (prompt === undefined || this.#currentAttempt?.answerBeganAt !== undefined) return
    if (this.#services.promptGuard.hasPartOf(prompt, parts)) this.#stop('prompt-blocked')
  }

  async #attempt (choice: EndpointChoice): Promise<AttemptResult> {
    const { clock } = this.#services
    const { route } = this.#context
    const state = choice.state as PooledEndpoint
    const startedAt = clock.nowMs()
    this.#selector.recordAttempt(state.endpoint)
    if (!this.#retryable) state.agent.closeIdle(MAX_REUSE_IDLE_MS)
    state.inFlight++
    let liveness = state.liveness.watchAgain()
    const attempt = new Attempt(state.agent, this.#buildExchangeRequest(choice), this.#response, {
      streaming: route.streaming,
      eventStream: this.#eventStream,
      idleTimeoutMs: this.#idleTimeoutMs(),
      lateThresholdMs: this.#lateThresholdMs(),
      onMatured: () => this.#recordSound(),
      onLate: () => this.#services.pool.recordOutcome(state, 'late', this.#context.request.id),
      onUnmarked: () => { liveness ??= state.liveness.watch() },
      confirmEnd: async () => await this.#confirmEnd(state, liveness!),
      reservation: this.#context.reservation,
      decodeHead: (status, headers, isReused) => this.#decodeHead(state, status, headers, isReused)
    })
    this.#currentAttempt = attempt
    const result = await attempt.result
    liveness?.dispose()
    state.inFlight--
    const now = clock.nowMs()
    this.#currentAttempt = undefined
    this.#recordPromptOutcome(state, result, attempt)
    this.#recordAttempt(choice, result, now - startedAt, attempt.answerLine)
    return result
  }

  /** Decides whether an answer without a marked end is whole. */
  async #confirmEnd (state: PooledEndpoint, watch: ILivenessWatch): Promise<EndVerdict> {
    const { streaming } = this.#context.route
    const usable = this.#services.pool.isUsable(state.hash)
    const [liveness, probe] = await Promise.all([watch.check(), usable ? this.#services.probe(state.endpoint) : undefined])
    const whole = isWholeAt({ streaming, usable, refused: probe === 'refused', liveness })
    return { whole, detail: `${liveness}, ${probe === undefined ? 'leaving' : `probe ${probe}`}` }
  }

  /** Records what the attempt's end tells of the prompt. */
  #recordPromptOutcome (state: PooledEndpoint, result: AttemptResult, { isYoung, isEndUnmarked }: Attempt): void {
    const { prompt } = this.#context.request
    if (prompt === undefined) return
    this.#endTrial(wasClosedEarly(result))
    const succeeded = result.kind === 'streamed' || (result.kind === 'answered' && result.head.status < MIN_REDIRECT_STATUS)
    if (succeeded && isYoung && isEndUnmarked) this.#services.promptGuard.recordUnmarkedEnd(state.endpoint, prompt, state.agent)
    else if (succeeded) this.#recordSound()
    else if (isYoung && wasClosedEarly(result)) this.#services.promptGuard.recordClose(state.endpoint, prompt, state.agent)
  }

  /** Lets another request be the next trial. */
  #endTrial (wasBrokenOff: boolean): void {
    const { prompt } = this.#context.request
    if (prompt !== undefined) this.#services.promptGuard.endTrial(prompt, wasBrokenOff)
  }

  #recordSound (): void {
    const { prompt } = this.#context.request
    if (prompt !== undefined) this.#services.promptGuard.recordSound(prompt)
  }

  /** Builds the request that is sent to an endpoint. */
  #buildExchangeRequest (choice: EndpointChoice): ExchangeRequest {
    const state = choice.state as PooledEndpoint
    const { request, route, account, body } = this.#context
    const { id, address, port } = state.endpoint
    const headers = this.#services.codec.encodeRequest({
      request,
      endpointId: id,
      account: account?.id,
      priority: account?.priority ?? route.priority,
      timeLeftMs: this.#deadlineAt - this.#services.clock.nowMs(),
      lastEventId: this.#eventStream?.lastId,
      promptSource: this.#selector.promptSource(state)
    })
    const allHeaders = body.length > 0 || request.method !== 'GET' ? [...headers, 'Content-Length', String(body.length)] : headers
    const mayWrite = (): boolean => this.#selector.isOpen(choice)
    return { address, port, method: request.method, target: request.target, headers: allHeaders, body, connectTimeoutMs: CONNECT_TIMEOUT_MS, mayWrite }
  }

  /** Decodes a response head and records the load in it at once: the load is current now, however long the body takes. */
  #decodeHead (state: PooledEndpoint, status: number, headers: HeaderList, isReused: boolean): ResponseHead {
    const head = this.#services.codec.decodeResponse(this.#context.request, status, headers, isReused)
    if (head.trusted && head.load !== undefined) this.#services.pool.recordLoad(state, head.load.running + head.load.waiting)
    if (head.trusted) this.#recordWord(state, head)
    return head
  }

  /** Records what the endpoint says of itself in an answer. */
  #recordWord (state: PooledEndpoint, head: ResponseHead): void {
    const { pool } = this.#services
    const { id } = this.#context.request
    pool.recordLimit(state, head.requestsPerSec, id)
    if (head.leaving) pool.recordLeaving(state, id)
    if (head.pauseMs !== undefined) pool.recordPause(state, head.pauseMs, id)
  }

  #recordAttempt (choice: EndpointChoice, result: AttemptResult, ms: number, answer: AnswerLine): void {
    const endpoint = choice.state.endpoint.id
    const load = Math.round(choice.load * 10) / 10
    const detail = 'detail' in result ? { detail: result.detail } : {}
    this.#attemptLines.push({ endpoint, reason: choice.reason, load, result: result.kind, ...detail, ...answer, ms: Math.round(ms) })
    this.#closedEarly ||= wasClosedEarly(result)
    this.#services.metrics.attempts.inc({ service: this.#context.service, result: result.kind })
  }

  /** Handles an attempt's result: undefined when the request is answered, 'again' to retry, else the error to send. */
  #handleResult (choice: EndpointChoice, result: AttemptResult): RouteError | undefined | 'again' {
    const state = choice.state as PooledEndpoint
    const recordOutcome = (outcome: EndpointOutcome): void => this.#services.pool.recordOutcome(state, outcome, this.#context.request.id)
    switch (result.kind) {
      case 'streamed':
        recordOutcome('answered')
        return undefined
      case 'answered':
        this.#retries.recordExecuted()
        recordOutcome(result.head.status >= MIN_FAILURE_STATUS ? 'failed' : 'answered')
        return this.#handleResponse(state, result)
      case 'not-run':
        if (result.by === 'withdrawn') return 'again'
        if (result.by === 'other-endpoint') recordOutcome('misdirected')
        if (result.by !== 'connect') return this.#tryRetry() ? 'again' : this.#createError('endpoint_refused', result.detail)
        recordOutcome('unreachable')
        this.#selector.recordConnectFailure()
        return this.#selector.connectFailures < MAX_CONNECT_FAILURES ? 'again' : this.#createError('no_endpoint', result.detail)
      case 'lost':
        this.#retries.recordExecuted()
        this.#mayHaveRun = true
        recordOutcome(result.why === 'silent' ? 'silent' : 'broken')
        if (result.why === 'untrusted') state.agent.disableReuse(this.#services.clock.nowMs() + REUSE_DISABLED_MS)
        return this.#retryable && this.#tryRetry() ? 'again' : this.#createError('response_lost', result.detail)
      case 'broken':
        this.#retries.recordExecuted()
        recordOutcome(result.why === 'no-continuation' ? 'failed' : 'broken')
        return this.#eventStream?.canResume === true && this.#tryRetry() ? 'again' : this.#createError('response_lost', result.detail)
      case 'stopped':
        this.#mayHaveRun ||= result.sent
        return this.#stoppedError()
    }
  }

  /** Sends a response to the caller, or retries at another endpoint if this one fails more requests than the others. */
  #handleResponse (state: PooledEndpoint, result: Extract<AttemptResult, { kind: 'answered' }>): undefined | 'again' {
    const failsMore = result.head.status >= MIN_FAILURE_STATUS &&
      state.health.failureRate(this.#services.clock.nowMs()) > this.#othersFailureRate(state) + EXCESS_FAILURE_RATE
    if (failsMore && this.#retryable && this.#fallbackResponse === undefined && this.#tryRetry()) {
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

  #othersFailureRate (state: PooledEndpoint): number {
    return this.#services.pool.othersFailureRate(state)
  }

  /** Takes a retry; the decision is logged with the attempt that it follows. */
  #tryRetry (): boolean {
    const granted = this.#retries.tryRetry()
    const retry = this.#retries.takeLine()
    const last = this.#attemptLines.pop()
    if (last !== undefined) this.#attemptLines.push(retry === undefined ? last : { ...last, retry })
    return granted
  }

  /** Time without data that ends an attempt; Infinity for a request that can't be retried, which waits until its deadline. */
  #idleTimeoutMs (): number {
    if (!this.#retryable || this.#retries.isLastAttempt) return Infinity
    const { route } = this.#context
    return route.streaming ? streamIdleMs(route, this.#deadlineAt - this.#services.clock.nowMs()) : route.latencyGoalMs * CALL_IDLE_TIMEOUT_GOALS
  }

  /** Longest wait for the response head of a healthy endpoint; after it the endpoint counts as late. */
  #lateThresholdMs (): number {
    return Math.max(MIN_LATE_THRESHOLD_MS, this.#context.route.latencyGoalMs * LATE_THRESHOLD_GOALS)
  }

  #stop (reason: 'caller-gone' | 'deadline' | 'prompt-blocked'): void {
    this.#stopReason ??= reason
    this.#currentAttempt?.stop()
  }

  #stoppedError (): RouteError | undefined {
    if (this.#stopReason === 'prompt-blocked') return this.#createError('prompt_blocked', 'a part was blocked before the answer began')
    if (this.#stopReason !== 'deadline') return routeError('response_lost', 'respond', 'caller', 'the caller left')
    return this.#createError(this.#mayHaveRun ? 'timed_out' : 'deadline_passed', 'the deadline passed')
  }

  /** Creates an error. Once the request may have run, an error with the outcome "not run" becomes one with an unknown outcome. */
  #createError (code: ErrorCode, detail: string, retryAfterMs = RETRY_AFTER_MS): RouteError {
    const peer = this.#attemptLines[this.#attemptLines.length - 1]?.endpoint ?? this.#context.service
    const error = routeError(code, 'forward', peer, detail, retryAfterMs)
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
      ...this.#selector.sessionLine === undefined ? {} : { session: this.#selector.sessionLine },
      ...this.#closedEarly && request.prompt !== undefined ? { parts: sharedParts(request.prompt).slice(0, MAX_LOGGED_PARTS).map(part => part.id) } : {},
      attempts: this.#attemptLines,
      status,
      ...this.#response.line === undefined ? {} : { response: this.#response.line },
      code: error?.code ?? '',
      ms: Math.round(ms)
    })
  }
}

/** True when the endpoint's side closed the connection before the end of the answer. */
function wasClosedEarly (result: AttemptResult): boolean {
  return (result.kind === 'broken' && result.why === 'closed') || (result.kind === 'lost' && result.why === 'reset')
}
