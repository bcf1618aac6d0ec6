/** Read-only client of the platform's store: reads one key or all keys under a prefix, or watches a prefix. The only client of the store. */
import { err, ok, type Result } from 'neverthrow'
import { EndpointAgent } from '../gateway/EndpointAgent.js'
import type { GatewayMetrics } from '../gateway/GatewayMetrics.js'
import { httpGet } from '../gateway/HttpCall.js'

const READ_TIMEOUT_MS = 800 // a read that takes longer is retried on another connection
const WATCH_MARGIN_MS = 700 // added to the requested wait
const MAX_PAGES = 100

/** Kinds of failed reads that the readers handle differently. */
export type StoreErrorKind = 'unreachable' | 'refused' | 'not-found' | 'history-gone' | 'malformed'

/** Why a read failed. */
export interface StoreError {
  readonly step: 'store'
  readonly peer: string
  readonly kind: StoreErrorKind
  readonly reason: string
}

/** A key with its decoded value. */
export interface StoreItem {
  readonly key: string
  readonly value: Buffer
}

/** Items as of approximately the store's `revision`. */
export interface StoreRead {
  readonly items: readonly StoreItem[]
  readonly revision: number
}

interface WireItem {
  readonly key?: unknown
  readonly value?: unknown
  readonly deleted?: unknown
}

/** Fields of the store's responses; `at` is the store's revision. */
interface WireResponse extends WireItem {
  readonly items?: readonly WireItem[]
  readonly events?: readonly WireItem[]
  readonly has_more?: boolean
  readonly at?: unknown
}

type CallKind = 'key' | 'range' | 'watch'

function parseItem (wire: WireItem): StoreItem | undefined {
  if (typeof wire.key !== 'string' || typeof wire.value !== 'string') return undefined
  return { key: wire.key, value: Buffer.from(wire.value, 'base64') }
}

function parseItems (wire: readonly WireItem[] | undefined): StoreItem[] {
  return (wire ?? []).map(parseItem).filter(item => item !== undefined)
}

function errorKindOf (status: number): StoreErrorKind {
  if (status === 404) return 'not-found'
  return status === 410 ? 'history-gone' : 'refused'
}

export class StoreClient {
  readonly #address: string
  readonly #port: number
  readonly #metrics: GatewayMetrics
  readonly #agents: Readonly<Record<CallKind, EndpointAgent>> = { key: new EndpointAgent(), range: new EndpointAgent(), watch: new EndpointAgent() }

  constructor (address: string, port: number, metrics: GatewayMetrics) {
    this.#address = address
    this.#port = port
    this.#metrics = metrics
  }

  /** Reads one key. */
  async key (key: string): Promise<Result<StoreRead, StoreError>> {
    const response = await this.#get('key', `/v1/kv-key?key=${encodeURIComponent(key)}`, READ_TIMEOUT_MS)
    return response.map(body => ({ items: parseItems([body]), revision: Number(body.at) }))
  }

  /** Reads all keys under a prefix, page by page; `revision` is that of the first page. */
  async range (prefix: string): Promise<Result<StoreRead, StoreError>> {
    const items: StoreItem[] = []
    let revision = Infinity
    let after = ''
    for (let page = 0; page < MAX_PAGES; page++) {
      const query = `path_prefix=${encodeURIComponent(prefix)}${after === '' ? '' : `&after=${encodeURIComponent(after)}`}`
      const response = await this.#get('range', `/v1/kv-range?${query}`, READ_TIMEOUT_MS)
      if (response.isErr()) return err(response.error)
      const found = parseItems(response.value.items)
      items.push(...found)
      revision = Math.min(revision, Number(response.value.at))
      const last = response.value.items?.[response.value.items.length - 1]?.key
      if (response.value.has_more !== true || typeof last !== 'string') return ok({ items, revision })
      after = last
    }
    return err(this.#error('malformed', `more than ${MAX_PAGES} pages`))
  }

  /** Waits for changes after a revision; an empty read means that there were none. Deletions are omitted. */
  async watch (prefix: string, after: number, waitMs: number): Promise<Result<StoreRead, StoreError>> {
    const query = `path_prefix=${encodeURIComponent(prefix)}&after=${after}&wait_ms=${waitMs}`
    const response = await this.#get('watch', `/v1/kv-watch?${query}`, waitMs + WATCH_MARGIN_MS)
    return response.map(body => ({ items: parseItems(body.events), revision: Number(body.at) }))
  }

  close (): void {
    Object.values(this.#agents).forEach(agent => agent.destroy())
  }

  async #get (kind: CallKind, target: string, timeoutMs: number): Promise<Result<WireResponse, StoreError>> {
    const response = await httpGet({ agent: this.#agents[kind], address: this.#address, port: this.#port }, target, timeoutMs)
    const result = response
      .mapErr(e => this.#error('unreachable', `${e.step}: ${e.reason}`))
      .andThen(({ status, body }) => status === 200 ? this.#parse(body) : err(this.#error(errorKindOf(status), `status ${status}`)))
    this.#metrics.platformCalls.inc({ kind, result: result.isOk() ? 'ok' : result.error.kind })
    return result
  }

  #parse (body: Buffer): Result<WireResponse, StoreError> {
    try {
      const response = JSON.parse(body.toString('utf8')) as WireResponse
      return Number.isFinite(Number(response.at)) ? ok(response) : err(this.#error('malformed', 'no revision'))
    } catch (e) {
      return err(this.#error('malformed', (e as Error).message))
    }
  }

  #error (kind: StoreErrorKind, reason: string): StoreError {
    return { step: 'store', peer: `${this.#address}:${this.#port}`, kind, reason }
  }
}
