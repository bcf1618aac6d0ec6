/** Chat requests at the entry instance: validates the request, starts its session, writes the response streamed or buffered. */
import type { IncomingMessage, ServerResponse } from 'node:http'
import { Disposable } from '../../common/Disposable.js'
import { HEADER } from '../../common/Constants.js'
import type { ClientAccount, EndpointInfo, VotedConfig } from '../../common/config/VotedConfig.js'
import { ERROR_CODES, errorBody, outcomeOf, routeError, type RouteError } from '../../common/Errors.js'
import type { ChatRequest } from '../../common/generated/ChatRequest.js'
import { placementOf } from '../../common/placement/ChatKey.js'
import { rankTop } from '../../common/Rendezvous.js'
import { checkChatRequest, formatErrors, parseJson } from '../../common/Schema.js'
import { ChatAssembler } from '../../common/sse/ChatAssembler.js'
import { ChatSession, type IResponseWriter, type SessionDependencies } from './ChatSession.js'
import { headerOf, sendError, timeoutOf } from '../callers/HttpUtils.js'
import { rankEngines } from './LocalHomeNode.js'
import type { Log } from '../telemetry/Log.js'
import type { PeerApiClients } from '../fleet/PeerApi.js'
import { createRequestId, modelHash, parseRequestId, type ParsedRequestId } from '../callers/RequestId.js'
import type { HopSpan, Tracing } from '../telemetry/Tracing.js'
import type { IChatSink } from '../Types.js'

const MAX_LOOKUP_ENGINES = 8 // engines asked for a response that a caller resumes
const LOOKUP_DELAYS_MS = [0, 500, 1_500] // long enough for the failure of a home node to be detected
const RESUME_TIMEOUT_MS = 120_000

/** Dependencies of the handler. */
export interface ChatHandlerDependencies extends SessionDependencies {
  readonly peers: PeerApiClients
  readonly tracing: Tracing
  readonly log: Log
}

/** Values of one chat for logs, metrics and its span. */
interface ChatLabels {
  readonly requestId: string
  readonly account: string
  readonly startedAt: number
  readonly span: HopSpan
}

/** Handles chat and resume requests of callers. */
export class ChatHandler extends Disposable {
  readonly #deps: ChatHandlerDependencies
  readonly #sessions = new Set<ChatSession>()

