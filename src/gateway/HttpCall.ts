/**
 * HTTP GET that buffers the complete response, with one timeout for the whole call. A response whose end isn't marked is passed on:
 * its readers parse it as a JSON object, and a part of one doesn't parse.
 */
import { err, ok, type Result } from 'neverthrow'
import type { EndpointAgent } from './EndpointAgent.js'
import { EndpointExchange } from './EndpointExchange.js'
import type { HeaderList } from './Types.js'

/** A complete response. */
export interface HttpResponse {
  readonly status: number
  readonly headers: HeaderList
  readonly body: Buffer
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

/** Gets `target`; a call that takes longer than `timeoutMs` is aborted and its connection destroyed. */
export async function httpGet (to: CallTarget, target: string, timeoutMs: number): Promise<Result<HttpResponse, CallError>> {
  const { agent, address, port } = to
  const peer = `${address}:${port}`
  return await new Promise(resolve => {
    const chunks: Buffer[] = []
    let status = 0
    let headers: HeaderList = []
    let timedOut = false
    const call = { address, port, method: 'GET', target, headers: ['Host', peer], body: Buffer.alloc(0), connectTimeoutMs: CONNECT_TIMEOUT_MS }
    const exchange = new EndpointExchange(agent, call, {
      onHead (code, received) {
        status = code
        headers = received
      },
      onData (chunk) { chunks.push(chunk) },
      onEnd () {
        clearTimeout(timer)
        resolve(ok({ status, headers, body: Buffer.concat(chunks) }))
      },
      onError (_failure, sent, detail) {
        clearTimeout(timer)
        resolve(err({ step: sent ? 'read' : 'connect', peer, reason: timedOut ? `no answer within ${timeoutMs} ms` : detail }))
      }
    })
    const timer = setTimeout(() => {
      timedOut = true
      exchange.abort()
    }, timeoutMs)
  })
}
