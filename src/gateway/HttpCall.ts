/**
 * HTTP GET that buffers the complete response, with a size limit and one timeout for the whole call. A response whose end isn't marked is
 * passed on: its readers parse it as a JSON object, and a part of one doesn't parse.
 */
import { err, ok, type Result } from 'neverthrow'
import { ByteBuffer } from '../common/http/ByteBuffer.js'
import type { EndpointAgent } from './EndpointAgent.js'
import { EndpointExchange } from './EndpointExchange.js'
import type { HeaderList } from './Types.js'

/** A complete response. */
export interface HttpResponse {
  readonly status: number
  readonly headers: HeaderList
  readonly text: string
}

/** Why a call got no complete response. */
export interface CallError {
  readonly step: 'connect' | 'read'
  readonly peer: string
  readonly reason: string
}

/** Address of a call, and the agent that connects to it. */
export interface CallTarget {
  readonly agent: EndpointAgent
  readonly address: string
  readonly port: number
}

const CONNECT_TIMEOUT_MS = 500
const MAX_RESPONSE_BYTES = 8_388_608 // several times the largest value of the platform in its encoding

/** Gets `target`; a call that takes longer than `timeoutMs` is aborted and its connection destroyed. */
export async function httpGet (to: CallTarget, target: string, timeoutMs: number): Promise<Result<HttpResponse, CallError>> {
  const { agent, address, port } = to
  const peer = `${address}:${port}`
  return await new Promise(resolve => {
    const received = new ByteBuffer(MAX_RESPONSE_BYTES)
    let status = 0
    let headers: HeaderList = []
    let abortReason: string | undefined
    const call = { address, port, method: 'GET', target, headers: ['Host', peer], body: Buffer.alloc(0), connectTimeoutMs: CONNECT_TIMEOUT_MS }
    const exchange = new EndpointExchange(agent, call, {
      onHead (code, list) {
        status = code
        headers = list
      },
      onData (bytes) {
        if (!received.push(bytes)) abort(`more than ${MAX_RESPONSE_BYTES} bytes`)
      },
      onEnd () {
        clearTimeout(timer)
        resolve(ok({ status, headers, text: textOf(received.take()) }))
      },
      onError (_failure, sent, detail) {
        clearTimeout(timer)
        resolve(err({ step: sent ? 'read' : 'connect', peer, reason: abortReason ?? detail }))
      }
    })
    const abort = (reason: string): void => {
      abortReason = reason
      exchange.abort()
    }
    const timer = setTimeout(() => abort(`no answer within ${timeoutMs} ms`), timeoutMs)
  })
}

function textOf (bytes: Uint8Array): string {
  return Buffer.from(bytes.buffer, bytes.byteOffset, bytes.byteLength).toString('utf8')
}
