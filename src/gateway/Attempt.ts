/** One attempt of a request at one endpoint: forwards a stream as it arrives, buffers any other response until it is complete. */
import type { AnswerEnd } from '../common/http/AnswerFraming.js'
import { ByteBuffer } from '../common/http/ByteBuffer.js'
import type { IByteReservation } from '../common/limits/ByteBudget.js'
import { YOUNG_ANSWER_MS } from '../common/routing/PartEvidence.js'
import { SseFramer } from '../common/sse/SseFramer.js'
import type { CallerResponse } from './CallerResponse.js'
import type { EndpointAgent } from './EndpointAgent.js'
import { EndpointExchange, type ExchangeFailure, type ExchangeRequest, type IExchangeSink } from './EndpointExchange.js'
import type { EventStream } from './EventStream.js'
import { InputTimeout } from './InputTimeout.js'
import type { AnswerLine } from './RequestLog.js'
import type { HeaderList, ResponseHead } from './Types.js'

const MAX_BUFFERED_BYTES = 1_048_576 // a larger response is forwarded as it arrives
const SMALL_BYTES = 16_384 // kept without a reservation

/** How an attempt ended. */
export type AttemptResult =
  /** The response was streamed to the caller to its end. */
  | { readonly kind: 'streamed', readonly status: number }
  /** A complete response, not yet sent to the caller. */
  | { readonly kind: 'answered', readonly head: ResponseHead, readonly body: Uint8Array }
  /** The endpoint can't have run the request; `other-endpoint` answered in its place, `withdrawn` when this instance didn't write it. */
  | { readonly kind: 'not-run', readonly by: 'connect' | 'withdrawn' | 'endpoint' | 'other-endpoint', readonly detail: string }
  /** The request may have run; nothing was sent to the caller. */
  | { readonly kind: 'lost', readonly why: 'reset' | 'silent' | 'untrusted', readonly detail: string }
  /**
   * The request ran, and part of the response was sent to the caller; `closed` when the endpoint's side closed the connection,
   * `no-continuation` when the answer doesn't go on after that part.
   */
  | { readonly kind: 'broken', readonly why: 'closed' | 'silent' | 'oversized' | 'no-continuation', readonly detail: string }
  /** Cancelled by this instance: the caller disconnected or the deadline passed. */
  | { readonly kind: 'stopped', readonly sent: boolean }

/** Whether an answer whose end isn't marked counts as whole, and why. */
export interface EndVerdict {
  readonly whole: boolean
  readonly detail: string
}

/** Options of an attempt. */
export interface AttemptOptions {
  /** True to forward a successful response as it arrives. */
  readonly streaming: boolean
  /** Present for a streaming route: only complete events are forwarded. */
  readonly eventStream: EventStream | undefined
  /** Time without data, or without an event of a stream, after which the attempt ends; Infinity when the request can't be retried. */
  readonly idleTimeoutMs: number
  /** Wait for the response head after which the endpoint counts as late; the attempt continues. */
  readonly lateThresholdMs: number
  /** Called at most once, when the response head is late. */
  readonly onLate: () => void
  /** Called at most once, when the answer has gone on for `YOUNG_ANSWER_MS`. */
  readonly onMatured: () => void
  /** Called at the head of an answer whose end isn't marked. */
  readonly onUnmarked: () => void
  /** Called at the end of such an answer; resolves to what was found out. */
  readonly confirmEnd: () => Promise<EndVerdict>
  /** Takes the bytes of a response that is kept until it is complete; one that finds no room is forwarded as it arrives. */
  readonly reservation: IByteReservation
  /** Decodes a response head. @param isReused true when the connection carried an earlier request. */
  readonly decodeHead: (status: number, headers: HeaderList, isReused: boolean) => ResponseHead
}

export class Attempt implements IExchangeSink {
  readonly #response: CallerResponse
  readonly #options: AttemptOptions
  readonly #exchange: EndpointExchange
  readonly #buffered = new ByteBuffer(MAX_BUFFERED_BYTES)
  #head: ResponseHead | undefined
  #streaming = false
  #answerBeganAt: number | undefined
  #bodyBeganAt: number | undefined
  #matured = false
  #isEndUnmarked = false
  #settled = false
  /** Finds the end of events that are passed on unchanged, where nothing else marks the end of the answer. */
  #unmarkedEvents: SseFramer | undefined
  #endDetail: string | undefined
  readonly #idleTimeout: InputTimeout | undefined
  readonly #lateTimer: NodeJS.Timeout
  #resolve!: (result: AttemptResult) => void
  readonly result: Promise<AttemptResult>

