/**
 * Task of one chat at its entry: finds an engine that takes it, passes the answer on, and when the answer
 * breaks off reads on from the next event: on the same engine, else, where the chat may be repeated, on
 * another one. The caller sees no gap, no duplicate and one end.
 */
import { MAX_PLACEMENT_ATTEMPTS } from '../../common/Constants.js'
import type { VotedConfig } from '../../common/config/VotedConfig.js'
import { outcomeOf, routeError, type ErrorCode, type RouteError } from '../../common/Errors.js'
import type { RetryBudget } from '../../common/limits/RetryBudget.js'
import { UNAVAILABLE } from '../../common/placement/LoadView.js'
import { ChatAssembler } from '../../common/sse/ChatAssembler.js'
import type { IClock } from '../../common/Services.js'
import type { Endpoints } from './Endpoints.js'
import type { Fleet } from '../fleet/Fleet.js'
import { rankEngines } from './LocalHome.js'
import type { Metrics } from '../telemetry/Metrics.js'
import type { ChatCall, HomeReply, IChatRun, IChatSink, IHome } from '../Types.js'

const RECOVER_DELAYS_MS = [50, 300, 1_000, 2_500] as const // the last is past the time in which a dead home is noticed
const MAX_REPLAYS = 3
const MAX_RETRIES = 4
const RETRIED: ReadonlySet<ErrorCode> = new Set(['endpoint_refused', 'peer_unreachable', 'no_endpoint', 'not_ready'])

/** Parts that a session works with. */
export interface SessionParts {
  readonly config: () => VotedConfig | undefined
  readonly fleet: Fleet
  readonly endpoints: Endpoints
  readonly clock: IClock
  readonly metrics: Metrics
  readonly budget: RetryBudget
  /** The home with this instance id. */
  readonly homeAt: (id: string) => IHome | undefined
}

/** What stays the same over all attempts. */
export type SessionCall = Omit<ChatCall, 'endpoint' | 'mayRedirect' | 'force' | 'excluded' | 'timeoutMs' | 'from'> & {
  readonly deadline: number
  /** False when the chat may not be sent again once it may have run. */
  readonly repeatable: boolean
}

/** Receiver of the session's result: events, then one of `end` and `fail`. */
export interface ICallerStream {
  /** Returns false when the caller reads too slowly. */
  events (bytes: Uint8Array): boolean
  end (): void
  fail (error: RouteError): void
}

export class ChatSession implements IChatSink {
  readonly #parts: SessionParts
  readonly #call: SessionCall
  readonly #body: Uint8Array
  readonly #out: ICallerStream
  readonly #excluded: string[] = []
  readonly #declined = new Map<string, number>()
  readonly #kept: Uint8Array[] = []
  #run: IChatRun | undefined
  #attempt = 0 // answers of earlier attempts are ignored
  #placements = 0
  #retries = 0
  #replays = 0
  #recoveries = 0
  #endpoint = ''
  #home = ''
  #accepted = false
  #delivered = 0
  #over = false
  #timer: NodeJS.Timeout | undefined
  readonly #deadline: NodeJS.Timeout

  constructor (parts: SessionParts, call: SessionCall, body: Uint8Array, out: ICallerStream) {
    this.#parts = parts
    this.#call = call
    this.#body = body
    this.#out = out
    this.#deadline = setTimeout(() => this.#fail(routeError(this.#accepted ? 'timed_out' : 'deadline_passed', 'stream', this.#endpoint)), Math.max(0, this.#leftMs))
  }

  /** Engine that serves or served last. */
  get endpoint (): string {
    return this.#endpoint
  }

  /** Home asked last. */
  get home (): string {
    return this.#home
  }

  start (): void {
    this.#parts.budget.recordRequest()
    this.#placeAnew()
  }

