/** One attempt of a request at one endpoint: passes a stream on as it comes, holds any other answer until it is whole. */
import type { EndpointAgent } from './EndpointAgent.js'
import { EndpointExchange, type ExchangeFailure, type ExchangeRequest, type IExchangeSink } from './EndpointExchange.js'
import type { CallerReply } from './CallerReply.js'
import type { EventStream } from './EventStream.js'
import type { AnswerHead, HeaderList } from './Types.js'

const MAX_HELD_BYTES = 1_048_576 // a longer answer is passed on as it comes

/** How an attempt ended. */
export type AttemptResult =
  /** The answer was passed on as a stream, to its end. */
  | { readonly kind: 'streamed', readonly status: number }
  /** A whole answer, not yet passed on. */
  | { readonly kind: 'answered', readonly head: AnswerHead, readonly body: Uint8Array }
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
  readonly events: EventStream | undefined
  /** Silence after which the attempt is given up; Infinity when it can't be repeated. */
  readonly silenceMs: number
  /** Wait for the answer's head after which the endpoint is doubted; the attempt goes on. */
  readonly doubtMs: number
  /** Called once when the endpoint is doubted. */
  readonly onDoubt: () => void
  /** Reads an answer's head. */
  readonly read: (status: number, headers: HeaderList) => AnswerHead
}

export class Attempt implements IExchangeSink {
  readonly #reply: CallerReply
  readonly #options: AttemptOptions
  readonly #exchange: EndpointExchange
  readonly #held: Buffer[] = []
  #heldBytes = 0
  #head: AnswerHead | undefined
  #passing = false
  #silence: NodeJS.Timeout | undefined
  readonly #doubt: NodeJS.Timeout
  #resolve!: (result: AttemptResult) => void
  readonly result: Promise<AttemptResult>

  constructor (agent: EndpointAgent, call: ExchangeRequest, reply: CallerReply, options: AttemptOptions) {
    this.#reply = reply
    this.#options = options
    this.result = new Promise(resolve => { this.#resolve = resolve })
    this.#exchange = new EndpointExchange(agent, call, this)
    this.#doubt = setTimeout(() => options.onDoubt(), options.doubtMs)
    this.#heard()
  }

  /** Ends it from this side. */
  stop (): void {
    this.#settle({ kind: 'stopped', sent: this.#exchange.sent })
  }

  onHead (status: number, headers: HeaderList): void {
    clearTimeout(this.#doubt)
    this.#heard()
    const head = this.#options.read(status, headers)
    this.#head = head
    if (!head.trusted) {
      this.#settle({ kind: 'lost', why: 'untrusted', detail: `answer of status ${status} isn't the endpoint's own answer to this request` })
      return
    }
    if (this.#options.streaming && status >= 200 && status < 300) this.#pass()
  }

  onData (chunk: Buffer): void {
    this.#heard()
    if (this.#passing) {
      this.#write(chunk)
      return
    }
    this.#held.push(chunk)
    this.#heldBytes += chunk.length
    if (this.#heldBytes > MAX_HELD_BYTES) this.#pass()
  }

  onEnd (): void {
    const head = this.#head!
    if (!this.#passing) {
      const body = Buffer.concat(this.#held)
      this.#settle(head.notRun
        ? { kind: 'not-run', by: 'endpoint', detail: `status ${head.status}` }
        : { kind: 'answered', head, body })
      return
    }
    if (this.#options.events?.pending === true) {
      this.#settle({ kind: 'broken', detail: 'stream ended within an event' })
      return
    }
    this.#reply.end()
    this.#settle({ kind: 'streamed', status: head.status })
  }

  onError (failure: ExchangeFailure, sent: boolean, detail: string): void {
    if (!sent) this.#settle({ kind: 'not-run', by: 'connect', detail })
    else if (this.#passing) this.#settle({ kind: 'broken', detail })
    else this.#settle({ kind: 'lost', why: 'reset', detail: `${failure}: ${detail}` })
  }

  #pass (): void {
    this.#passing = true
    if (!this.#reply.started) this.#reply.head(this.#head!.status, this.#head!.passHeaders)
    this.#reply.whenDrained(() => this.#exchange.resume())
    for (const chunk of this.#held) this.#write(chunk)
    this.#held.length = 0
  }

  #write (chunk: Uint8Array): void {
    const bytes = this.#options.events === undefined ? chunk : this.#options.events.push(chunk)
    if (bytes.length > 0 && !this.#reply.data(bytes)) this.#exchange.pause()
  }

  #heard (): void {
    clearTimeout(this.#silence)
    if (this.#options.silenceMs === Infinity) return
    this.#silence = setTimeout(() => this.#onSilence(), this.#options.silenceMs)
  }

  #onSilence (): void {
    const detail = `silent for ${this.#options.silenceMs} ms`
    if (!this.#exchange.sent) this.#settle({ kind: 'not-run', by: 'connect', detail })
    else if (this.#passing) this.#settle({ kind: 'broken', detail })
    else this.#settle({ kind: 'lost', why: 'silent', detail })
  }

  /** The first result counts; the exchange is over with it. */
  #settle (result: AttemptResult): void {
    clearTimeout(this.#silence)
    clearTimeout(this.#doubt)
    this.#resolve(result)
    this.#exchange.abort()
  }
}
