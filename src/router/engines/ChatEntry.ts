/** Entry side of chats: checks the request, starts its session, writes the answer as a stream or whole. */
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
import { headerOf, sendError, timeoutOf } from '../callers/CallerHttp.js'
import { ChatSession, type ICallerStream, type SessionParts } from './ChatSession.js'
import type { Log } from '../telemetry/Log.js'
import { rankEngines } from './LocalHome.js'
import type { PeerApiClients } from '../fleet/PeerApi.js'
import { createRequestId, modelHash, parseRequestId, type RequestName } from '../callers/RequestId.js'
import type { Hop, Tracing } from '../telemetry/Tracing.js'
import type { IChatSink } from '../Types.js'

const MAX_ENGINES_ASKED = 8 // when an answer is looked for after its caller lost the connection
const FIND_DELAYS_MS = [0, 500, 1_500] // a home that died meanwhile is noticed within this
const RESUME_TIMEOUT_MS = 120_000

/** Parts that the entry works with. */
export interface ChatEntryParts extends SessionParts {
  readonly peers: PeerApiClients
  readonly tracing: Tracing
  readonly log: Log
}

/** Labels of one chat in logs, metrics and spans. */
interface ChatLabels {
  readonly requestId: string
  readonly account: string
  readonly startedAt: number
  readonly hop: Hop
}

export class ChatEntry extends Disposable {
  readonly #parts: ChatEntryParts
  readonly #sessions = new Set<ChatSession>()

