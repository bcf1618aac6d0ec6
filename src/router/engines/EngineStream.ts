/** HTTP client for one engine: streams a response, resumes it from the next event when the connection breaks, cancels it. */
import type { Dispatcher } from 'undici'
import { HEADER } from '../../common/Constants.js'
import type { EndpointInfo } from '../../common/config/VotedConfig.js'
import { routeError, type ErrorCode, type RouteError } from '../../common/Errors.js'
import { SseFramer } from '../../common/sse/SseFramer.js'
import { startExchange, type HttpExchange } from './HttpExchange.js'
import type { LinkFilter } from '../fleet/LinkFilter.js'
import type { ChatCall } from '../Types.js'

const RESUME_DELAYS_MS = [20, 200, 600] as const
const HEADERS_TIMEOUT_MS = 10_000

/** Receiver of an engine's response. */
export interface IEngineSink {
  onAccepted (): void
  /** Whole events; `done` marks the end of the response. */
  onEvents (bytes: Uint8Array, events: number, done: boolean): void
  /** `sent` is false when no byte of the request can have reached the engine. */
  onError (error: RouteError, sent: boolean): void
}

/** Wire form of the chat's key; the engine uses it to name prefixes in its cache events. */
export function prefixKey (keyHash: number, tag: number): string {
  return `${keyHash.toString(36)}.${tag.toString(36)}`
}

/** One response that is read from an engine. */
export class EngineStream {
  readonly #agent: Dispatcher
  readonly #links: LinkFilter
  readonly #endpoint: EndpointInfo
  readonly #requestId: string
  readonly #timeoutMs: number
  readonly #sink: IEngineSink
  readonly #framer = new SseFramer()
  #exchange: HttpExchange | undefined
  #timer: NodeJS.Timeout | undefined
  #delivered: number
  #accepted = false
  #resumeAttempts = 0
  #finished = false

  constructor (agent: Dispatcher, links: LinkFilter, endpoint: EndpointInfo, requestId: string, from: number, timeoutMs: number, sink: IEngineSink) {
    this.#agent = agent
    this.#links = links
    this.#endpoint = endpoint
    this.#requestId = requestId
    this.#delivered = from
    this.#timeoutMs = timeoutMs
    this.#sink = sink
  }

  /** Sends the request. */
  start (call: ChatCall, body: Uint8Array): void {
    const headers: Record<string, string> = {
      'content-type': 'application/json',
      [HEADER.requestId]: call.requestId,
      [HEADER.prefixKey]: prefixKey(call.placement.keyHash, call.placement.tag),
      [HEADER.priority]: String(call.priority),
      [HEADER.resumeFrom]: String(call.from)
    }
    if (call.traceparent !== undefined) headers[HEADER.traceparent] = call.traceparent
    this.#open('/v1/chat/completions', 'POST', headers, body)
  }

  /** Resumes reading a response that the engine has buffered. */
  attach (): void {
    this.#open(`/v1/streams/${encodeURIComponent(this.#requestId)}?from=${this.#delivered}`, 'GET', {})
  }

  /** Stops reading; the engine keeps generating for a while. */
  stop (): void {
    if (this.#finished) return
    this.#finished = true
    clearTimeout(this.#timer)
    this.#exchange?.abort()
  }

  /** Cancels the request on the engine. */
  cancel (): void {
    startExchange(this.#agent, {
      origin: this.#origin,
      path: `/v1/streams/${encodeURIComponent(this.#requestId)}`,
      method: 'DELETE',
      headers: {},
      headersTimeoutMs: HEADERS_TIMEOUT_MS,
      bodyTimeoutMs: HEADERS_TIMEOUT_MS
    }, { onHead: () => {}, onData: () => {}, onEnd: () => {}, onError: () => {} })
  }

  pause (): void {
    this.#exchange?.pause()
  }

  resume (): void {
    this.#exchange?.resume()
  }

  /** Fails the stream because the engine's load reports timed out. */
  failUnresponsive (): void {
    if (this.#finished) return
    this.#exchange?.abort()
    this.#fail('response_lost', 'the load reports of the endpoint timed out', true)
  }

  get #origin (): string {
    return `http://${this.#endpoint.address}`
  }

  #open (path: string, method: 'GET' | 'POST', headers: Readonly<Record<string, string>>, body?: Uint8Array): void {
    if (!this.#links.passes(this.#endpoint.id)) {
      this.#onConnectionError(new Error('link is down'), this.#accepted)
      return
    }
    let status = 0
    let type = ''
    let text = ''
    let notRun = false
    const req = {
      origin: this.#origin, path, method, headers, headersTimeoutMs: HEADERS_TIMEOUT_MS, bodyTimeoutMs: this.#timeoutMs, ...(body === undefined ? {} : { body })
    }
    this.#exchange = startExchange(this.#agent, req, {
      onHead: (code, head) => {
        status = code
        type = String(head['content-type'] ?? '')
        notRun = head['x-not-run'] !== undefined
        if (code === 200 && type.startsWith('text/event-stream')) this.#onAccepted()
      },
      onData: chunk => {
        if (this.#finished) return
        if (status === 200 && type.startsWith('text/event-stream')) this.#onData(chunk)
        else if (text.length < 2_000) text += chunk.toString()
      },
      onEnd: () => this.#onEnd(status, type, notRun, text),
      onError: (e, sent) => this.#onConnectionError(e, sent || this.#accepted)
    })
  }

  #onAccepted (): void {
    if (this.#accepted || this.#finished) return
    this.#accepted = true
    this.#sink.onAccepted()
  }

  #onData (chunk: Buffer): void {
    if (!this.#links.passes(this.#endpoint.id)) {
      this.#exchange?.abort()
      return
    }
    const frame = this.#framer.push(chunk)
    if (this.#framer.isOversized) {
      this.#exchange?.abort()
      this.#fail('response_lost', 'event without an end', true)
      return
    }
    if (frame.events === 0) return
    this.#delivered += frame.events
    this.#resumeAttempts = 0
    if (frame.done) this.#finished = true
    this.#sink.onEvents(frame.bytes, frame.events, frame.done)
  }

  #onEnd (status: number, type: string, notRun: boolean, text: string): void {
    if (this.#finished) return
    if (status === 200 && type.startsWith('text/event-stream')) this.#onConnectionError(new Error('the response ended early'), true)
    else if (notRun) this.#fail('endpoint_refused', `status ${status}`, false)
    else if (status === 404) this.#fail('stream_not_found', '', true)
    else this.#fail('bad_endpoint_answer', `status ${status}, type ${type}: ${text.slice(0, 200)}`, true)
  }

  /** Resumes from the next event after a delay; never sends the request itself again. */
  #onConnectionError (e: Error, sent: boolean): void {
    if (this.#finished) return
    if (!sent) {
      this.#fail('endpoint_refused', e.message, false)
      return
    }
    const delay = RESUME_DELAYS_MS[this.#resumeAttempts++]
    if (delay === undefined) {
      this.#fail('response_lost', e.message, true)
      return
    }
    this.#framer.reset()
    this.#timer = setTimeout(() => this.attach(), delay)
  }

  #fail (code: ErrorCode, detail: string, sent: boolean): void {
    if (this.#finished) return
    this.#finished = true
    clearTimeout(this.#timer)
    this.#sink.onError(routeError(code, 'dispatch', this.#endpoint.id, detail), sent)
  }
}
