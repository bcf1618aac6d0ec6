/** Translates requests and answers between the wire and the gateway's messages. */
import { err, ok, type Result } from 'neverthrow'
import { routeError, type RouteError } from '../common/Errors.js'
import type { Prompt, PromptPart, ReportedLoad } from '../common/routing/Types.js'
import type { AnswerHead, EndpointCall, HeaderList, IRequestCodec, RequestHead, RoutedRequest } from '../gateway/Types.js'
import { HOP_HEADERS, OWN_HEADERS, WIRE } from './WireNames.js'

const SUCCESS_FROM = 200
const FAILURE_FROM = 300
const MISDIRECTED = 421
const HIGHEST_PRIORITY = 0
const LOWEST_PRIORITY = 9

/** First value of a header in a flat list. */
function valueOf (headers: HeaderList, name: string): string | undefined {
  const wanted = name.toLowerCase()
  for (let i = 0; i + 1 < headers.length; i += 2) {
    if (headers[i]!.toLowerCase() === wanted) return headers[i + 1]
  }
  return undefined
}

/** Drops headers that `drop` names, those of one connection, and those that the connection header lists. */
function without (headers: HeaderList, drop: ReadonlySet<string>): HeaderList {
  const listed = new Set((valueOf(headers, 'connection') ?? '').split(',').map(name => name.trim().toLowerCase()))
  const kept: string[] = []
  for (let i = 0; i + 1 < headers.length; i += 2) {
    const name = headers[i]!.toLowerCase()
    if (drop.has(name) || HOP_HEADERS.has(name) || listed.has(name)) continue
    kept.push(headers[i]!, headers[i + 1]!)
  }
  return kept
}

function partOf (text: string): PromptPart | undefined {
  const [id, tokens] = text.trim().split(':')
  const count = Number(tokens)
  return id === undefined || id === '' || !Number.isFinite(count) ? undefined : { id, tokens: count }
}

function promptOf (headers: HeaderList): Prompt | undefined {
  const list = valueOf(headers, WIRE.promptParts)
  if (list === undefined) return undefined
  const parts = list.split(',').map(partOf).filter(part => part !== undefined)
  const [promptTokens, maxAnswerTokens] = (valueOf(headers, WIRE.tokenCounts) ?? '').split(',').map(Number)
  const summed = parts.reduce((sum, part) => sum + part.tokens, 0)
  return { parts, promptTokens: promptTokens || summed, maxAnswerTokens: maxAnswerTokens || 0 }
}

function loadOf (text: string | undefined): ReportedLoad | undefined {
  const [running, waiting, slots] = (text ?? '').split(',').map(Number)
  if (running === undefined || waiting === undefined || slots === undefined) return undefined
  return [running, waiting, slots].every(n => Number.isFinite(n) && n >= 0) ? { running, waiting, slots } : undefined
}

const NONE: ReadonlySet<string> = new Set()

export class RequestCodec implements IRequestCodec {
  decode (head: RequestHead): Result<RoutedRequest, RouteError> {
    const host = valueOf(head.headers, 'host')
    if (host === undefined) return err(routeError('invalid_request', 'accept', 'caller', 'no host'))
    const patience = Number(valueOf(head.headers, WIRE.patience) ?? NaN)
    const bearer = /^bearer +(\S+)$/i.exec(valueOf(head.headers, WIRE.authorization) ?? '')
    return ok({
      id: valueOf(head.headers, WIRE.requestId) ?? '',
      method: head.method,
      target: head.target,
      host,
      path: head.target.split('?')[0]!,
      apiKey: bearer?.[1],
      patienceMs: Number.isFinite(patience) ? patience : undefined,
      prompt: promptOf(head.headers),
      passHeaders: without(head.headers, OWN_HEADERS)
    })
  }

  encode (call: EndpointCall): HeaderList {
    const { passHeaders } = call.request
    const headers = call.lastEventId === undefined ? [...passHeaders] : [...without(passHeaders, new Set([WIRE.lastEventId.toLowerCase()]))]
    headers.push(WIRE.endpointId, call.endpointId)
    if (call.account !== undefined) headers.push(WIRE.account, call.account)
    if (call.timeLeftMs !== undefined) headers.push(WIRE.patience, String(Math.max(1, Math.floor(call.timeLeftMs))))
    if (call.priority !== undefined) headers.push(WIRE.priority, String(Math.min(LOWEST_PRIORITY, Math.max(HIGHEST_PRIORITY, call.priority))))
    if (call.lastEventId !== undefined) headers.push(WIRE.lastEventId, call.lastEventId)
    if (call.promptSource !== undefined) headers.push(WIRE.promptSource, `${call.promptSource.address}:${call.promptSource.port}`)
    return headers
  }

  answer (request: RoutedRequest, status: number, headers: HeaderList): AnswerHead {
    const success = status >= SUCCESS_FROM && status < FAILURE_FROM
    const id = valueOf(headers, WIRE.requestId)
    const own = id === request.id || (id === undefined && !success)
    const plain = valueOf(headers, 'content-encoding') === undefined
    const signed = valueOf(headers, WIRE.signature) !== undefined
    return {
      status,
      trusted: own && plain && (signed || !success),
      notRun: own && (status === MISDIRECTED || valueOf(headers, WIRE.notRun) !== undefined),
      load: loadOf(valueOf(headers, WIRE.load)),
      passHeaders: without(headers, NONE)
    }
  }

  refusal (request: RoutedRequest | undefined, retryAfterMs: number | undefined): HeaderList {
    const headers: string[] = []
    if (request !== undefined && request.id !== '') headers.push(WIRE.requestId, request.id)
    if (retryAfterMs !== undefined) headers.push(WIRE.retryAfter, (retryAfterMs / 1_000).toFixed(2))
    return headers
  }
}
