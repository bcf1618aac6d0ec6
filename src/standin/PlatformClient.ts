/** Stand-in of a client of the users' platform: sends one request with its id, API key and deadline on a keep-alive connection. */
import { request, type Agent, type IncomingMessage } from 'node:http'
import { API_KEYS, ROUTE_HOST } from './PlatformRecords.js'

/** Request of a client. */
export interface ClientRequest {
  readonly id: string
  /** Name of the route, the first segment of the path. */
  readonly route: string
  /** Client account whose API key is sent; a name without a known key is sent as the key itself. */
  readonly account: string
  /** Deadline in ms; the client also gives up after it. */
  readonly deadlineMs: number
  /** Parts of the prompt as ID:TOKENS; empty for calls of plain services. */
  readonly promptParts: readonly string[]
  /** Time after which the client closes the connection without waiting for the answer; Infinity for never. */
  readonly abortAfterMs: number
}

/** Result of a request; `status` is 0 when no response headers arrived. */
export interface ClientResult {
  /** `left` when the client itself closed the connection early. */
  readonly end: 'whole' | 'cut' | 'no-connection' | 'timeout' | 'left'
  readonly status: number
  readonly body: string
  /** Value of the `server-signature` header. */
  readonly signature: string
  /** Request id in the response. */
  readonly id: string
  /** True when the connection had carried an earlier request. */
  readonly reused: boolean
}

/** Sends a request to a port on loopback; never rejects. */
export async function sendClientRequest (port: number, agent: Agent, call: ClientRequest): Promise<ClientResult> {
  const prompt = call.promptParts.length === 0 ? {} : { model: 'm', 'prefix-hash': call.promptParts.join(','), 'token-count': '900,40' }
  const headers = { host: ROUTE_HOST, 'attempt-id': call.id, 'deadline-ms': String(call.deadlineMs), authorization: `Bearer ${API_KEYS[call.account] ?? call.account}`, ...prompt }
  return await new Promise(resolve => {
    let res: IncomingMessage | undefined
    let body = ''
    const req = request({ agent, port, host: '127.0.0.1', method: 'POST', path: `/${call.route}/x`, headers }, answer => {
      res = answer
      answer.setEncoding('utf8')
      answer.on('data', text => { body += String(text) })
      answer.on('end', () => settle(answer.complete ? 'whole' : 'cut'))
      answer.on('error', () => settle('cut'))
    })
    const settle = (end: ClientResult['end']): void => {
      clearTimeout(deadlineTimer)
      clearTimeout(abortTimer)
      if (end !== 'whole') req.destroy()
      const headerOf = (name: string): string => String(res?.headers[name] ?? '')
      resolve({ end, status: res?.statusCode ?? 0, body, signature: headerOf('server-signature'), id: headerOf('attempt-id'), reused: req.reusedSocket })
    }
    const deadlineTimer = setTimeout(() => settle('timeout'), call.deadlineMs)
    const abortTimer = call.abortAfterMs === Infinity ? undefined : setTimeout(() => settle('left'), call.abortAfterMs)
    req.on('error', (e: NodeJS.ErrnoException) => settle(e.code === 'ECONNREFUSED' ? 'no-connection' : 'cut'))
    req.end(call.id)
  })
}
