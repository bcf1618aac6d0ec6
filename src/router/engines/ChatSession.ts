/**
 * One chat at its entry instance: places it on an engine and forwards the response. When the stream breaks, it
 * resumes from the next event on the same engine or, if the chat may be repeated, replays it on another one. The
 * caller sees neither a gap nor a duplicate, and a single end.
 */
import { MAX_PLACEMENT_ATTEMPTS } from '../../common/Constants.js'
import type { VotedConfig } from '../../common/config/VotedConfig.js'
import { outcomeOf, routeError, type ErrorCode, type RouteError } from '../../common/Errors.js'
import type { RetryBudget } from '../../common/limits/RetryBudget.js'
import { UNAVAILABLE } from '../../common/placement/LoadView.js'
import { ChatAssembler } from '../../common/sse/ChatAssembler.js'
import type { IClock } from '../../common/Services.js'
import type { EndpointTracker } from './EndpointTracker.js'
import type { Fleet } from '../fleet/Fleet.js'
import { rankEngines } from './LocalHomeNode.js'
import type { Metrics } from '../telemetry/Metrics.js'
import type { ChatCall, HomeReply, IChatRun, IChatSink, IHomeNode } from '../Types.js'

const RETRY_DELAYS_MS = [50, 300, 1_000, 2_500] as const // the last exceeds the failure detection time of a home node
const MAX_REPLAYS = 3
const MAX_RETRIES = 4
const RETRYABLE_CODES: ReadonlySet<ErrorCode> = new Set(['endpoint_refused', 'peer_unreachable', 'no_endpoint', 'not_ready'])

/** Dependencies of a session. */
export interface SessionDependencies {
  readonly config: () => VotedConfig | undefined
  readonly fleet: Fleet
  readonly endpoints: EndpointTracker
  readonly clock: IClock
  readonly metrics: Metrics
  readonly budget: RetryBudget
  /** The home node with this instance id; undefined when its address is unknown. */
  readonly homeNode: (id: string) => IHomeNode | undefined
}

/** The fields of a chat that are the same for all attempts. */
export type SessionCall = Omit<ChatCall, 'endpoint' | 'mayRedirect' | 'force' | 'excluded' | 'timeoutMs' | 'from'> & {
  /** Monotonic time in ms. */
  readonly deadline: number
  /** False when the chat must not be sent again once an engine may have run it. */
  readonly repeatable: boolean
}

/** Writes the response to the caller: events, then either `end` or `fail`. */
export interface IResponseWriter {
  /** Returns false under backpressure. */
  write (bytes: Uint8Array): boolean
  /** Ends the response after the last event. */
  end (): void
  /** Ends the response with an error. */
  fail (error: RouteError): void
}

/** Places, retries, resumes and replays one chat. */
export class ChatSession implements IChatSink {
  readonly #deps: SessionDependencies
  readonly #call: SessionCall
  readonly #body: Uint8Array
  readonly #writer: IResponseWriter
  /** Engines that failed or refused the chat. */
  readonly #failed = new Set<string>()
  /** Engines that declined the chat in this round, with their load. */
  readonly #declined = new Map<string, number>()
  readonly #deliveredChunks: Uint8Array[] = []
  #run: IChatRun | undefined
  #attempt = 0 // callbacks of earlier attempts are ignored
  #placementAttempts = 0
  #retries = 0
  #replays = 0
  #resumeAttempts = 0
  #endpoint = ''
  #home = ''
  #accepted = false
  #attemptOpen = false // an attempt was sent and has not ended
  #mayHaveRun = false // an earlier attempt may have reached an engine
  #deliveredEvents = 0
  #finished = false
  #retryTimer: NodeJS.Timeout | undefined
  readonly #deadlineTimer: NodeJS.Timeout

  constructor (deps: SessionDependencies, call: SessionCall, body: Uint8Array, writer: IResponseWriter) {
    this.#deps = deps
    this.#call = call
    this.#body = body
    this.#writer = writer
    this.#deadlineTimer = setTimeout(() => this.#fail(routeError(this.#isPossiblyRun ? 'timed_out' : 'deadline_passed', 'stream', this.#endpoint)), Math.max(0, this.#remainingMs))
  }

  /** Engine of the latest attempt. */
  get endpoint (): string {
    return this.#endpoint
  }

  /** Instance id of the home node of the latest attempt. */
  get home (): string {
    return this.#home
  }

  /** Sends the chat to its first engine. */
  start (): void {
    this.#deps.budget.recordRequest()
    this.#place()
  }

