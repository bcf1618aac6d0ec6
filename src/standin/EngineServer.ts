/**
 * Stand-in of a model engine: serves chat completions on simulated batching and prefix caching, and accepts drain
 * orders and KV cache transfers. Paths under /_ inject faults and return counters.
 */
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import { HEADER } from '../common/Constants.js'
import type { ChatRequest } from '../common/generated/ChatRequest.js'
import type { EngineSettings } from '../common/generated/EngineSettings.js'
import type { LoadReport } from '../common/placement/EndpointLoad.js'
import { checkChatRequest, formatErrors, parseJson } from '../common/Schema.js'
import type { IRandom } from '../common/Services.js'
import { answerLength, answerSegment, answerSeed, answerText, answerToken, promptSegments } from '../enginemodel/Answer.js'
import { BatchModel, promptTokenCount } from '../enginemodel/BatchModel.js'
import { PrefixCache, type PromptSegment } from '../enginemodel/PrefixCache.js'
import { AnswerStream } from './AnswerStream.js'
import { EventFeed } from './EventFeed.js'
import { listen, readBody, readJson, sendJson } from './HttpUtil.js'

const STEP_MS = 10
const LEAVE_GRACE_MS = 3_000 // new requests later than this after the engine started leaving are counted as late
const NOT_RUN_HEADERS = { 'x-not-run': '1' } as const

/** Faults that a test can inject; a request to `/_fault` sets the fields that it contains. */
export interface EngineFaults {
  /** Delay before each chat request is processed, in ms. */
  readonly delayMs?: number
  /** Closes the connections of each stream once, after this many events. */
  readonly cutAt?: number
  /** Sends no answers and no load reports, but keeps connections open. */
  readonly silent?: boolean
  /** Refuses chat requests with 503 and the header that marks them as not run. */
  readonly refuse?: boolean
  /** Answers chat requests with an HTML page instead of the protocol. */
  readonly garbage?: boolean
  /** True reports the engine as leaving; false takes that back. */
  readonly leave?: boolean
}

/** Counters that tests read. */
export interface EngineStats {
  readonly id: string
  /** Requests that were executed. */
  readonly requests: number
  /** Requests that repeated the id of a kept answer and were attached to it. */
  readonly repeated: number
  readonly promptTokens: number
  readonly cachedTokens: number
  /** Prompt tokens and cached prompt tokens of requests whose messages contain an earlier answer. */
  readonly returningTokens: number
  readonly returningCached: number
  readonly answeredTokens: number
  /** Requests that started more than 3 s after the engine started leaving. */
  readonly lateAfterLeave: number
  /** Outstanding work in decode tokens. */
  readonly work: number
  readonly running: number
  readonly queued: number
  readonly cancelled: number
}

/** Cached prompt of one prefix key, as exported and imported. */
interface KvItem {
  readonly key: string
  readonly pieces: readonly PromptSegment[]
}