  /** The caller went away: the engine drops the work. */
  abandon (): void {
    if (this.#over) return
    this.#finish()
    if (this.#accepted) this.#parts.homeAt(this.#home)?.cancel(this.#call.requestId, this.#endpoint)
  }

  /** The caller can take more. */
  drained (): void {
    this.#run?.resume()
  }

  /** An instance was declared dead; what it was streaming is read on elsewhere. */
  instanceGone (id: string): void {
    if (this.#over || id !== this.#home) return
    this.#run?.stop()
    this.#broken(routeError('response_lost', 'stream', id, 'the home is gone'))
  }

  onAccepted (endpoint: string): void {
    this.#accepted = true
    this.#endpoint = endpoint
  }

  onEvents (bytes: Uint8Array, events: number, done: boolean): void {
    if (this.#over) return
    this.#delivered += events
    this.#recoveries = 0
    if (this.#call.repeatable) this.#kept.push(bytes)
    const room = this.#out.events(bytes)
    if (done) {
      this.#finish()
      this.#out.end()
    } else if (!room) {
      this.#run?.pause()
    }
  }

  onReply (reply: HomeReply): void {
    if (this.#over) return
    if (reply.kind === 'redirect') {
      this.#send(reply.endpoint, false, false)
    } else if (reply.kind === 'declined') {
      this.#declined.set(reply.endpoint, reply.load)
      this.#exclude(reply.endpoint)
      this.#placeAnew()
    } else {
      this.#refused(reply.error)
    }
  }

  onError (error: RouteError, sent: boolean): void {
    if (this.#over) return
    if (sent) this.#broken(error)
    else this.#refused(error)
  }

  get #leftMs (): number {
    return this.#call.deadline - this.#parts.clock.nowMs()
  }

  /** Asks the home of the best engine; once all declined, the least loaded takes the chat above the bound. */
  #placeAnew (): void {
    const config = this.#parts.config()
    if (config === undefined) {
      this.#fail(routeError('not_ready', 'place', this.#parts.fleet.self.id))
      return
    }
    const ranked = rankEngines(this.#parts, config, this.#call.model, this.#call.placement.keyHash, this.#excluded)
    const first = ranked[0]
    if (first !== undefined && this.#placements < MAX_PLACEMENT_ATTEMPTS - 1) {
      this.#send(first.id, true, false)
      return
    }
    const least = [...this.#declined].filter(([, load]) => load !== UNAVAILABLE).sort((a, b) => a[1] - b[1])[0]
    const last = least?.[0] ?? first?.id
    if (last === undefined || this.#placements > MAX_PLACEMENT_ATTEMPTS) this.#fail(routeError('no_endpoint', 'place', this.#call.model, '', 1_000))
    else this.#send(last, false, true)
  }

  #send (endpoint: string, mayRedirect: boolean, force: boolean): void {
    this.#placements++
    this.#endpoint = endpoint
    const target = this.#target(endpoint)
    if (target === undefined) {
      this.#refused(routeError('no_endpoint', 'place', endpoint, 'its home is not known'))
      return
    }
    const { deadline, repeatable, ...call } = this.#call
    const message: ChatCall = { ...call, endpoint, mayRedirect, force, excluded: this.#excluded, timeoutMs: this.#leftMs, from: this.#delivered }
    this.#run = target.chat(message, this.#bodyFrom(), this.#guard())
  }

  /** The home of an engine; remembers which it was. */
  #target (endpoint: string): IHome | undefined {
    const id = this.#parts.fleet.homeOf(endpoint)
    this.#home = id ?? ''
    return id === undefined ? undefined : this.#parts.homeAt(id)
  }

  /** Passes on what the current attempt answers, and ignores earlier attempts. */
  #guard (): IChatSink {
    const attempt = ++this.#attempt
    const current = (): boolean => attempt === this.#attempt
    return {
      onAccepted: endpoint => { if (current()) this.onAccepted(endpoint) },
      onEvents: (bytes, events, done) => { if (current()) this.onEvents(bytes, events, done) },
      onReply: reply => { if (current()) this.onReply(reply) },
      onError: (error, sent) => { if (current()) this.onError(error, sent) }
    }
  }

  /** This attempt did not run; an answer that has begun is still read on. */
  #refused (error: RouteError): void {
    if (error.code === 'peer_unreachable') this.#parts.fleet.noteUnreachable(this.#home)
    if (this.#accepted || outcomeOf(error) !== 'not-run') {
      this.#broken(error)
      return
    }
    if (!RETRIED.has(error.code) || this.#retries >= MAX_RETRIES || !this.#parts.budget.tryRetry()) {
      this.#fail(error)
      return
    }
    this.#retries++
    this.#parts.metrics.retries.inc({ cause: error.code })
    if (error.code === 'endpoint_refused') this.#exclude(this.#endpoint)
    this.#placements = Math.max(0, this.#placements - 1)
    this.#later(RECOVER_DELAYS_MS[Math.min(this.#retries - 1, 2)]!, () => this.#placeAnew())
  }

  /** The answer broke off, or may have: reads on where the engine keeps it, else starts it anew elsewhere. */
  #broken (error: RouteError): void {
    this.#attempt++
    this.#parts.metrics.retries.inc({ cause: 'resume' })
    const delay = RECOVER_DELAYS_MS[this.#recoveries++]
    const keeps = this.#accepted && error.code !== 'stream_not_found' && error.peer !== this.#endpoint
    if (keeps && delay !== undefined) {
      this.#later(delay, () => this.#readOn(error))
      return
    }
    if (!this.#call.repeatable || this.#replays++ >= MAX_REPLAYS) {
      this.#fail(error.code === 'stream_not_found' ? routeError('response_lost', 'resume', error.peer, error.detail) : error)
      return
    }
    this.#recoveries = 0
    this.#placements = 0
    this.#exclude(this.#endpoint)
    this.#parts.metrics.retries.inc({ cause: 'replay' })
    this.#placeAnew()
  }

  #readOn (error: RouteError): void {
    const target = this.#target(this.#endpoint)
    if (target === undefined) {
      this.#broken(error)
      return
    }
    const { requestId } = this.#call
    this.#run = target.resume({ requestId, endpoint: this.#endpoint, from: this.#delivered, timeoutMs: this.#leftMs }, this.#guard())
  }

  /** The request, with the part of the answer that the caller has when it goes to another engine. */
  #bodyFrom (): Uint8Array {
    if (this.#delivered === 0) return this.#body
    const assembler = new ChatAssembler()
    for (const bytes of this.#kept) assembler.push(bytes)
    const body = JSON.parse(Buffer.from(this.#body).toString()) as object
    return Buffer.from(JSON.stringify({ ...body, continue_from: { tokens: this.#delivered, text: assembler.text } }))
  }

  #exclude (endpoint: string): void {
    if (endpoint !== '' && !this.#excluded.includes(endpoint)) this.#excluded.push(endpoint)
  }

  #later (ms: number, action: () => void): void {
    this.#timer = setTimeout(() => { if (!this.#over) action() }, ms)
  }

  #fail (error: RouteError): void {
    if (this.#over) return
    const cancel = this.#accepted && error.code === 'timed_out'
    this.#finish()
    if (cancel) this.#parts.homeAt(this.#home)?.cancel(this.#call.requestId, this.#endpoint)
    this.#out.fail(error)
  }

  #finish (): void {
    this.#over = true
    this.#attempt++
    clearTimeout(this.#timer)
    clearTimeout(this.#deadline)
    this.#run?.stop()
  }
}
