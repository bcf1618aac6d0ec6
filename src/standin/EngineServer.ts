/** Engine stand-in: serves chat completions over the batch and cache models, and the orders that engines take. */
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import { HEADER } from '../common/Constants.js'
import type { ChatRequest } from '../common/generated/ChatRequest.js'
import type { EngineSettings } from '../common/generated/EngineSettings.js'
import type { LoadReport } from '../common/placement/EndpointLoad.js'
import { checkChatRequest, formatErrors, parseJson } from '../common/Schema.js'
import type { IRandom } from '../common/Services.js'
import { answerLength, answerPiece, answerSeed, answerText, answerToken, promptPieces } from '../enginemodel/Answer.js'
import { BatchModel, tokensOf } from '../enginemodel/BatchModel.js'
import { PrefixCache, type PromptPiece } from '../enginemodel/PrefixCache.js'
import { EventFeed } from './EventFeed.js'
import { listen, readBody, readJson, sendJson } from './HttpUtil.js'
import { AnswerStream } from './StreamStore.js'

const STEP_MS = 10
const LEAVE_GRACE_MS = 3_000 // new work later than this after a leave is counted as a fault
const NOT_RUN = { 'x-not-run': '1' } as const

/** Faults that a test can switch on. */
export interface EngineFaults {
  readonly delayMs?: number
  /** Cuts the connection of each stream once, after this many events. */
  readonly cutAt?: number
  /** Stops all answers and reports without closing a connection. */
  readonly silent?: boolean
  /** Refuses new work as not run. */
  readonly refuse?: boolean
  /** Answers outside the protocol. */
  readonly garbage?: boolean
  readonly leave?: boolean
}

/** Counts that tests read. */
export interface EngineStats {
  readonly id: string
  readonly requests: number
  /** Requests that came again under a known id and read on in its answer. */
  readonly repeated: number
  readonly promptTokens: number
  readonly cachedTokens: number
  /** The same two for prompts that hold an earlier answer. */
  readonly returningTokens: number
  readonly returningCached: number
  readonly answeredTokens: number
  readonly lateAfterLeave: number
  readonly work: number
  readonly running: number
  readonly queued: number
  readonly cancelled: number
}

interface KvItem {
  readonly key: string
  readonly pieces: readonly PromptPiece[]
}