  /** Cancels the chat on the engine because the caller disconnected. */
  cancel (): void {
    if (this.#finished) return
    this.#finish()
    if (this.#accepted) this.#deps.homeNode(this.#home)?.cancel(this.#call.requestId, this.#endpoint)
  }

  /** Resumes reading after backpressure from the caller. */
  resumeReading (): void {
    this.#run?.resume()
  }

  /** Recovers the stream if the instance, which was declared dead, is its home node. */
  handleDeadInstance (id: string): void {
    if (this.#finished || id !== this.#home) return
    this.#run?.stop()
    this.#recover(routeError('response_lost', 'stream', id, 'the home node was declared dead'))
  }

  onAccepted (endpoint: string): void {
    this.#accepted = true
    this.#mayHaveRun = true
    this.#endpoint = endpoint
  }

  onEvents (bytes: Uint8Array, events: number, done: boolean): void {
    if (this.#finished) return
    this.#deliveredEvents += events
    this.#resumeAttempts = 0
    if (this.#call.repeatable) this.#deliveredChunks.push(bytes)
    const writable = this.#writer.write(bytes)
    if (done) {
      this.#finish()
      this.#writer.end()
    } else if (!writable) {
      this.#run?.pause()
    }
  }

  onReply (reply: HomeReply): void {
    if (this.#finished) return
    this.#attemptOpen = false
    if (reply.kind === 'redirect') {
      this.#send(reply.endpoint, false, false)
    } else if (reply.kind === 'declined') {
      this.#declined.set(reply.endpoint, reply.load)
      this.#place()
    } else {
      this.#retryIfNotRun(reply.error)
    }
  }

  onError (error: RouteError, sent: boolean): void {
    if (this.#finished) return
    this.#attemptOpen = false
    if (sent) this.#mayHaveRun = true
    if (sent) this.#recover(error)
    else this.#retryIfNotRun(error)
  }

  get #remainingMs (): number {
    return this.#call.deadline - this.#deps.clock.nowMs()
  }

  /** True when an engine may have run the chat. */
  get #isPossiblyRun (): boolean {
    return this.#mayHaveRun || this.#attemptOpen
  }

  /** Engines that are not asked again in this round. */
  get #excluded (): readonly string[] {
    return [...this.#failed, ...this.#declined.keys()]
  }

  /** Asks the home node of the best engine; once all have declined, forces the chat onto the least loaded one, above the load bound. */
  #place (): void {
    const config = this.#deps.config()
    if (config === undefined) {
      this.#fail(routeError('not_ready', 'place', this.#deps.fleet.self.id))
      return
    }
    const ranked = rankEngines(this.#deps, config, this.#call.model, this.#call.placement.keyHash, this.#excluded)
    const first = ranked[0]
    if (first !== undefined && this.#placementAttempts < MAX_PLACEMENT_ATTEMPTS - 1) {
      this.#send(first.id, true, false)
      return
    }
    const leastLoaded = [...this.#declined].filter(([, load]) => load !== UNAVAILABLE).sort((a, b) => a[1] - b[1])[0]
    const last = leastLoaded?.[0] ?? first?.id
    if (last === undefined || this.#placementAttempts > MAX_PLACEMENT_ATTEMPTS) this.#waitForEngine()
    else this.#send(last, false, true)
  }

  /** Starts another round after a delay: engines may be unavailable for a moment, or their load reports late. */
  #waitForEngine (): void {
    const error = routeError('no_endpoint', 'place', this.#call.model, '', 1_000)
    if (!this.#retryLater(error.code)) {
      this.#fail(error)
      return
    }
    this.#declined.clear()
    this.#placementAttempts = 0
  }

  #send (endpoint: string, mayRedirect: boolean, force: boolean): void {
    this.#placementAttempts++
    this.#endpoint = endpoint
    const target = this.#homeNodeOf(endpoint)
    if (target === undefined) {
      this.#retryIfNotRun(routeError('no_endpoint', 'place', endpoint, 'no home node is reachable'))
      return
    }
    const { deadline, repeatable, ...call } = this.#call
    const message: ChatCall = { ...call, endpoint, mayRedirect, force, excluded: this.#excluded, timeoutMs: this.#remainingMs, from: this.#deliveredEvents }
    this.#attemptOpen = true
    this.#run = target.chat(message, this.#continuationBody(), this.#attemptSink())
  }

  /** The home node of an engine; stores its id in `#home`. */
  #homeNodeOf (endpoint: string): IHomeNode | undefined {
    const id = this.#deps.fleet.homeOf(endpoint)
    this.#home = id ?? ''
    return id === undefined ? undefined : this.#deps.homeNode(id)
  }

  /** Sink of a new attempt; callbacks of earlier attempts are ignored from now on. */
  #attemptSink (): IChatSink {
    const attempt = ++this.#attempt
    const current = (): boolean => attempt === this.#attempt
    return {
      onAccepted: endpoint => { if (current()) this.onAccepted(endpoint) },
      onEvents: (bytes, events, done) => { if (current()) this.onEvents(bytes, events, done) },
      onReply: reply => { if (current()) this.onReply(reply) },
      onError: (error, sent) => { if (current()) this.onError(error, sent) }
    }
  }

  /** Retries an attempt that did not run; a response that has already started is recovered instead. */
  #retryIfNotRun (error: RouteError): void {
    if (error.code === 'peer_unreachable') this.#deps.fleet.markUnreachable(this.#home)
    if (outcomeOf(error) !== 'not-run') this.#mayHaveRun = true
    if (this.#accepted || outcomeOf(error) !== 'not-run') {
      this.#recover(error)
      return
    }
    if (!RETRYABLE_CODES.has(error.code) || !this.#retryLater(error.code)) {
      this.#fail(error)
      return
    }
    if (error.code === 'endpoint_refused') this.#exclude(this.#endpoint)
    this.#placementAttempts = Math.max(0, this.#placementAttempts - 1)
  }

  /** Schedules another placement; returns false when the chat or this instance has used up its retries. */
  #retryLater (cause: ErrorCode): boolean {
    if (this.#retries >= MAX_RETRIES || !this.#deps.budget.tryRetry()) return false
    this.#retries++
    this.#deps.metrics.retries.inc({ cause })
    this.#schedule(RETRY_DELAYS_MS[Math.min(this.#retries - 1, 2)]!, () => this.#place())
    return true
  }

  /** Recovers when the response is or may be incomplete: resumes on the same engine if it has the stream, else replays on another one. */
  #recover (error: RouteError): void {
    this.#attempt++
    this.#deps.metrics.retries.inc({ cause: 'resume' })
    const delay = RETRY_DELAYS_MS[this.#resumeAttempts++]
    const resumable = this.#accepted && error.code !== 'stream_not_found' && error.peer !== this.#endpoint
    if (resumable && delay !== undefined) {
      this.#schedule(delay, () => this.#resumeStream(error))
      return
    }
    if (!this.#call.repeatable || this.#replays++ >= MAX_REPLAYS) {
      this.#fail(error.code === 'stream_not_found' ? routeError('response_lost', 'resume', error.peer, error.detail) : error)
      return
    }
    this.#resumeAttempts = 0
    this.#placementAttempts = 0
    this.#exclude(this.#endpoint)
    this.#deps.metrics.retries.inc({ cause: 'replay' })
    this.#place()
  }

  #resumeStream (error: RouteError): void {
    const target = this.#homeNodeOf(this.#endpoint)
    if (target === undefined) {
      this.#recover(error)
      return
    }
    const { requestId } = this.#call
    this.#run = target.resume({ requestId, endpoint: this.#endpoint, from: this.#deliveredEvents, timeoutMs: this.#remainingMs }, this.#attemptSink())
  }

  /** The request body; on a replay with the part of the response that the caller already has. */
  #continuationBody (): Uint8Array {
    if (this.#deliveredEvents === 0) return this.#body
    const assembler = new ChatAssembler()
    for (const bytes of this.#deliveredChunks) assembler.push(bytes)
    const body = JSON.parse(Buffer.from(this.#body).toString()) as object
    return Buffer.from(JSON.stringify({ ...body, continue_from: { tokens: this.#deliveredEvents, text: assembler.text } }))
  }

  #exclude (endpoint: string): void {
    if (endpoint !== '') this.#failed.add(endpoint)
  }

  #schedule (ms: number, action: () => void): void {
    this.#retryTimer = setTimeout(() => { if (!this.#finished) action() }, ms)
  }

  #fail (error: RouteError): void {
    if (this.#finished) return
    const cancel = this.#isPossiblyRun && error.code === 'timed_out'
    const isFalselyNotRun = this.#isPossiblyRun && outcomeOf(error) === 'not-run'
    this.#finish()
    if (cancel) this.#deps.homeNode(this.#home)?.cancel(this.#call.requestId, this.#endpoint)
    this.#writer.fail(isFalselyNotRun ? routeError('response_lost', error.step, error.peer, `${error.code} ${error.detail}`) : error)
  }

  #finish (): void {
    this.#finished = true
    this.#attempt++
    clearTimeout(this.#retryTimer)
    clearTimeout(this.#deadlineTimer)
    this.#run?.stop()
  }
}
