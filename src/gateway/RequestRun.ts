/** One request from its whole body to its answer: chooses endpoints, repeats what may be repeated, ends in time. */
import { outcomeOf, routeError, type ErrorCode, type RouteError } from '../common/Errors.js'
import { placeCall } from '../common/routing/CallPlacement.js'
import type { EndpointOutcome } from '../common/routing/EndpointHealth.js'
import { placePrompt, promptKey, type EndpointChoice } from '../common/routing/PromptPlacement.js'
import type { Account, Endpoint, Prompt, Route } from '../common/routing/Types.js'
import type { RetryBudget } from '../common/limits/RetryBudget.js'
import type { IClock } from '../common/Services.js'
import { Attempt, type AttemptResult } from './Attempt.js'
import type { CallerReply } from './CallerReply.js'
import type { EndpointPool, PooledEndpoint } from './EndpointPool.js'
import { EventStream } from './EventStream.js'
import type { GatewayMetrics } from './GatewayMetrics.js'
import type { Holder, HolderTask } from './HolderTask.js'
import type { AttemptLine, RequestLog } from './RequestLog.js'
import type { ExchangeRequest } from './EndpointExchange.js'
import type { AnswerHead, HeaderList, IRequestCodec, RoutedRequest } from './Types.js'

const CONNECT_TIMEOUT_MS = 150 // far above a round trip between data centres; nothing is lost by trying elsewhere
const MAX_CONNECT_FAILURES = 4
const PROVEN_MS = 500 // a connection idle for longer may lead nowhere; work that runs once isn't risked on it
const ANSWER_SILENCE_GOALS = 3 // multiples of the latency goal after which a repeatable call is tried elsewhere
const DOUBT_GOALS = 1.25 // multiples of the latency goal
const MIN_DOUBT_MS = 400 // a call in a short queue isn't silent
const STREAM_SILENCE_MS = 900 // a resumable stream goes on elsewhere before its caller loses patience
const DISTRUST_MS = 5_000 // an endpoint that answered out of turn gets a connection for each request this long
const DEADLINE_MARGIN_MS = 60 // the endpoint's own word on the deadline goes before this instance's
const RETRY_AFTER_MS = 250
const FAILURE_FROM = 500
const EXCESS_FAILURES = 0.2 // an endpoint that fails this much more than the others is worth a second try elsewhere

/** Collaborators of all runs. */
export interface RunServices {
  readonly clock: IClock
  readonly codec: IRequestCodec
  readonly pool: EndpointPool
  readonly holders: HolderTask
  readonly metrics: GatewayMetrics
  readonly log: RequestLog
  readonly dataCentre: string
  budget (service: string): RetryBudget
}

/** One request that the configuration allows. */
export interface RunRequest {
  readonly request: RoutedRequest
  readonly route: Route
  readonly service: string
  readonly account: Account | undefined
  readonly configRevision: number
  readonly body: Uint8Array
  /** When the request's head came. */
  readonly startedAt: number
}

export class RequestRun {
  readonly #services: RunServices
  readonly #run: RunRequest
  readonly #reply: CallerReply
  readonly #deadlineAt: number
  readonly #events: EventStream | undefined
  readonly #tried = new Set<string>()
  readonly #lines: AttemptLine[] = []
  readonly #repeatable: boolean
  #holder: Holder | undefined
  #current: Attempt | undefined
  #stopped: 'caller-gone' | 'deadline' | undefined
  #mayHaveRun = false
  #runs = 0
  #connectFailures = 0
  #heldAnswer: Extract<AttemptResult, { kind: 'answered' }> | undefined

  constructor (services: RunServices, run: RunRequest, reply: CallerReply) {
    this.#services = services
    this.#run = run
    this.#reply = reply
    const { route, request, startedAt } = run
    this.#deadlineAt = startedAt + Math.min(request.patienceMs ?? Infinity, route.timeoutMs)
    this.#repeatable = route.idempotent || (route.streaming && route.resumable)
    this.#events = route.streaming && route.resumable ? new EventStream() : undefined
  }

