/** Helpers for the HTTP listeners. */
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import { Server as NetServer } from 'node:net'
import { err, ok, type Result } from 'neverthrow'
import { HEADER, REQUEST_TIMEOUT_MS } from '../../common/Constants.js'
import { ERROR_CODES, errorBody, routeError, type RouteError } from '../../common/Errors.js'

const BACKLOG = 4_096

/** Starts listening; rejects when the address is in use. */
export async function listen (server: Server, address: string, port: number): Promise<void> {
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject)
    server.listen(port, address, BACKLOG, resolve)
  })
}

/** Accepts no more connections. Node's own `close` also destroys connections whose last answer hasn't been sent completely. */
export function stopListening (server: Server): void {
  NetServer.prototype.close.call(server)
}

/** Writes an error in the chat-completions format; closes the connection when the request body has not been read completely. */
export function sendError (res: ServerResponse, error: RouteError, requestId?: string): void {
  if (res.headersSent || res.destroyed) {
    res.destroy()
    return
  }
  const info = ERROR_CODES[error.code]
  const text = JSON.stringify(errorBody(error))
  if (!res.req.complete) res.setHeader('connection', 'close')
  res.writeHead(info.status, {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(text),
    [HEADER.outcome]: info.outcome,
    ...(requestId === undefined ? {} : { [HEADER.requestId]: requestId }),
    ...(error.retryAfterMs === undefined ? {} : { 'retry-after': String(Math.max(1, Math.ceil(error.retryAfterMs / 1000))) })
  })
  res.end(text)
}

/** First value of a request header. */
export function headerOf (req: IncomingMessage, name: string): string | undefined {
  const value = req.headers[name]
  return Array.isArray(value) ? value[0] : value
}

/** The caller's timeout in ms, at most `maxMs`; an error when it is not a number or has already elapsed. */
export function timeoutOf (req: IncomingMessage, maxMs = REQUEST_TIMEOUT_MS): Result<number, RouteError> {
  const header = headerOf(req, HEADER.deadlineMs)
  if (header === undefined) return ok(maxMs)
  const timeout = Number(header)
  if (!Number.isFinite(timeout)) return err(routeError('invalid_request', 'accept', 'caller', `${HEADER.deadlineMs} must be a number of milliseconds.`))
  return timeout <= 0 ? err(routeError('deadline_passed', 'accept', 'caller')) : ok(Math.min(maxMs, timeout))
}