  constructor (agent: EndpointAgent, call: ExchangeRequest, response: CallerResponse, options: AttemptOptions) {
    this.#response = response
    this.#options = options
    options.eventStream?.beginRun()
    this.result = new Promise(resolve => { this.#resolve = resolve })
    this.#exchange = new EndpointExchange(agent, call, this)
    this.#lateTimer = setTimeout(() => options.onLate(), options.lateThresholdMs)
    const { idleTimeoutMs } = options
    if (idleTimeoutMs !== Infinity) this.#idleTimeout = new InputTimeout(idleTimeoutMs, () => this.#onIdleTimeout())
  }

  /** When the head of the answer arrived, on the monotonic clock; undefined before. */
  get answerBeganAt (): number | undefined {
    return this.#answerBeganAt
  }

  /** True unless the body of the answer has gone on for `YOUNG_ANSWER_MS`; an endpoint that ends may take the head of its answer with it. */
  get isYoung (): boolean {
    return !this.#matured
  }

  /** True when nothing marked the end of the answer but that its connection ended, as also when its process has ended. */
  get isEndUnmarked (): boolean {
    return this.#isEndUnmarked
  }

  /** Log fields of the answer. */
  get answerLine (): AnswerLine {
    const { framing } = this.#exchange
    const { eventStream } = this.#options
    if (framing === undefined || this.#answerBeganAt === undefined) return {}
    const stream = eventStream === undefined ? {} : { events: eventStream.runEvents, partialEvent: eventStream.hasPartialEvent }
    const end = this.#endDetail === undefined ? {} : { end: this.#endDetail }
    return { answerMs: Math.round(performance.now() - this.#answerBeganAt), framing, ...stream, ...end }
  }

  /** Cancels the attempt. */
  stop (): void {
    this.#settle({ kind: 'stopped', sent: this.#exchange.sent })
  }

  onHead (status: number, headers: HeaderList): void {
    clearTimeout(this.#lateTimer)
    this.#idleTimeout?.restart()
    this.#answerBeganAt = performance.now()
    const head = this.#options.decodeHead(status, headers, this.#exchange.isReused)
    this.#head = head
    if (!head.trusted) {
      this.#settle({ kind: 'lost', why: 'untrusted', detail: `answer of status ${status} isn't the endpoint's own answer to this request` })
      return
    }
    if (this.#exchange.framing === 'connection') this.#options.onUnmarked()
    const succeeded = status >= 200 && status < 300
    if (this.#response.headersSent && !(succeeded && head.isEventStream)) this.#settleNoContinuation(head)
    else if (this.#options.streaming && succeeded) this.#startStreaming()
    else if (head.isEventStream && this.#exchange.framing === 'connection') this.#unmarkedEvents = new SseFramer()
  }

  onData (bytes: Uint8Array): void {
    this.#checkAge()
    this.#unmarkedEvents?.push(bytes)
    if (this.#unmarkedEvents?.isOversized === true) {
      this.#settleBrokenOff('event without an end')
      return
    }
    if (this.#streaming) {
      this.#write(bytes)
      return
    }
    this.#idleTimeout?.restart()
    if (this.#mayKeep(bytes.length) && this.#buffered.push(bytes)) return
    this.#startStreaming()
    this.#write(bytes)
  }

  #mayKeep (bytes: number): boolean {
    return this.#buffered.length + bytes <= SMALL_BYTES || this.#options.reservation.grow(bytes)
  }

  onEnd (end: AnswerEnd): void {
    this.#idleTimeout?.dispose()
    const head = this.#head!
    this.#isEndUnmarked = end !== 'whole'
    if (!this.#streaming && head.notRun) {
      this.#settle({ kind: 'not-run', by: head.misdirected ? 'other-endpoint' : 'endpoint', detail: `status ${head.status}` })
    } else if (this.#endedEarly()) {
      this.#settleBrokenOff('stream ended within an event or before the first')
    } else if (end === 'whole') {
      this.#finish(head)
    } else {
      this.#confirmEnd(head).catch((e: unknown) => this.#settleBrokenOff(String(e)))
    }
  }

  /** Ends an answer whose end isn't marked; all of a stream's events have been passed on by now. */
  async #confirmEnd (head: ResponseHead): Promise<void> {
    const verdict = await this.#options.confirmEnd()
    if (this.#settled) return
    this.#endDetail = verdict.detail
    if (verdict.whole) this.#finish(head)
    else this.#settleBrokenOff('answer without a marked end, and no evidence that the endpoint lived on')
  }

  #finish (head: ResponseHead): void {
    if (!this.#streaming) {
      this.#settle({ kind: 'answered', head, body: this.#buffered.take() })
      return
    }
    this.#response.end()
    this.#settle({ kind: 'streamed', status: head.status })
  }

  /** Ends an answer that can't go on with the stream that the caller has received: nothing of it is passed on. */
  #settleNoContinuation ({ status, notRun, misdirected }: ResponseHead): void {
    const detail = `status ${status} in place of the rest of a stream`
    if (notRun) this.#settle({ kind: 'not-run', by: misdirected ? 'other-endpoint' : 'endpoint', detail })
    else this.#settle({ kind: 'broken', why: 'no-continuation', detail })
  }

  #settleBrokenOff (detail: string): void {
    if (this.#streaming) this.#settle({ kind: 'broken', why: 'closed', detail })
    else this.#settle({ kind: 'lost', why: 'reset', detail })
  }

  /** True for a stream that can't be whole, though its connection ended normally. */
  #endedEarly (): boolean {
    if (this.#unmarkedEvents !== undefined) return this.#unmarkedEvents.pendingBytes > 0
    const { eventStream } = this.#options
    if (eventStream === undefined || !this.#streaming) return false
    return eventStream.hasPartialEvent || (this.#exchange.framing === 'connection' && eventStream.runEvents === 0)
  }

  onError (failure: ExchangeFailure, sent: boolean, detail: string): void {
    if (!sent) this.#settle({ kind: 'not-run', by: failure === 'withdrawn' ? failure : 'connect', detail })
    else if (failure === 'invalid') this.#settle({ kind: 'lost', why: 'untrusted', detail })
    else this.#settleBrokenOff(`${failure}: ${detail}`)
  }

  #checkAge (): void {
    if (this.#matured) return
    const now = performance.now()
    this.#bodyBeganAt ??= now
    if (now - this.#bodyBeganAt < YOUNG_ANSWER_MS) return
    this.#matured = true
    this.#options.onMatured()
  }

  #startStreaming (): void {
    this.#streaming = true
    if (!this.#response.headersSent) this.#response.writeHead(this.#head!.status, this.#head!.passHeaders)
    this.#response.onDrain(() => this.#exchange.resume())
    if (this.#buffered.length > 0) this.#write(this.#buffered.take())
  }

  #write (chunk: Uint8Array): void {
    const { eventStream } = this.#options
    const bytes = eventStream === undefined ? chunk : eventStream.push(chunk)
    if (eventStream?.startsOver === true) {
      this.#settle({ kind: 'broken', why: 'no-continuation', detail: 'events that were passed on before come again' })
      return
    }
    if (eventStream === undefined || eventStream.hasNewEvent) this.#idleTimeout?.restart()
    if (bytes.length > 0 && !this.#response.write(bytes)) this.#exchange.pause()
    if (eventStream?.isOversized === true) this.#settle({ kind: 'broken', why: 'oversized', detail: 'event without an end' })
  }

  #onIdleTimeout (): void {
    const detail = `silent for ${this.#options.idleTimeoutMs} ms`
    if (!this.#exchange.sent) this.#settle({ kind: 'not-run', by: 'connect', detail })
    else if (this.#streaming) this.#settle({ kind: 'broken', why: 'silent', detail })
    else this.#settle({ kind: 'lost', why: 'silent', detail })
  }

  /** Resolves `result` and aborts the exchange; only the first call has an effect on `result`. */
  #settle (result: AttemptResult): void {
    this.#settled = true
    this.#idleTimeout?.dispose()
    clearTimeout(this.#lateTimer)
    this.#resolve(result)
    this.#exchange.abort()
  }
}