  /** Runs it to its end; never rejects. */
  async run (): Promise<void> {
    const { clock } = this.#services
    const timer = setTimeout(() => this.#stop('deadline'), Math.max(0, this.#deadlineAt - clock.nowMs()) + DEADLINE_MARGIN_MS)
    this.#reply.whenGone(() => this.#stop('caller-gone'))
    this.#services.budget(this.#run.service).recordRequest()
    try {
      const error = await this.#attempts()
      this.#finish(error)
    } finally {
      clearTimeout(timer)
    }
  }

  /** Makes attempts until the request is answered (undefined) or given up. */
  async #attempts (): Promise<RouteError | undefined> {
    for (;;) {
      if (this.#stopped !== undefined || this.#reply.gone) return this.#stoppedError()
      const choice = await this.#choose()
      if (this.#stopped !== undefined) continue
      if (choice === undefined) return this.#error(this.#lines.length === 0 ? 'no_endpoint' : 'endpoint_refused', 'no endpoint is left to try')
      const result = await this.#attempt(choice)
      const next = this.#judge(choice, result)
      if (next !== 'again') return next
    }
  }

  async #choose (): Promise<EndpointChoice | undefined> {
    const { prompt, id } = this.#run.request
    const { clock, dataCentre, metrics } = this.#services
    const choice = prompt === undefined
      ? placeCall(id, dataCentre, this.#candidates(), clock.nowMs())
      : await this.#choosePrompt(prompt)
    if (choice !== undefined) metrics.placements.inc({ reason: choice.reason })
    return choice
  }

  /** Asks for the session's holder once; later attempts go on from it. */
  async #choosePrompt (prompt: Prompt): Promise<EndpointChoice | undefined> {
    const { clock, holders } = this.#services
    const key = promptKey(prompt)
    this.#holder ??= await holders.holder(this.#run.service, key)
    return placePrompt(key.session, this.#holder?.endpoint, this.#candidates(), clock.nowMs())
  }

  #candidates (): PooledEndpoint[] {
    return this.#services.pool.candidates(this.#run.service, this.#tried)
  }

  async #attempt (choice: EndpointChoice): Promise<AttemptResult> {
    const { clock } = this.#services
    const { route } = this.#run
    const state = choice.state as PooledEndpoint
    const startedAt = clock.nowMs()
    this.#tried.add(state.endpoint.id)
    if (!this.#repeatable) state.agent.dropIdle(PROVEN_MS)
    state.inFlight++
    const attempt = new Attempt(state.agent, this.#callTo(state), this.#reply, {
      streaming: route.streaming,
      events: this.#events,
      silenceMs: this.#silenceMs(),
      doubtMs: this.#doubtMs(),
      onDoubt: () => this.#services.pool.note(state, 'late', this.#run.request.id),
      read: (status, headers) => this.#readHead(state, status, headers)
    })
    this.#current = attempt
    const result = await attempt.result
    state.inFlight--
    this.#noteAttempt(choice, result, clock.nowMs() - startedAt)
    return result
  }

