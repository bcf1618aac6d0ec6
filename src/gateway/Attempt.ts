/** One attempt of a request at one endpoint: passes a stream on as it comes, holds any other answer until it is whole. */
import type { EndpointAgent } from './EndpointAgent.js'
import { EndpointExchange, type ExchangeFailure, type ExchangeRequest, type IExchangeSink } from './EndpointExchange.js'
import type { CallerResponse } from './CallerResponse.js'
import type { EventStream } from './EventStream.js'
import type { ResponseHead, HeaderList } from './Types.js'

const MAX_BUFFERED_BYTES = 1_048_576 // a longer answer is passed on as it comes

/** How an attempt ended. */
export type AttemptResult =
  /** The answer was passed on as a stream, to its end. */
  | { readonly kind: 'streamed', readonly status: number }
  /** A whole answer, not yet passed on. */
  | { readonly kind: 'answered', readonly head: ResponseHead, readonly body: Uint8Array }
  /** The endpoint can't have run it. */
  | { readonly kind: 'not-run', readonly by: 'connect' | 'endpoint', readonly detail: string }
  /** It may have run; nothing was passed on. */
  | { readonly kind: 'lost', readonly why: 'reset' | 'silent' | 'untrusted', readonly detail: string }
  /** It ran, and part of the answer was passed on. */
  | { readonly kind: 'broken', readonly detail: string }
  /** Ended from this side: the caller left or its time is up. */
  | { readonly kind: 'stopped', readonly sent: boolean }

/** How an attempt is made. */
export interface AttemptOptions {
  /** True to pass a successful answer on as it comes. */
  readonly streaming: boolean
  /** Present when the stream may go on elsewhere: only whole events are passed on. */
  readonly eventStream: EventStream | undefined
  /** Silence after which the attempt is given up; Infinity when it can't be repeated. */
  readonly idleTimeoutMs: number
  /** Wait for the answer's head after which the endpoint is doubted; the attempt goes on. */
  readonly lateThresholdMs: number
  /** Called once when the endpoint is doubted. */
  readonly onLate: () => void
  /** Reads an answer's head. */
  readonly decodeHead: (status: number, headers: HeaderList) => ResponseHead
}

export class Attempt implements IExchangeSink {
  readonly #response: CallerResponse
  readonly #options: AttemptOptions
  readonly #exchange: EndpointExchange
  readonly #buffered: Buffer[] = []
  #bufferedBytes = 0
  #head: ResponseHead | undefined
  #streaming = false
  #idleTimer: NodeJS.Timeout | undefined
  readonly #lateTimer: NodeJS.Timeout
  #resolve!: (result: AttemptResult) => void
  readonly result: Promise<AttemptResult>

  constructor (agent: EndpointAgent, call: ExchangeRequest, response: CallerResponse, options: AttemptOptions) {
    this.#response = response
    this.#options = options
    this.result = new Promise(resolve => { this.#resolve = resolve })
    this.#exchange = new EndpointExchange(agent, call, this)
    this.#lateTimer = setTimeout(() => options.onLate(), options.lateThresholdMs)
    this.#resetIdleTimer()
  }

  /** Ends it from this side. */
  stop (): void {
    this.#settle({ kind: 'stopped', sent: this.#exchange.sent })
  }

  onHead (status: number, headers: HeaderList): void {
    clearTimeout(this.#lateTimer)
    this.#resetIdleTimer()
    const head = this.#options.decodeHead(status, headers)
    this.#head = head
    if (!head.trusted) {
      this.#settle({ kind: 'lost', why: 'untrusted', detail: `answer of status ${status} isn't the endpoint's own answer to this request` })
      return
    }
    if (this.#options.streaming && status >= 200 && status < 300) this.#startStreaming()
  }

  onData (chunk: Buffer): void {
    this.#resetIdleTimer()
    if (this.#streaming) {
      this.#write(chunk)
      return
    }
    this.#buffered.push(chunk)
    this.#bufferedBytes += chunk.length
    if (this.#bufferedBytes > MAX_BUFFERED_BYTES) this.#startStreaming()
  }

  onEnd (): void {
    const head = this.#head!
    if (!this.#streaming) {
      const body = Buffer.concat(this.#buffered)
      this.#settle(head.notRun
        ? { kind: 'not-run', by: 'endpoint', detail: `status ${head.status}` }
        : { kind: 'answered', head, body })
      return
    }
    if (this.#options.eventStream?.hasPartialEvent === true) {
      this.#settle({ kind: 'broken', detail: 'stream ended within an event' })
      return
    }
    this.#response.end()
    this.#settle({ kind: 'streamed', status: head.status })
  }

  onError (failure: ExchangeFailure, sent: boolean, detail: string): void {
    if (!sent) this.#settle({ kind: 'not-run', by: 'connect', detail })
    else if (this.#streaming) this.#settle({ kind: 'broken', detail })
    else this.#settle({ kind: 'lost', why: 'reset', detail: `${failure}: ${detail}` })
  }

  #startStreaming (): void {
    this.#streaming = true
    if (!this.#response.headersSent) this.#response.writeHead(this.#head!.status, this.#head!.passHeaders)
    this.#response.onDrain(() => this.#exchange.resume())
    for (const chunk of this.#buffered) this.#write(chunk)
    this.#buffered.length = 0
  }

  #write (chunk: Uint8Array): void {
    const bytes = this.#options.eventStream === undefined ? chunk : this.#options.eventStream.push(chunk)
    if (bytes.length > 0 && !this.#response.write(bytes)) this.#exchange.pause()
  }

  #resetIdleTimer (): void {
    clearTimeout(this.#idleTimer)
    if (this.#options.idleTimeoutMs === Infinity) return
    this.#idleTimer = setTimeout(() => this.#onIdleTimeout(), this.#options.idleTimeoutMs)
  }

  #onIdleTimeout (): void {
    const detail = `silent for ${this.#options.idleTimeoutMs} ms`
    if (!this.#exchange.sent) this.#settle({ kind: 'not-run', by: 'connect', detail })
    else if (this.#streaming) this.#settle({ kind: 'broken', detail })
    else this.#settle({ kind: 'lost', why: 'silent', detail })
  }

  /** The first result counts; the exchange is over with it. */
  #settle (result: AttemptResult): void {
    clearTimeout(this.#idleTimer)
    clearTimeout(this.#lateTimer)
    this.#resolve(result)
    this.#exchange.abort()
  }
}
