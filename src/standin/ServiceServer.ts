/** Stand-in of a plain service's worker: executes each call immediately and counts the executions of each call id. */
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import type { IRandom } from '../common/Services.js'
import { EventFeed } from './EventFeed.js'
import { listen, readBody, readJson, sendJson } from './HttpUtil.js'

const SLOTS = 64

/** Faults that a test can inject; a request to `/_fault` sets the fields that it contains. */
export interface ServiceFaults {
  /** Duration of each call in ms. */
  readonly delayMs?: number
  /** Executes the call, then closes the connection instead of answering. */
  readonly loseAnswer?: boolean
  /** Refuses calls with 503 and the header that marks them as not run. */
  readonly refuse?: boolean
  /** Reports the worker as leaving. */
  readonly leave?: boolean
}

/** Counters that tests read. */
export interface ServiceStats {
  readonly id: string
  readonly requests: number
  /** Number of executions of each call id. */
  readonly runs: Readonly<Record<string, number>>
}

/** HTTP server of one simulated worker. */
export class ServiceServer {
  readonly #id: string
  readonly #port: number
  readonly #feed: EventFeed
  readonly #runs = new Map<string, number>()
  readonly #startedAt = performance.now()
  #server: Server | undefined
  #faults: ServiceFaults = {}
  #requests = 0
  #inFlight = 0
  #leaving = false

  constructor (id: string, port: number, random: IRandom) {
    this.#id = id
    this.#port = port
    const loadReport = () => ({
      work: this.#inFlight,
      running: this.#inFlight,
      queued: 0,
      slots: SLOTS,
      leaving: this.#leaving,
      uptimeMs: performance.now() - this.#startedAt,
      fencing: 0
    })
    this.#feed = new EventFeed({ loadLagMs: 200, eventLagMs: 0, eventGap: 0 }, random, loadReport)
  }

  async start (): Promise<void> {
    this.#server = await listen(this.#port, (req, res, url) => this.#handle(req, res, url))
  }

  /** Reports the worker as leaving, waits for the calls in flight, then closes. */
  async stop (): Promise<void> {
    this.#leaving = true
    while (this.#inFlight > 0) await new Promise(resolve => setTimeout(resolve, 20))
    this.#feed.close()
    this.#server?.close()
    this.#server?.closeIdleConnections()
  }

  async #handle (req: IncomingMessage, res: ServerResponse, url: URL): Promise<void> {
    if (url.pathname === '/v1/events') return this.#feed.subscribe(res)
    if (url.pathname === '/_fault') {
      this.#faults = { ...this.#faults, ...await readJson<ServiceFaults>(req) }
      if (this.#faults.leave !== undefined) this.#leaving = this.#faults.leave
    }
    if (url.pathname.startsWith('/_')) return sendJson(res, 200, this.#stats())
    await this.#handleCall(req, res, url)
  }

  async #handleCall (req: IncomingMessage, res: ServerResponse, url: URL): Promise<void> {
    const body = await readBody(req)
    if (this.#faults.refuse === true) return sendJson(res, 503, { error: 'refused' }, { 'x-not-run': '1' })
    this.#inFlight++
    this.#requests++
    const callId = callIdOf(body, url)
    const run = (this.#runs.get(callId) ?? 0) + 1
    this.#runs.set(callId, run)
    if (this.#faults.delayMs !== undefined) await new Promise(resolve => setTimeout(resolve, this.#faults.delayMs))
    this.#inFlight--
    if (this.#faults.loseAnswer === true) {
      res.destroy()
      return
    }
    const status = Number(url.searchParams.get('status') ?? 200)
    sendJson(res, status, { worker: this.#id, method: req.method, path: url.pathname, callId, run, bytes: body.length }, { 'x-worker': this.#id })
  }

  #stats (): ServiceStats {
    return { id: this.#id, requests: this.#requests, runs: Object.fromEntries(this.#runs) }
  }
}

/** Call id in the JSON body; the path when there is none. */
function callIdOf (body: Buffer, url: URL): string {
  try {
    return String((JSON.parse(body.toString()) as { readonly callId?: unknown }).callId ?? url.pathname)
  } catch {
    return url.pathname
  }
}