  constructor (deps: ChatHandlerDependencies) {
    super()
    this.#deps = deps
    this.own(deps.fleet.onInstanceDead(id => { for (const session of [...this.#sessions]) session.handleDeadInstance(id) }))
  }

  /** Starts a chat; returns the error when the request can't be accepted. */
  start (account: ClientAccount, config: VotedConfig, body: Uint8Array, req: IncomingMessage, res: ServerResponse): RouteError | undefined {
    const checked = parseJson(Buffer.from(body).toString()).andThen(checkChatRequest)
    if (checked.isErr()) return routeError('invalid_request', 'accept', 'caller', formatErrors(checked.error))
    const chat = checked.value
    if (config.enginesOf(chat.model).length === 0) return routeError('model_not_found', 'place', 'caller', `"${chat.model.slice(0, 64)}" is not served.`)
    const timeout = timeoutOf(req)
    if (timeout.isErr()) return timeout.error
    this.#startSession(account, chat, body, timeout.value, req, res)
    return undefined
  }

  /** Resumes a response after the caller lost its connection; returns an error when no engine has the stream. */
  async resume (requestId: string, config: VotedConfig, req: IncomingMessage, res: ServerResponse): Promise<RouteError | undefined> {
    const parsedId = parseRequestId(requestId)
    const from = Number(headerOf(req, HEADER.lastEventId) ?? 0)
    if (parsedId === undefined || !Number.isInteger(from) || from < 0) return routeError('invalid_request', 'accept', 'caller', 'The request id or Last-Event-ID is malformed.')
    for (const delayMs of LOOKUP_DELAYS_MS) {
      await new Promise(resolve => setTimeout(resolve, delayMs))
      for (const endpoint of await this.#lookupCandidates(parsedId, config)) {
        if (res.destroyed) return undefined
        if (await this.#tryResume(endpoint, requestId, from, res)) return undefined
      }
    }
    return routeError('stream_not_found', 'resume', requestId)
  }

  #startSession (account: ClientAccount, chat: ChatRequest, body: Uint8Array, timeoutMs: number, req: IncomingMessage, res: ServerResponse): void {
    const placement = placementOf(account.id, chat, headerOf(req, HEADER.chatId))
    const requestId = createRequestId(placement.keyHash, placement.tag, chat.model)
    const span = this.#deps.tracing.startSpan('entry.chat', headerOf(req, HEADER.traceparent))
    const labels: ChatLabels = { requestId, account: account.id, startedAt: this.#deps.clock.nowMs(), span }
    const streamed = chat.stream === true
    const writer = streamed ? this.#streamingWriter(res, labels) : this.#bufferedWriter(res, labels)
    const session: ChatSession = new ChatSession(this.#deps, {
      requestId,
      model: chat.model,
      placement,
      account: account.id,
      priority: account.priority,
      share: account.share,
      deadline: this.#deps.clock.nowMs() + timeoutMs,
      repeatable: headerOf(req, HEADER.neverRepeat) !== 'true',
      ...(span.traceparent === undefined ? {} : { traceparent: span.traceparent })
    }, streamed ? body : streamingBody(chat), writer)
    this.#sessions.add(session)
    res.on('close', () => {
      this.#sessions.delete(session)
      if (!res.writableEnded) session.cancel()
    })
    res.on('drain', () => session.resumeReading())
    session.start()
  }

  #streamingWriter (res: ServerResponse, labels: ChatLabels): IResponseWriter {
    return {
      write: bytes => {
        if (!res.headersSent) {
          this.#deps.metrics.firstToken.observe((this.#deps.clock.nowMs() - labels.startedAt) / 1000)
          res.writeHead(200, { 'content-type': 'text/event-stream; charset=utf-8', 'cache-control': 'no-cache', [HEADER.requestId]: labels.requestId })
        }
        return res.write(bytes)
      },
      end: () => {
        this.#recordSuccess(labels)
        res.end()
      },
      fail: error => {
        this.#recordFailure(labels, error)
        if (!res.headersSent) sendError(res, error, labels.requestId)
        else res.end(`data: ${JSON.stringify(errorBody(error))}\n\n`)
      }
    }
  }

  #bufferedWriter (res: ServerResponse, labels: ChatLabels): IResponseWriter {
    const assembler = new ChatAssembler()
    let malformed = false
    return {
      write: bytes => {
        malformed = !assembler.push(bytes) || malformed
        return true
      },
      end: () => {
        const completion = malformed ? undefined : assembler.toCompletion(labels.requestId)
        if (completion === undefined) {
          const error = routeError('bad_endpoint_answer', 'respond', labels.requestId)
          this.#recordFailure(labels, error)
          sendError(res, error, labels.requestId)
          return
        }
        this.#recordSuccess(labels)
        const text = JSON.stringify(completion)
        res.writeHead(200, { 'content-type': 'application/json', 'content-length': Buffer.byteLength(text), [HEADER.requestId]: labels.requestId, [HEADER.outcome]: 'answered' })
        res.end(text)
      },
      fail: error => {
        this.#recordFailure(labels, error)
        sendError(res, error, labels.requestId)
      }
    }
  }

  #recordSuccess (labels: ChatLabels): void {
    this.#deps.metrics.requests.inc({ route: 'chat', outcome: 'answered', code: '' })
    labels.span.end({ requestId: labels.requestId, account: labels.account, outcome: 'answered' })
  }

  #recordFailure (labels: ChatLabels, error: RouteError): void {
    this.#deps.metrics.requests.inc({ route: 'chat', outcome: outcomeOf(error), code: error.code })
    this.#deps.log[ERROR_CODES[error.code].status >= 500 ? 'warn' : 'debug']({ requestId: labels.requestId, account: labels.account, hop: 'entry', ...error }, 'chat ended with an error')
    labels.span.end({ requestId: labels.requestId, account: labels.account, outcome: error.code })
  }

  /** Engines that may have buffered the response: the one in the home node's directory, then the others in rank order. */
  async #lookupCandidates (parsedId: ParsedRequestId, config: VotedConfig): Promise<EndpointInfo[]> {
    const model = config.version.file.models.find(m => modelHash(m.id) === parsedId.modelHash)
    if (model === undefined) return []
    const ranked = rankEngines(this.#deps, config, model.id, parsedId.keyHash, [])
    const rest = rankTop(parsedId.keyHash, config.enginesOf(model.id), MAX_LOOKUP_ENGINES)
    const lastPlaced = await this.#lastPlacement(parsedId, config, ranked[0])
    return [...new Set([...lastPlaced, ...ranked, ...rest])].slice(0, MAX_LOOKUP_ENGINES)
  }

  async #lastPlacement (parsedId: ParsedRequestId, config: VotedConfig, first: EndpointInfo | undefined): Promise<EndpointInfo[]> {
    const home = first === undefined ? undefined : this.#deps.fleet.homeOf(first.id)
    try {
      const entry = home === undefined ? undefined : await this.#deps.peers.forInstance(home)?.where.query({ keyHash: parsedId.keyHash, tag: parsedId.tag })
      const endpoint = entry === undefined || entry === null ? undefined : config.endpointByHash(entry.endpoint)
      return endpoint === undefined ? [] : [endpoint]
    } catch {
      return [] // the look-up falls back on the ranking
    }
  }

  /** Resolves to true once the engine resumes the stream. */
  async #tryResume (endpoint: EndpointInfo, requestId: string, from: number, res: ServerResponse): Promise<boolean> {
    const home = this.#deps.fleet.homeOf(endpoint.id)
    const target = home === undefined ? undefined : this.#deps.homeNode(home)
    if (target === undefined) return false
    return await new Promise(resolve => {
      const sink: IChatSink = {
        onAccepted: () => {
          res.writeHead(200, { 'content-type': 'text/event-stream; charset=utf-8', [HEADER.requestId]: requestId })
          res.flushHeaders()
          resolve(true)
        },
        onEvents: (bytes, _events, done) => {
          if (done) res.end(bytes)
          else if (!res.write(bytes)) run.pause()
        },
        onReply: () => { if (!res.headersSent) resolve(false); else res.destroy() },
        onError: error => {
          if (error.code === 'peer_unreachable' && home !== undefined) this.#deps.fleet.markUnreachable(home)
          if (!res.headersSent) resolve(false)
          else res.destroy()
        }
      }
      const run = target.resume({ requestId, endpoint: endpoint.id, from, timeoutMs: RESUME_TIMEOUT_MS }, sink)
      res.on('drain', () => run.resume())
      res.on('close', () => run.stop())
    })
  }
}

/** Body for the engine of a non-streaming request: engines always stream, so that an interrupted response can be resumed; the entry assembles it. */
function streamingBody (chat: ChatRequest): Uint8Array {
  return Buffer.from(JSON.stringify({ ...chat, stream: true, stream_options: { include_usage: true } }))
}
