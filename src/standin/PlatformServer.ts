/**
 * Stand-in of the platform: serves the configuration with a watch on its revision, the delayed list of instances and
 * endpoints, and the rate-limited store of model weights. Paths under /_ are for the operators, who publish there, and for tests.
 */
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import { TokenBucket } from '../common/limits/TokenBucket.js'
import type { PlatformList } from '../common/Types.js'
import { listen, readBody, readJson, sendJson } from './HttpUtil.js'

const READS_PER_SEC = 2_000
const WEIGHT_READS_PER_SEC = 10
const POLL_MS = 50

/** Faults that a test can inject; a request to `/_fault` sets the fields that it contains. */
export interface PlatformFaults {
  /** Closes each connection without an answer. */
  readonly down?: boolean
  /** Serves this older revision as the current one; null ends the fault. */
  readonly rewindTo?: number | null
}

/** HTTP server of the simulated platform. */
export class PlatformServer {
  readonly #port: number
  readonly #listLagMs: number
  readonly #configTexts = new Map<number, string>()
  readonly #readLimiter = new TokenBucket(READS_PER_SEC, READS_PER_SEC, performance.now())
  readonly #weightReadLimiter = new TokenBucket(WEIGHT_READS_PER_SEC, WEIGHT_READS_PER_SEC, performance.now())
  #server: Server | undefined
  #revision = 0
  #list: PlatformList = { revision: 0, instances: [], endpoints: [] }
  #faults: PlatformFaults = {}
  #readCount = 0

  /** @param listLagMs delay after which the list shows a change, in ms; the first list is visible immediately. */
  constructor (port: number, listLagMs: number) {
    this.#port = port
    this.#listLagMs = listLagMs
  }

  async start (): Promise<void> {
    this.#server = await listen(this.#port, (req, res, url) => this.#handle(req, res, url))
  }

  async stop (): Promise<void> {
    this.#server?.close()
    this.#server?.closeAllConnections()
  }

  async #handle (req: IncomingMessage, res: ServerResponse, url: URL): Promise<void> {
    if (url.pathname.startsWith('/_')) return await this.#handleAdmin(req, res, url)
    if (this.#faults.down === true) {
      res.destroy()
      return
    }
    this.#readCount++
    if (!this.#readLimiter.take(1, performance.now())) return sendJson(res, 429, { error: 'too many reads' })
    const after = Number(url.searchParams.get('after') ?? -1)
    const waitMs = Number(url.searchParams.get('waitMs') ?? 0)
    if (url.pathname === '/v1/config/revision') {
      await this.#waitUntil(() => this.#visibleRevision !== after, waitMs)
      return sendJson(res, 200, { revision: this.#visibleRevision })
    }
    if (url.pathname === '/v1/config') return this.#sendConfig(res)
    if (url.pathname === '/v1/list') {
      await this.#waitUntil(() => this.#list.revision !== after, waitMs)
      return sendJson(res, 200, this.#list)
    }
    if (url.pathname.startsWith('/v1/weights/')) return this.#sendWeights(res, url)
    sendJson(res, 404, { error: 'no such route' })
  }

  async #handleAdmin (req: IncomingMessage, res: ServerResponse, url: URL): Promise<void> {
    if (url.pathname === '/_config') {
      this.#configTexts.set(++this.#revision, (await readBody(req)).toString())
      return sendJson(res, 200, { revision: this.#revision })
    }
    if (url.pathname === '/_list') {
      const list = await readJson<Omit<PlatformList, 'revision'>>(req)
      setTimeout(() => { this.#list = { ...list, revision: this.#list.revision + 1 } }, this.#list.revision === 0 ? 0 : this.#listLagMs)
      return sendJson(res, 200, { ok: true })
    }
    if (url.pathname === '/_fault') this.#faults = { ...this.#faults, ...await readJson<PlatformFaults>(req) }
    sendJson(res, 200, { revision: this.#revision, reads: this.#readCount, list: this.#list })
  }

  get #visibleRevision (): number {
    return this.#faults.rewindTo ?? this.#revision
  }

  #sendConfig (res: ServerResponse): void {
    const text = this.#configTexts.get(this.#visibleRevision)
    if (text === undefined) return sendJson(res, 404, { error: 'nothing published' })
    res.writeHead(200, { 'content-type': 'application/json', 'x-revision': String(this.#visibleRevision) })
    res.end(text)
  }

  #sendWeights (res: ServerResponse, url: URL): void {
    if (!this.#weightReadLimiter.take(1, performance.now())) return sendJson(res, 429, { error: 'too many reads' }, { 'retry-after': '1' })
    sendJson(res, 200, { model: url.pathname.slice('/v1/weights/'.length), version: 1 })
  }

  async #waitUntil (ready: () => boolean, waitMs: number): Promise<void> {
    const end = performance.now() + waitMs
    while (!ready() && performance.now() < end && this.#faults.down !== true) await new Promise(resolve => setTimeout(resolve, POLL_MS))
  }
}