  /** The request as it goes out to an endpoint. */
  #callTo (state: PooledEndpoint): ExchangeRequest {
    const { request, route, account, body } = this.#run
    const { id, address, port } = state.endpoint
    const headers = this.#services.codec.encode({
      request,
      endpointId: id,
      account: account?.id,
      priority: account?.priority ?? route.priority,
      timeLeftMs: this.#deadlineAt - this.#services.clock.nowMs(),
      lastEventId: this.#events?.lastId,
      promptSource: this.#promptSource(state)
    })
    const framed = body.length > 0 || request.method !== 'GET' ? [...headers, 'Content-Length', String(body.length)] : headers
    return { address, port, method: request.method, target: request.target, headers: framed, body, connectTimeoutMs: CONNECT_TIMEOUT_MS }
  }

  /** A healthy engine to copy from: the session's holder copies from its source, any other engine from the holder. */
  #promptSource (state: PooledEndpoint): Endpoint | undefined {
    if (this.#holder === undefined) return undefined
    const { endpoint, source } = this.#holder
    const held = this.#services.pool.byHash(state.hash === endpoint ? source : endpoint)
    return held?.health.isAvailable(this.#services.clock.nowMs()) === true ? held.endpoint : undefined
  }

  /** Reads an answer's head; the load that it states is as of now, however long the answer takes. */
  #readHead (state: PooledEndpoint, status: number, headers: HeaderList): AnswerHead {
    const head = this.#services.codec.answer(this.#run.request, status, headers)
    if (head.trusted && head.load !== undefined) state.recordReport(head.load.running + head.load.waiting, this.#services.clock.nowMs())
    return head
  }

  #noteAttempt (choice: EndpointChoice, result: AttemptResult, ms: number): void {
    const endpoint = choice.state.endpoint.id
    const load = Math.round(choice.load * 10) / 10
    const detail = 'detail' in result ? { detail: result.detail } : {}
    this.#lines.push({ endpoint, reason: choice.reason, load, result: result.kind, ...detail, ms: Math.round(ms) })
    this.#services.metrics.attempts.inc({ service: this.#run.service, result: result.kind })
  }

  /** Takes a result in: undefined when the request is answered, an error when it is given up. */
  #judge (choice: EndpointChoice, result: AttemptResult): RouteError | undefined | 'again' {
    const state = choice.state as PooledEndpoint
    const note = (outcome: EndpointOutcome): void => this.#services.pool.note(state, outcome, this.#run.request.id)
    switch (result.kind) {
      case 'streamed':
        note('answered')
        return undefined
      case 'answered':
        this.#runs++
        note(result.head.status >= FAILURE_FROM ? 'failed' : 'answered')
        return this.#answered(state, result)
      case 'not-run':
        if (result.by === 'endpoint') return this.#mayRepeat() ? 'again' : this.#error('endpoint_refused', result.detail)
        note('unreachable')
        return ++this.#connectFailures < MAX_CONNECT_FAILURES ? 'again' : this.#error('no_endpoint', result.detail)
      case 'lost':
        this.#runs++
        this.#mayHaveRun = true
        note(result.why === 'silent' ? 'silent' : 'broken')
        if (result.why === 'untrusted') state.agent.distrust(this.#services.clock.nowMs() + DISTRUST_MS)
        return this.#repeatable && this.#mayRepeat() ? 'again' : this.#error('response_lost', result.detail)
      case 'broken':
        this.#runs++
        note('broken')
        this.#events?.restart()
        return this.#events?.lastId !== undefined && this.#mayRepeat() ? 'again' : this.#error('response_lost', result.detail)
      case 'stopped':
        this.#mayHaveRun ||= result.sent
        return this.#stoppedError()
    }
  }

  /** Passes an answer on, or tries elsewhere when the endpoint fails more requests than the others do. */
  #answered (state: PooledEndpoint, result: Extract<AttemptResult, { kind: 'answered' }>): undefined | 'again' {
    const failsMore = result.head.status >= FAILURE_FROM && state.health.failureRate(this.#services.clock.nowMs()) > this.#othersShare(state) + EXCESS_FAILURES
    if (failsMore && this.#repeatable && this.#heldAnswer === undefined && this.#mayRepeat()) {
      this.#heldAnswer = result
      return 'again'
    }
    this.#pass(result)
    return undefined
  }

  #pass (result: Extract<AttemptResult, { kind: 'answered' }>): void {
    if (this.#reply.started) this.#reply.break()
    else this.#reply.whole(result.head.status, result.head.passHeaders, result.body)
  }

  #othersShare (state: PooledEndpoint): number {
    return this.#services.pool.othersFailureShare(state)
  }

  /** True when another endpoint may be asked, within the route's attempts and the shared budget. */
  #mayRepeat (): boolean {
    return this.#runs < this.#run.route.maxAttempts && this.#services.budget(this.#run.service).tryRetry()
  }

  /** Silence that ends an attempt; a request that can't be repeated waits for its answer to the end. */
  #silenceMs (): number {
    if (!this.#repeatable || this.#runs + 1 >= this.#run.route.maxAttempts) return Infinity
    return this.#run.route.streaming ? STREAM_SILENCE_MS : this.#run.route.latencyGoalMs * ANSWER_SILENCE_GOALS
  }

  /** Longest wait for the head of an answer from an endpoint that is well. */
  #doubtMs (): number {
    return Math.max(MIN_DOUBT_MS, this.#run.route.latencyGoalMs * DOUBT_GOALS)
  }

  #stop (why: 'caller-gone' | 'deadline'): void {
    this.#stopped ??= why
    this.#current?.stop()
  }

  #stoppedError (): RouteError | undefined {
    if (this.#stopped !== 'deadline') return routeError('response_lost', 'respond', 'caller', 'the caller left')
    return this.#error(this.#mayHaveRun ? 'timed_out' : 'deadline_passed', 'the deadline passed')
  }

  /** An error that says "not run" becomes one that promises nothing once the request may have run. */
  #error (code: ErrorCode, detail: string): RouteError {
    const peer = this.#lines[this.#lines.length - 1]?.endpoint ?? this.#run.service
    const error = routeError(code, 'forward', peer, detail, RETRY_AFTER_MS)
    return this.#mayHaveRun && outcomeOf(error) === 'not-run' ? routeError('response_lost', 'forward', peer, detail) : error
  }

  #finish (error: RouteError | undefined): void {
    const { clock, log, metrics, codec, pool } = this.#services
    const { request, route, service, account, configRevision, startedAt } = this.#run
    const held = this.#heldAnswer
    if (error !== undefined && held !== undefined && !this.#reply.started) this.#pass(held)
    else if (error !== undefined && !this.#reply.gone) this.#reply.refuse(error, codec.refusal(request, error.retryAfterMs))
    const ms = clock.nowMs() - startedAt
    const kind = route.streaming ? 'stream' : 'call'
    const status = this.#reply.status
    metrics.requests.inc({ kind, status: String(status), code: error?.code ?? '' })
    metrics.latency.observe({ kind }, ms / 1_000)
    log.request({
      requestId: request.id,
      route: route.name,
      service,
      account: account?.id ?? '',
      configRevision,
      listAgeMs: Math.round(pool.listAgeMs),
      attempts: this.#lines,
      status,
      code: error?.code ?? '',
      ms: Math.round(ms)
    })
  }
}