/** HTTP server of one simulated engine. */
export class EngineServer {
  readonly #settings: Required<EngineSettings>
  readonly #cache: PrefixCache
  readonly #batch: BatchModel
  readonly #feed: EventFeed
  readonly #streams = new Map<string, AnswerStream>()
  /** Prompt that is cached for each prefix key. */
  readonly #cachedPrompts = new Map<string, readonly PromptSegment[]>()
  /** Prefix key that last cached a segment, by hash of the segment. */
  readonly #prefixKeyBySegment = new Map<number, string>()
  readonly #startedAt = performance.now()
  readonly #timer: NodeJS.Timeout
  #server: Server | undefined
  #faults: EngineFaults = {}
  #leavingSince: number | undefined
  #highestFencing = 0
  #lastStepAt = performance.now()
  #nextSweepAt = 0
  readonly #counts = {
    requests: 0, repeated: 0, promptTokens: 0, cachedTokens: 0, returningTokens: 0, returningCached: 0, answeredTokens: 0, lateAfterLeave: 0, cancelled: 0
  }

  constructor (settings: Required<EngineSettings>, random: IRandom) {
    this.#settings = settings
    this.#cache = new PrefixCache(settings.cacheTokens)
    this.#batch = new BatchModel(settings, this.#cache)
    this.#feed = new EventFeed(settings, random, () => this.#loadReport())
    this.#timer = setInterval(() => this.#step(), STEP_MS)
  }

  async start (): Promise<void> {
    this.#server = await listen(this.#settings.port, (req, res, url) => this.#handle(req, res, url))
  }

  /** Reports the engine as leaving, waits until no request runs or is queued, then closes. */
  async stop (): Promise<void> {
    this.#leavingSince ??= performance.now()
    while (this.#batch.running + this.#batch.queued > 0) await new Promise(resolve => setTimeout(resolve, 50))
    clearInterval(this.#timer)
    this.#feed.close()
    this.#server?.close()
    this.#server?.closeIdleConnections()
  }

  async #handle (req: IncomingMessage, res: ServerResponse, url: URL): Promise<void> {
    const route = `${req.method} ${url.pathname}`
    if (url.pathname.startsWith('/_')) return await this.#handleAdmin(route, req, res)
    if (this.#faults.silent === true) return
    if (route === 'POST /v1/chat/completions') return await this.#handleChat(req, res)
    if (route === 'GET /v1/events') return this.#feed.subscribe(res)
    if (url.pathname.startsWith('/v1/streams/')) return this.#handleStream(req, res, url)
    if (route === 'POST /v1/orders') return await this.#handleOrder(req, res)
    if (route === 'POST /v1/kv/export') return await this.#handleKvExport(req, res)
    if (route === 'POST /v1/kv/import') return await this.#handleKvImport(req, res)
    sendJson(res, 404, { error: 'no such route' })
  }

  async #handleAdmin (route: string, req: IncomingMessage, res: ServerResponse): Promise<void> {
    if (route === 'POST /_fault') {
      this.#faults = { ...this.#faults, ...await readJson<EngineFaults>(req) }
      this.#feed.setPaused(this.#faults.silent === true)
      if (this.#faults.leave === true) this.#leavingSince ??= performance.now()
      if (this.#faults.leave === false) this.#leavingSince = undefined
    }
    sendJson(res, 200, this.#stats())
  }

  async #handleChat (req: IncomingMessage, res: ServerResponse): Promise<void> {
    const body = (await readBody(req)).toString()
    if (this.#faults.delayMs !== undefined) await new Promise(resolve => setTimeout(resolve, this.#faults.delayMs))
    if (this.#faults.refuse === true) return sendJson(res, 503, { error: 'refused' }, NOT_RUN_HEADERS)
    const checked = parseJson(body).andThen(checkChatRequest)
    if (checked.isErr()) return sendJson(res, 400, { error: formatErrors(checked.error) }, NOT_RUN_HEADERS)
    if (this.#faults.garbage === true) {
      res.writeHead(200, { 'content-type': 'text/html' })
      res.end('<html>busy</html>')
      return
    }
    const id = String(req.headers[HEADER.requestId] ?? '')
    if (id === '') {
      this.#handleDirectChat(checked.value, res)
      return
    }
    // a repeated request id is attached to the existing answer instead of being executed again
    const existing = this.#streams.get(id)
    if (existing !== undefined) this.#counts.repeated++
    const stream = existing ?? this.#startStream(id, checked.value, req)
    stream.attach(res, Number(req.headers[HEADER.resumeFrom] ?? 0), performance.now())
  }

  /** Serves a request without a request id, as sent without a router; the baseline of overhead measurements. */
  #handleDirectChat (chat: ChatRequest, res: ServerResponse): void {
    const headers = { headers: {} } as IncomingMessage
    const stream = this.#startStream(`direct-${performance.now()}-${Math.random()}`, chat, headers)
    stream.attach(res, 0, performance.now())
  }

  #startStream (id: string, chat: ChatRequest, req: IncomingMessage): AnswerStream {
    const now = performance.now()
    const from = Number(req.headers[HEADER.resumeFrom] ?? 0)
    this.#counts.requests++
    if (this.#leavingSince !== undefined && now - this.#leavingSince > LEAVE_GRACE_MS) this.#counts.lateAfterLeave++
    const stream = new AnswerStream(id, from, now)
    this.#streams.set(id, stream)
    const prompt = promptSegments(chat)
    const key = String(req.headers[HEADER.prefixKey] ?? '')
    const seed = answerSeed(chat)
    const total = answerLength(chat)
    const created = Math.floor(Date.now() / 1000)
    const chunkHead = `{"id":${JSON.stringify(id)},"object":"chat.completion.chunk","created":${created},"model":${JSON.stringify(chat.model)}`
    let written = from
    let cached = 0
    this.#batch.submit({
      id,
      priority: Number(req.headers[HEADER.priority] ?? 5),
      prompt,
      answerTokens: total,
      resumedTokens: from,
      onPrefilled: tokens => {
        cached = tokens
        this.#countPrompt(chat, prompt, tokens)
        this.#cachePrompt(key, prompt)
      },
      onTokens: decoded => {
        const events: string[] = []
        while (written < decoded) events.push(tokenEvent(chunkHead, written + 1, answerToken(seed, written++)))
        const last = written >= total
        if (last) {
          events.push(...finalEvents(chunkHead, total, promptTokenCount(prompt), cached))
          this.#cachePrompt(key, [...prompt, answerSegment(prompt, answerText(chat))])
        }
        this.#pushEvents(stream, events, last)
      }
    })
    return stream
  }

  #pushEvents (stream: AnswerStream, events: readonly string[], last: boolean): void {
    if (this.#faults.silent === true) return
    const cutAt = this.#faults.cutAt
    const before = stream.eventCount
    this.#counts.answeredTokens += events.length
    stream.push(events, last, performance.now())
    if (cutAt !== undefined && before < cutAt && stream.eventCount >= cutAt) stream.dropReaders()
  }

  #countPrompt (chat: ChatRequest, prompt: readonly PromptSegment[], cached: number): void {
    const tokens = promptTokenCount(prompt)
    this.#counts.promptTokens += tokens
    this.#counts.cachedTokens += cached
    if (!chat.messages.some(m => m.role === 'assistant')) return
    this.#counts.returningTokens += tokens
    this.#counts.returningCached += cached
  }

  /** Caches a prompt under a prefix key and publishes the keys that lost segments to it. */
  #cachePrompt (key: string, prompt: readonly PromptSegment[]): void {
    const evicted = this.#cache.insert(prompt)
    const keys = new Set<string>()
    for (const hash of evicted) {
      const evictedKey = this.#prefixKeyBySegment.get(hash)
      this.#prefixKeyBySegment.delete(hash)
      if (evictedKey !== undefined && evictedKey !== key) keys.add(evictedKey)
    }
    for (const k of keys) this.#cachedPrompts.delete(k)
    this.#feed.publishEvictions([...keys])
    if (key === '') return
    this.#cachedPrompts.set(key, prompt)
    for (const segment of prompt) this.#prefixKeyBySegment.set(segment.hash, key)
  }

  /** Reads a retained answer from an event on, or cancels it on DELETE. */
  #handleStream (req: IncomingMessage, res: ServerResponse, url: URL): void {
    const id = decodeURIComponent(url.pathname.slice('/v1/streams/'.length))
    const stream = this.#streams.get(id)
    const from = Number(url.searchParams.get('from') ?? 0)
    if (stream === undefined || from < stream.startOffset) return sendJson(res, 404, { error: 'no such stream' })
    if (req.method === 'DELETE') {
      if (this.#batch.cancel(id)) this.#counts.cancelled++
      this.#streams.delete(id)
      return sendJson(res, 200, { cancelled: true })
    }
    stream.attach(res, from, performance.now())
  }

  /** Executes a drain or undrain order. An order with a lower fencing number than an earlier one is refused when fencing is checked. */
  async #handleOrder (req: IncomingMessage, res: ServerResponse): Promise<void> {
    const order = await readJson<{ readonly order: string, readonly fencing: number }>(req)
    if (this.#settings.checksFencing && order.fencing < this.#highestFencing) {
      return sendJson(res, 409, { error: 'old fencing number', fencing: this.#highestFencing }, NOT_RUN_HEADERS)
    }
    this.#highestFencing = Math.max(this.#highestFencing, order.fencing)
    if (order.order === 'drain') this.#leavingSince ??= performance.now()
    if (order.order === 'undrain') this.#leavingSince = undefined
    sendJson(res, 200, { done: order.order, fencing: this.#highestFencing })
  }

  /** Returns cached prompts of the requested keys, or of all keys with the latest added first, up to a number of tokens. */
  async #handleKvExport (req: IncomingMessage, res: ServerResponse): Promise<void> {
    const { keys, maxTokens } = await readJson<{ readonly keys?: readonly string[], readonly maxTokens: number }>(req)
    const items: KvItem[] = []
    let tokens = 0
    for (const key of keys ?? [...this.#cachedPrompts.keys()].reverse()) {
      const pieces = this.#cachedPrompts.get(key)
      if (pieces === undefined) continue
      tokens += promptTokenCount(pieces)
      if (tokens > maxTokens) break
      items.push({ key, pieces })
    }
    sendJson(res, 200, { items })
  }

  async #handleKvImport (req: IncomingMessage, res: ServerResponse): Promise<void> {
    const { items } = await readJson<{ readonly items: readonly KvItem[] }>(req)
    for (const item of items) this.#cachePrompt(item.key, item.pieces)
    sendJson(res, 200, { imported: items.length })
  }

  /** Advances the batch simulation; once a second removes expired answers and cancels those without readers. */
  #step (): void {
    const now = performance.now()
    const dt = now - this.#lastStepAt
    this.#lastStepAt = now
    this.#batch.step(dt)
    if (now < this.#nextSweepAt) return
    this.#nextSweepAt = now + 1000
    for (const [id, stream] of this.#streams) {
      if (stream.isExpired(now)) this.#streams.delete(id)
      if (!stream.isOrphaned(now)) continue
      this.#batch.cancel(id)
      this.#streams.delete(id)
      this.#counts.cancelled++
    }
  }

  #loadReport (): LoadReport {
    return {
      work: this.#batch.work,
      running: this.#batch.running,
      queued: this.#batch.queued,
      slots: this.#settings.slots,
      leaving: this.#leavingSince !== undefined,
      uptimeMs: performance.now() - this.#startedAt,
      fencing: this.#highestFencing
    }
  }

  #stats (): EngineStats {
    return { id: this.#settings.id, ...this.#counts, work: this.#batch.work, running: this.#batch.running, queued: this.#batch.queued }
  }
}

function tokenEvent (chunkHead: string, id: number, token: string): string {
  const role = id === 1 ? '"role":"assistant",' : ''
  return `id: ${id}\ndata: ${chunkHead},"choices":[{"index":0,"delta":{${role}"content":${JSON.stringify(token)}},"finish_reason":null}]}\n\n`
}

function finalEvents (chunkHead: string, total: number, promptTokens: number, cachedTokens: number): string[] {
  const usage = {
    prompt_tokens: promptTokens,
    completion_tokens: total,
    total_tokens: promptTokens + total,
    prompt_tokens_details: { cached_tokens: cachedTokens }
  }
  return [
    `id: ${total + 1}\ndata: ${chunkHead},"choices":[{"index":0,"delta":{},"finish_reason":"stop"}],"usage":${JSON.stringify(usage)}}\n\n`,
    `id: ${total + 2}\ndata: [DONE]\n\n`
  ]
}