  constructor (parts: ChatEntryParts) {
    super()
    this.#parts = parts
    this.own(parts.fleet.onGone(id => { for (const session of [...this.#sessions]) session.instanceGone(id) }))
  }

  /** Starts a chat; returns why it can't be. */
  start (account: ClientAccount, config: VotedConfig, body: Uint8Array, req: IncomingMessage, res: ServerResponse): RouteError | undefined {
    const checked = parseJson(Buffer.from(body).toString()).andThen(checkChatRequest)
    if (checked.isErr()) return routeError('invalid_request', 'accept', 'caller', formatErrors(checked.error))
    const chat = checked.value
    if (config.enginesOf(chat.model).length === 0) return routeError('model_not_found', 'place', 'caller', `"${chat.model.slice(0, 64)}" is not served.`)
    const timeout = timeoutOf(req)
    if (timeout.isErr()) return timeout.error
    this.#run(account, chat, body, timeout.value, req, res)
    return undefined
  }

  /** Reads on in an answer whose caller lost its connection; returns why it can't be found. */
  async resume (requestId: string, config: VotedConfig, req: IncomingMessage, res: ServerResponse): Promise<RouteError | undefined> {
    const name = parseRequestId(requestId)
    const from = Number(headerOf(req, HEADER.lastEventId) ?? 0)
    if (name === undefined || !Number.isInteger(from) || from < 0) return routeError('invalid_request', 'accept', 'caller', 'The request id or Last-Event-ID is malformed.')
    for (const delayMs of FIND_DELAYS_MS) {
      await new Promise(resolve => setTimeout(resolve, delayMs))
      for (const endpoint of await this.#keepers(name, config)) {
        if (res.destroyed) return undefined
        if (await this.#readOn(endpoint, requestId, from, res)) return undefined
      }
    }
    return routeError('stream_not_found', 'resume', requestId)
  }

  #run (account: ClientAccount, chat: ChatRequest, body: Uint8Array, timeoutMs: number, req: IncomingMessage, res: ServerResponse): void {
    const placement = placementOf(account.id, chat, headerOf(req, HEADER.chatId))
    const requestId = createRequestId(placement.keyHash, placement.tag, chat.model)
    const hop = this.#parts.tracing.hop('entry.chat', headerOf(req, HEADER.traceparent))
    const labels: ChatLabels = { requestId, account: account.id, startedAt: this.#parts.clock.nowMs(), hop }
    const streamed = chat.stream === true
    const out = streamed ? this.#streamTo(res, labels) : this.#wholeTo(res, labels)
    const session: ChatSession = new ChatSession(this.#parts, {
      requestId,
      model: chat.model,
      placement,
      account: account.id,
      priority: account.priority,
      share: account.share,
      deadline: this.#parts.clock.nowMs() + timeoutMs,
      repeatable: headerOf(req, HEADER.neverRepeat) !== 'true',
      ...(hop.traceparent === undefined ? {} : { traceparent: hop.traceparent })
    }, streamed ? body : streamedBody(chat), out)
    this.#sessions.add(session)
    res.on('close', () => {
      this.#sessions.delete(session)
      if (!res.writableEnded) session.abandon()
    })
    res.on('drain', () => session.drained())
    session.start()
  }

  #streamTo (res: ServerResponse, labels: ChatLabels): ICallerStream {
    return {
      events: bytes => {
        if (!res.headersSent) {
          this.#parts.metrics.firstToken.observe((this.#parts.clock.nowMs() - labels.startedAt) / 1000)
          res.writeHead(200, { 'content-type': 'text/event-stream; charset=utf-8', 'cache-control': 'no-cache', [HEADER.requestId]: labels.requestId })
        }
        return res.write(bytes)
      },
      end: () => {
        this.#answered(labels)
        res.end()
      },
      fail: error => {
        this.#failed(labels, error)
        if (!res.headersSent) sendError(res, error, labels.requestId)
        else res.end(`data: ${JSON.stringify(errorBody(error))}\n\n`)
      }
    }
  }

  #wholeTo (res: ServerResponse, labels: ChatLabels): ICallerStream {
    const assembler = new ChatAssembler()
    let broken = false
    return {
      events: bytes => {
        broken = !assembler.push(bytes) || broken
        return true
      },
      end: () => {
        const whole = broken ? undefined : assembler.toCompletion(labels.requestId)
        if (whole === undefined) {
          const error = routeError('bad_endpoint_answer', 'respond', labels.requestId)
          this.#failed(labels, error)
          sendError(res, error, labels.requestId)
          return
        }
        this.#answered(labels)
        const text = JSON.stringify(whole)
        res.writeHead(200, { 'content-type': 'application/json', 'content-length': Buffer.byteLength(text), [HEADER.requestId]: labels.requestId, [HEADER.outcome]: 'answered' })
        res.end(text)
      },
      fail: error => {
        this.#failed(labels, error)
        sendError(res, error, labels.requestId)
      }
    }
  }

  #answered (labels: ChatLabels): void {
    this.#parts.metrics.requests.inc({ route: 'chat', outcome: 'answered', code: '' })
    labels.hop.end({ requestId: labels.requestId, account: labels.account, outcome: 'answered' })
  }

  #failed (labels: ChatLabels, error: RouteError): void {
    this.#parts.metrics.requests.inc({ route: 'chat', outcome: outcomeOf(error), code: error.code })
    this.#parts.log[ERROR_CODES[error.code].status >= 500 ? 'warn' : 'debug']({ requestId: labels.requestId, account: labels.account, hop: 'entry', ...error }, 'chat not answered')
    labels.hop.end({ requestId: labels.requestId, account: labels.account, outcome: error.code })
  }

  /** Engines that may keep an answer: the one that the chat's home remembers, then the others in rank order. */
  async #keepers (name: RequestName, config: VotedConfig): Promise<EndpointInfo[]> {
    const model = config.version.file.models.find(m => modelHash(m.id) === name.modelHash)
    if (model === undefined) return []
    const ranked = rankEngines(this.#parts, config, model.id, name.keyHash, [])
    const rest = rankTop(name.keyHash, config.enginesOf(model.id), MAX_ENGINES_ASKED)
    const remembered = await this.#remembered(name, config, ranked[0])
    return [...new Set([...remembered, ...ranked, ...rest])].slice(0, MAX_ENGINES_ASKED)
  }

  async #remembered (name: RequestName, config: VotedConfig, first: EndpointInfo | undefined): Promise<EndpointInfo[]> {
    const home = first === undefined ? undefined : this.#parts.fleet.homeOf(first.id)
    try {
      const entry = home === undefined ? undefined : await this.#parts.peers.of(home)?.where.query({ keyHash: name.keyHash, tag: name.tag })
      const endpoint = entry === undefined || entry === null ? undefined : config.endpointByHash(entry.endpoint)
      return endpoint === undefined ? [] : [endpoint]
    } catch {
      return [] // the ranking is asked instead
    }
  }

  /** True once the engine streams on. */
  async #readOn (endpoint: EndpointInfo, requestId: string, from: number, res: ServerResponse): Promise<boolean> {
    const home = this.#parts.fleet.homeOf(endpoint.id)
    const target = home === undefined ? undefined : this.#parts.homeAt(home)
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
          if (error.code === 'peer_unreachable' && home !== undefined) this.#parts.fleet.noteUnreachable(home)
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

/** The engine always streams, so that a cut answer can be read on; a caller who wants it whole gets it assembled. */
function streamedBody (chat: ChatRequest): Uint8Array {
  return Buffer.from(JSON.stringify({ ...chat, stream: true, stream_options: { include_usage: true } }))
}
