/** Translates requests and responses between the platform's headers and the gateway's messages. */
import { err, ok, type Result } from 'neverthrow'
import { routeError, type RouteError } from '../common/Errors.js'
import type { Prompt, PromptPart, ReportedLoad } from '../common/routing/Types.js'
import type { EndpointCall, HeaderList, IRequestCodec, RequestHead, ResponseHead, RoutedRequest } from '../gateway/Types.js'
import { getHeader } from './Headers.js'
import { HEADER, HOP_BY_HOP_HEADERS, RESERVED_HEADERS } from './HeaderNames.js'

const MIN_SUCCESS_STATUS = 200
const MIN_REDIRECT_STATUS = 300
const MISDIRECTED_STATUS = 421
const UNAVAILABLE_STATUS = 503
const MAX_PAUSE_MS = 60_000 // a longer one would shut an endpoint out for a mistake of its own
const HIGHEST_PRIORITY = 0
const LOWEST_PRIORITY = 9

/** Drops the headers in `drop`, hop-by-hop headers, and those that the Connection header lists. */
function omitHeaders (headers: HeaderList, drop: ReadonlySet<string>): HeaderList {
  const listed = new Set((getHeader(headers, 'connection') ?? '').split(',').map(name => name.trim().toLowerCase()))
  const kept: string[] = []
  for (let i = 0; i + 1 < headers.length; i += 2) {
    const name = headers[i]!.toLowerCase()
    if (drop.has(name) || HOP_BY_HOP_HEADERS.has(name) || listed.has(name)) continue
    kept.push(headers[i]!, headers[i + 1]!)
  }
  return kept
}

function parsePromptPart (text: string): PromptPart | undefined {
  const [id, tokens] = text.trim().split(':')
  const count = Number(tokens)
  return id === undefined || id === '' || !Number.isFinite(count) ? undefined : { id, tokens: count }
}

function parsePrompt (headers: HeaderList): Prompt | undefined {
  const list = getHeader(headers, HEADER.promptParts)
  if (list === undefined) return undefined
  const parts = list.split(',').map(parsePromptPart).filter(part => part !== undefined)
  const [promptTokens, maxAnswerTokens] = (getHeader(headers, HEADER.tokenCounts) ?? '').split(',').map(Number)
  const summed = parts.reduce((sum, part) => sum + part.tokens, 0)
  return { parts, promptTokens: promptTokens || summed, maxAnswerTokens: maxAnswerTokens || 0 }
}

function parseLoad (text: string | undefined): ReportedLoad | undefined {
  const [running, waiting, slots] = (text ?? '').split(',').map(Number)
  if (running === undefined || waiting === undefined || slots === undefined) return undefined
  return [running, waiting, slots].every(n => Number.isFinite(n) && n >= 0) ? { running, waiting, slots } : undefined
}

function parseRate (text: string | undefined): number | undefined {
  const rate = Number(text ?? NaN)
  return Number.isFinite(rate) && rate >= 0 ? rate : undefined
}

/** Wait in ms that a header names in seconds; undefined when it isn't a number above 0. */
function parsePause (text: string | undefined): number | undefined {
  const ms = Number(text ?? NaN) * 1_000
  return ms > 0 ? Math.min(ms, MAX_PAUSE_MS) : undefined
}

const NO_HEADERS: ReadonlySet<string> = new Set()

export class RequestCodec implements IRequestCodec {
  decodeRequest (head: RequestHead): Result<RoutedRequest, RouteError> {
    const host = getHeader(head.headers, 'host')
    if (host === undefined) return err(routeError('invalid_request', 'accept', 'caller', 'no host'))
    const timeoutMs = Number(getHeader(head.headers, HEADER.deadline) ?? NaN)
    const bearer = /^bearer +(\S+)$/i.exec(getHeader(head.headers, HEADER.authorization) ?? '')
    return ok({
      id: getHeader(head.headers, HEADER.requestId) ?? '',
      method: head.method,
      target: head.target,
      host,
      path: head.target.split('?')[0]!,
      apiKey: bearer?.[1],
      timeoutMs: Number.isFinite(timeoutMs) ? timeoutMs : undefined,
      prompt: parsePrompt(head.headers),
      passHeaders: omitHeaders(head.headers, RESERVED_HEADERS)
    })
  }

  encodeRequest (call: EndpointCall): HeaderList {
    const { passHeaders } = call.request
    const headers = call.lastEventId === undefined ? [...passHeaders] : [...omitHeaders(passHeaders, new Set([HEADER.lastEventId.toLowerCase()]))]
    headers.push(HEADER.endpointId, call.endpointId)
    if (call.account !== undefined) headers.push(HEADER.account, call.account)
    if (call.timeLeftMs !== undefined) headers.push(HEADER.deadline, String(Math.max(1, Math.floor(call.timeLeftMs))))
    if (call.priority !== undefined) headers.push(HEADER.priority, String(Math.min(LOWEST_PRIORITY, Math.max(HIGHEST_PRIORITY, call.priority))))
    if (call.lastEventId !== undefined) headers.push(HEADER.lastEventId, call.lastEventId)
    if (call.promptSource !== undefined) headers.push(HEADER.promptSource, `${call.promptSource.address}:${call.promptSource.port}`)
    return headers
  }

  decodeResponse (request: RoutedRequest, status: number, headers: HeaderList, isReused: boolean): ResponseHead {
    const success = status >= MIN_SUCCESS_STATUS && status < MIN_REDIRECT_STATUS
    const id = getHeader(headers, HEADER.requestId)
    const matchesRequest = id === request.id || (id === undefined && !success && !isReused)
    const unencoded = getHeader(headers, 'content-encoding') === undefined
    const signed = getHeader(headers, HEADER.signature) !== undefined
    const misdirected = matchesRequest && status === MISDIRECTED_STATUS
    return {
      status,
      trusted: matchesRequest && unencoded && (signed || !success),
      notRun: misdirected || (matchesRequest && getHeader(headers, HEADER.notRun) !== undefined),
      misdirected,
      isEventStream: /^text\/event-stream\s*(;|$)/i.test(getHeader(headers, 'content-type') ?? ''),
      load: parseLoad(getHeader(headers, HEADER.load)),
      requestsPerSec: parseRate(getHeader(headers, HEADER.requestLimit)),
      leaving: !misdirected && getHeader(headers, HEADER.leaving) === '1',
      pauseMs: status === UNAVAILABLE_STATUS ? parsePause(getHeader(headers, HEADER.retryAfter)) : undefined,
      passHeaders: omitHeaders(headers, NO_HEADERS)
    }
  }

  errorHeaders (request: RoutedRequest | undefined, retryAfterMs: number | undefined): HeaderList {
    const headers: string[] = []
    if (request !== undefined && request.id !== '') headers.push(HEADER.requestId, request.id)
    if (retryAfterMs !== undefined) headers.push(HEADER.retryAfter, (retryAfterMs / 1_000).toFixed(2))
    return headers
  }
}
