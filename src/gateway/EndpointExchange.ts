/** One HTTP request to one endpoint; tracks whether bytes of it can have reached the endpoint. */
import { request, type ClientRequest, type IncomingMessage } from 'node:http'
import type { Socket } from 'node:net'
import { framingOf, type AnswerEnd, type AnswerFraming } from '../common/http/AnswerFraming.js'
import { isFinalStatus, isSuccess } from '../common/http/AnswerStatus.js'
import { PieceJoiner } from '../common/http/PieceJoiner.js'
import type { EndpointAgent } from './EndpointAgent.js'
import { InputTimeout } from './InputTimeout.js'
import type { HeaderList } from './Types.js'

/** A request that is ready to be sent. */
export interface ExchangeRequest {
  readonly address: string
  readonly port: number
  readonly method: string
  readonly target: string
  readonly headers: HeaderList
  readonly body: Uint8Array
  readonly connectTimeoutMs: number
  /** Asked once a connection is open: false withdraws the request before any byte of it is written. Absent: it is written. */
  readonly mayWrite?: () => boolean
}

/**
 * Why an exchange ended without a complete response; `withdrawn` when the request was not to be written any more, `invalid` when what
 * arrived isn't a final response.
 */
export type ExchangeFailure = 'connect' | 'withdrawn' | 'reset' | 'aborted' | 'invalid'

/** Callbacks of one exchange; exactly one of `onEnd` and `onError` is called, last. */
export interface IExchangeSink {
  onHead (status: number, headers: HeaderList): void
  /** Bytes of the body; what arrived in one turn of the event loop comes together. */
  onData (bytes: Uint8Array): void
  /** The answer has ended without an error; the receiver decides what an unknown end means to it. */
  onEnd (end: AnswerEnd): void
  /** `sent` is false when no byte of the request can have reached the endpoint. */
  onError (failure: ExchangeFailure, sent: boolean, detail: string): void
}

export class EndpointExchange {
  /** Undefined when the request can't be expressed in HTTP, as with an address or header that isn't valid. */
  readonly #req: ClientRequest | undefined
  readonly #agent: EndpointAgent
  readonly #sink: IExchangeSink
  readonly #body = new PieceJoiner(bytes => { if (!this.#settled) this.#sink.onData(bytes) })
  #res: IncomingMessage | undefined
  #connectTimeout: InputTimeout | undefined
  #sent = false
  #settled = false
  #framing: AnswerFraming | undefined
  #failure: ExchangeFailure = 'connect'

  constructor (agent: EndpointAgent, call: ExchangeRequest, sink: IExchangeSink) {
    this.#agent = agent
    this.#sink = sink
    try {
      this.#req = this.#start(agent, call)
    } catch (e) {
      queueMicrotask(() => this.#fail(String(e)))
    }
  }

  /** True once bytes of the request may have reached the endpoint. */
  get sent (): boolean {
    return this.#sent
  }

  /** True when the connection carried an earlier request. */
  get isReused (): boolean {
    return this.#req?.reusedSocket === true
  }

  /** How the end of the answer is marked; undefined before its head. */
  get framing (): AnswerFraming | undefined {
    return this.#framing
  }

  /** Aborts the exchange and destroys its connection. */
  abort (): void {
    if (this.#settled) return
    this.#failure = 'aborted'
    this.#fail('aborted')
  }

  pause (): void {
    this.#res?.pause()
  }

  resume (): void {
    this.#res?.resume()
  }

  #start (agent: EndpointAgent, call: ExchangeRequest): ClientRequest {
    const { address: host, port, method, target: path } = call
    const req = request({ agent, host, port, method, path, setHost: false, headers: call.headers as unknown as string[] })
    req.on('socket', socket => this.#onSocket(socket, call))
    req.on('response', res => this.#onResponse(res))
    req.on('error', e => this.#fail(e.message))
    req.on('close', () => this.#fail('closed before the answer'))
    if (call.body.length > 0) req.end(call.body)
    else req.end()
    return req
  }

  #onSocket (socket: Socket, call: ExchangeRequest): void {
    if (this.#settled) {
      socket.destroy()
      return
    }
    if (!socket.connecting) {
      this.#markSent(call)
      return
    }
    const { connectTimeoutMs } = call
    this.#connectTimeout = new InputTimeout(connectTimeoutMs, () => this.#fail(`no connection within ${connectTimeoutMs} ms`))
    socket.once('connect', () => this.#markSent(call)) // before Node writes, which it does in a later listener
  }

  /** Called on an open connection, before the first byte is written. */
  #markSent (call: ExchangeRequest): void {
    this.#connectTimeout?.dispose()
    if (this.#settled) return
    if (call.mayWrite?.() === false) {
      this.#failure = 'withdrawn'
      this.#fail('withdrawn before it was written')
      return
    }
    this.#sent = true
    this.#failure = 'reset'
  }

  #onResponse (res: IncomingMessage): void {
    if (this.#settled) {
      res.destroy()
      return
    }
    const { statusCode = 0 } = res
    if (!isFinalStatus(statusCode)) {
      this.#failure = 'invalid'
      this.#fail(`status ${statusCode} isn't one of a final answer`)
      return
    }
    this.#res = res
    this.#framing = framingOf({
      method: this.#req?.method ?? '',
      status: statusCode,
      contentLength: res.headers['content-length'],
      transferEncoding: res.headers['transfer-encoding']
    })
    if (this.#framing === 'connection') res.socket.prependListener('end', () => this.#onConnectionEnd(res))
    res.on('data', (piece: Buffer) => { if (!this.#settled) this.#body.push(piece) })
    res.on('error', e => this.#fail(e.message))
    res.on('aborted', () => this.#fail('answer broke off'))
    res.on('end', () => this.#end(res))
    this.#sink.onHead(statusCode, res.rawHeaders)
  }

  /**
   * Node reports a reset directly after the last bytes as a normal end, but the socket's remote address is then undefined. An endpoint that
   * ends a successful answer while the request is still being written hasn't read the request, so that the answer isn't whole.
   */
  #onConnectionEnd ({ socket, statusCode = 0 }: IncomingMessage): void {
    if (socket.remoteAddress === undefined) this.#fail('connection reset')
    else if (isSuccess(statusCode) && this.#req?.writableFinished === false) this.#fail('connection ended before the request was written')
  }

  #end (res: IncomingMessage): void {
    this.#body.flush()
    if (this.#settled) return
    if (!res.complete) {
      this.#fail('answer broke off')
      return
    }
    this.#settled = true
    this.#sink.onEnd(this.#framing === 'connection' ? 'unknown' : 'whole')
  }

  #fail (detail: string): void {
    if (this.#failure !== 'aborted') this.#body.flush()
    if (this.#settled) return
    this.#settled = true
    this.#connectTimeout?.dispose()
    if (this.#failure === 'reset') this.#agent.recordEnd()
    this.#sink.onError(this.#failure, this.#sent, detail)
    this.#req?.destroy()
  }
}