export class EngineServer {
  readonly #settings: Required<EngineSettings>
  readonly #cache: PrefixCache
  readonly #batch: BatchModel
  readonly #feed: EventFeed
  readonly #streams = new Map<string, AnswerStream>()
  readonly #chats = new Map<string, readonly PromptPiece[]>()
  readonly #keyOfPiece = new Map<number, string>()
  readonly #startedAt = performance.now()
  readonly #timer: NodeJS.Timeout
  #server: Server | undefined
  #faults: EngineFaults = {}
  #leftAt: number | undefined
  #fencing = 0
  #lastStep = performance.now()
  #sweepAt = 0
  readonly #counts = {
    requests: 0, repeated: 0, promptTokens: 0, cachedTokens: 0, returningTokens: 0, returningCached: 0, answeredTokens: 0, lateAfterLeave: 0, cancelled: 0
  }

  constructor (settings: Required<EngineSettings>, random: IRandom) {
    this.#settings = settings
    this.#cache = new PrefixCache(settings.cacheTokens)
    this.#batch = new BatchModel(settings, this.#cache)
    this.#feed = new EventFeed(settings, random, () => this.#report())
    this.#timer = setInterval(() => this.#step(), STEP_MS)
  }

  async start (): Promise<void> {
    this.#server = await listen(this.#settings.port, (req, res, url) => this.#handle(req, res, url))
  }

  /** Takes no new work, ends what runs, then closes. */
  async stop (): Promise<void> {
    this.#leftAt ??= performance.now()
    while (this.#batch.running + this.#batch.queued > 0) await new Promise(resolve => setTimeout(resolve, 50))
    clearInterval(this.#timer)
    this.#feed.close()
    this.#server?.close()
    this.#server?.closeIdleConnections()
  }

  async #handle (req: IncomingMessage, res: ServerResponse, url: URL): Promise<void> {
    const route = `${req.method} ${url.pathname}`
    if (url.pathname.startsWith('/_')) return await this.#admin(route, req, res)
    if (this.#faults.silent === true) return
    if (route === 'POST /v1/chat/completions') return await this.#chat(req, res)
    if (route === 'GET /v1/events') return this.#feed.attach(res)
    if (url.pathname.startsWith('/v1/streams/')) return this.#stream(req, res, url)
    if (route === 'POST /v1/orders') return await this.#order(req, res)
    if (route === 'POST /v1/kv/export') return await this.#export(req, res)
    if (route === 'POST /v1/kv/import') return await this.#import(req, res)
    sendJson(res, 404, { error: 'no such route' })
  }

  async #admin (route: string, req: IncomingMessage, res: ServerResponse): Promise<void> {
    if (route === 'POST /_fault') {
      this.#faults = { ...this.#faults, ...await readJson<EngineFaults>(req) }
      this.#feed.pause(this.#faults.silent === true)
      if (this.#faults.leave === true) this.#leftAt ??= performance.now()
      if (this.#faults.leave === false) this.#leftAt = undefined
    }
    sendJson(res, 200, this.#stats())
  }

  async #chat (req: IncomingMessage, res: ServerResponse): Promise<void> {
    const body = (await readBody(req)).toString()
    if (this.#faults.delayMs !== undefined) await new Promise(resolve => setTimeout(resolve, this.#faults.delayMs))
    if (this.#faults.refuse === true) return sendJson(res, 503, { error: 'refused' }, NOT_RUN)
    const checked = parseJson(body).andThen(checkChatRequest)
    if (checked.isErr()) return sendJson(res, 400, { error: formatErrors(checked.error) }, NOT_RUN)
    if (this.#faults.garbage === true) {
      res.writeHead(200, { 'content-type': 'text/html' })
      res.end('<html>busy</html>')
      return
    }
    const id = String(req.headers[HEADER.requestId] ?? '')
    if (id === '') {
      this.#direct(checked.value, res)
      return
    }
    // a request id that is known reads on in its answer: it is not run again
    const known = this.#streams.get(id)
    if (known !== undefined) this.#counts.repeated++
    const stream = known ?? this.#start(id, checked.value, req)
    stream.attach(res, Number(req.headers[HEADER.resumeFrom] ?? 0), performance.now())
  }

  /** Serves a call without a router, for overhead measurements. */
  #direct (chat: ChatRequest, res: ServerResponse): void {
    const headers = { headers: {} } as IncomingMessage
    const stream = this.#start(`direct-${performance.now()}-${Math.random()}`, chat, headers)
    stream.attach(res, 0, performance.now())
  }

  #start (id: string, chat: ChatRequest, req: IncomingMessage): AnswerStream {
    const now = performance.now()
    const from = Number(req.headers[HEADER.resumeFrom] ?? 0)
    this.#counts.requests++
    if (this.#leftAt !== undefined && now - this.#leftAt > LEAVE_GRACE_MS) this.#counts.lateAfterLeave++
    const stream = new AnswerStream(id, from, now)
    this.#streams.set(id, stream)
    const prompt = promptPieces(chat)
    const key = String(req.headers[HEADER.prefixKey] ?? '')
    const seed = answerSeed(chat)
    const total = answerLength(chat)
    const created = Math.floor(Date.now() / 1000)
    const head = `{"id":${JSON.stringify(id)},"object":"chat.completion.chunk","created":${created},"model":${JSON.stringify(chat.model)}`
    let written = from
    let cached = 0
    this.#batch.submit({
      id,
      priority: Number(req.headers[HEADER.priority] ?? 5),
      prompt,
      answerTokens: total,
      from,
      onPrefilled: tokens => {
        cached = tokens
        this.#countPrompt(chat, prompt, tokens)
        this.#cachePrompt(key, prompt)
      },
      onTokens: decoded => {
        const events: string[] = []
        while (written < decoded) events.push(tokenEvent(head, written + 1, answerToken(seed, written++)))
        const last = written >= total
        if (last) {
          events.push(...endEvents(head, total, tokensOf(prompt), cached))
          this.#cachePrompt(key, [...prompt, answerPiece(prompt, answerText(chat))])
        }
        this.#push(stream, events, last)
      }
    })
    return stream
  }

  #push (stream: AnswerStream, events: readonly string[], last: boolean): void {
    if (this.#faults.silent === true) return
    const cutAt = this.#faults.cutAt
    const before = stream.length
    this.#counts.answeredTokens += events.length
    stream.push(events, last, performance.now())
    if (cutAt !== undefined && before < cutAt && stream.length >= cutAt) stream.cut()
  }

  #countPrompt (chat: ChatRequest, prompt: readonly PromptPiece[], cached: number): void {
    const tokens = tokensOf(prompt)
    this.#counts.promptTokens += tokens
    this.#counts.cachedTokens += cached
    if (!chat.messages.some(m => m.role === 'assistant')) return
    this.#counts.returningTokens += tokens
    this.#counts.returningCached += cached
  }

  #cachePrompt (key: string, prompt: readonly PromptPiece[]): void {
    const evicted = this.#cache.insert(prompt)
    const keys = new Set<string>()
    for (const hash of evicted) {
      const owner = this.#keyOfPiece.get(hash)
      this.#keyOfPiece.delete(hash)
      if (owner !== undefined && owner !== key) keys.add(owner)
    }
    for (const k of keys) this.#chats.delete(k)
    this.#feed.evicted([...keys])
    if (key === '') return
    this.#chats.set(key, prompt)
    for (const piece of prompt) this.#keyOfPiece.set(piece.hash, key)
  }

  #stream (req: IncomingMessage, res: ServerResponse, url: URL): void {
    const id = decodeURIComponent(url.pathname.slice('/v1/streams/'.length))
    const stream = this.#streams.get(id)
    const from = Number(url.searchParams.get('from') ?? 0)
    if (stream === undefined || from < stream.from) return sendJson(res, 404, { error: 'no such stream' })
    if (req.method === 'DELETE') {
      if (this.#batch.cancel(id)) this.#counts.cancelled++
      this.#streams.delete(id)
      return sendJson(res, 200, { cancelled: true })
    }
    stream.attach(res, from, performance.now())
  }

  async #order (req: IncomingMessage, res: ServerResponse): Promise<void> {
    const order = await readJson<{ readonly order: string, readonly fencing: number }>(req)
    if (this.#settings.checksFencing && order.fencing < this.#fencing) {
      return sendJson(res, 409, { error: 'old fencing number', fencing: this.#fencing }, NOT_RUN)
    }
    this.#fencing = Math.max(this.#fencing, order.fencing)
    if (order.order === 'drain') this.#leftAt ??= performance.now()
    if (order.order === 'undrain') this.#leftAt = undefined
    sendJson(res, 200, { done: order.order, fencing: this.#fencing })
  }

  async #export (req: IncomingMessage, res: ServerResponse): Promise<void> {
    const { keys, maxTokens } = await readJson<{ readonly keys?: readonly string[], readonly maxTokens: number }>(req)
    const items: KvItem[] = []
    let tokens = 0
    for (const key of keys ?? [...this.#chats.keys()].reverse()) {
      const pieces = this.#chats.get(key)
      if (pieces === undefined) continue
      tokens += tokensOf(pieces)
      if (tokens > maxTokens) break
      items.push({ key, pieces })
    }
    sendJson(res, 200, { items })
  }

  async #import (req: IncomingMessage, res: ServerResponse): Promise<void> {
    const { items } = await readJson<{ readonly items: readonly KvItem[] }>(req)
    for (const item of items) this.#cachePrompt(item.key, item.pieces)
    sendJson(res, 200, { imported: items.length })
  }

  #step (): void {
    const now = performance.now()
    const dt = now - this.#lastStep
    this.#lastStep = now
    this.#batch.step(dt)
    if (now < this.#sweepAt) return
    this.#sweepAt = now + 1000
    for (const [id, stream] of this.#streams) {
      if (stream.expired(now)) this.#streams.delete(id)
      if (!stream.orphaned(now)) continue
      this.#batch.cancel(id)
      this.#streams.delete(id)
      this.#counts.cancelled++
    }
  }

  #report (): LoadReport {
    return {
      work: this.#batch.work,
      running: this.#batch.running,
      queued: this.#batch.queued,
      slots: this.#settings.slots,
      leaving: this.#leftAt !== undefined,
      uptimeMs: performance.now() - this.#startedAt,
      fencing: this.#fencing
    }
  }

  #stats (): EngineStats {
    return { id: this.#settings.id, ...this.#counts, work: this.#batch.work, running: this.#batch.running, queued: this.#batch.queued }
  }
}

function tokenEvent (head: string, id: number, token: string): string {
  const role = id === 1 ? '"role":"assistant",' : ''
  return `id: ${id}\ndata: ${head},"choices":[{"index":0,"delta":{${role}"content":${JSON.stringify(token)}},"finish_reason":null}]}\n\n`
}

function endEvents (head: string, total: number, promptTokens: number, cachedTokens: number): string[] {
  const usage = {
    prompt_tokens: promptTokens,
    completion_tokens: total,
    total_tokens: promptTokens + total,
    prompt_tokens_details: { cached_tokens: cachedTokens }
  }
  return [
    `id: ${total + 1}\ndata: ${head},"choices":[{"index":0,"delta":{},"finish_reason":"stop"}],"usage":${JSON.stringify(usage)}}\n\n`,
    `id: ${total + 2}\ndata: [DONE]\n\n`
  ]
}
