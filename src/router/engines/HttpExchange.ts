/** One HTTP exchange whose response body is forwarded chunk by chunk, without the cost of a readable stream. */
import type { Dispatcher } from 'undici'
import { framingOf, type AnswerEnd } from '../../common/http/AnswerFraming.js'
import { isFinalStatus, isInterimStatus } from '../../common/http/AnswerStatus.js'
import { PieceJoiner } from '../../common/http/PieceJoiner.js'

/** Callbacks of one exchange; the last call is exactly one of `onEnd` and `onError`. */
export interface HttpSink {
  /** Called immediately before the first byte is written; returning false aborts the request unsent. */
  readonly onSending?: () => boolean
  readonly onHead: (status: number, headers: Readonly<Record<string, string | string[] | undefined>>) => void
  /** Bytes of the body; what arrived in one turn of the event loop comes together. */
  readonly onData: (bytes: Buffer) => void
  /** The answer has ended without an error. An unknown end may also be a crash or, as undici doesn't tell, a reset. */
  readonly onEnd: (end: AnswerEnd) => void
  /** `sent` is false when no byte of the request can have reached the peer. */
  readonly onError: (err: Error, sent: boolean) => void
}

/** Handle of a running exchange; `pause` and `resume` apply backpressure. */
export interface HttpExchange {
  abort (): void
  pause (): void
  resume (): void
}

/** Request of an exchange, with its body in memory; timeouts in ms. */
export interface HttpRequest {
  readonly origin: string
  readonly path: string
  readonly method: 'GET' | 'POST' | 'PUT' | 'PATCH' | 'DELETE'
  readonly headers: Readonly<Record<string, string>>
  readonly body?: Uint8Array
  readonly headersTimeoutMs: number
  readonly bodyTimeoutMs: number
}

/** Starts an exchange on an undici dispatcher. */
export function startExchange (dispatcher: Dispatcher, req: HttpRequest, sink: HttpSink): HttpExchange {
  let controller: Dispatcher.DispatchController | undefined
  let aborted = false
  let sent = false
  let finished = false
  let end: AnswerEnd = 'unknown'
  const body = new PieceJoiner(bytes => { if (!aborted && !finished) sink.onData(viewOf(bytes)) })
  const fail = (e: Error): void => {
    if (finished) return
    finished = true
    sink.onError(e, sent)
  }
  const handler: Dispatcher.DispatchHandler = {
    onRequestStart (c) {
      controller = c
      if (aborted) c.abort(new Error('aborted before sending'))
      else if (sink.onSending?.() === false) c.abort(new Error('cancelled before sending'))
      else sent = true
    },
    onResponseStart (c, status, headers) {
      if (isInterimStatus(status)) return
      if (!isFinalStatus(status)) {
        c.abort(new Error(`status ${status} isn't one of a final answer`))
        return
      }
      const { 'content-length': contentLength, 'transfer-encoding': transferEncoding } = headers
      end = framingOf({ method: req.method, status, contentLength: contentLength?.toString(), transferEncoding: transferEncoding?.toString() }) === 'connection' ? 'unknown' : 'whole'
      if (!aborted) sink.onHead(status, headers)
    },
    onResponseData (_c, chunk) {
      body.push(chunk)
    },
    onResponseEnd () {
      body.flush()
      if (finished) return
      finished = true
      sink.onEnd(end)
    },
    onResponseError (_c, e) {
      body.flush()
      fail(e)
    }
  }
  dispatcher.dispatch({
    origin: req.origin,
    path: req.path,
    method: req.method,
    headers: { ...req.headers },
    body: req.body === undefined ? null : viewOf(req.body),
    headersTimeout: req.headersTimeoutMs,
    bodyTimeout: req.bodyTimeoutMs
  }, handler)
  return {
    abort () {
      if (aborted) return
      aborted = true
      controller?.abort(new Error('aborted'))
      fail(new Error('aborted'))
    },
    pause () { controller?.pause() },
    resume () { controller?.resume() }
  }
}

function viewOf (bytes: Uint8Array): Buffer {
  return Buffer.from(bytes.buffer, bytes.byteOffset, bytes.byteLength)
}
