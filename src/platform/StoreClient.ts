/** Read-only client of the platform's store: reads one key or all keys under a prefix, or watches a prefix. The only client of the store. */
import { err, ok, type Result } from 'neverthrow'
import type { ListVersion } from '../common/generated/PeerDatagram.js'
import type { WatchTimes } from '../common/peers/ConfigSchedule.js'
import { EndpointAgent } from '../gateway/EndpointAgent.js'
import type { GatewayMetrics } from '../gateway/GatewayMetrics.js'
import { httpGet } from '../gateway/HttpCall.js'
import type { HeaderList } from '../gateway/Types.js'
import { getHeader } from './Headers.js'
import { HEADER } from './HeaderNames.js'

const READ_TIMEOUT_MS = 800 // a read that takes longer is retried on another connection
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

/** Items as of approximately the store's `version`. */
export interface StoreRead {
  readonly items: readonly StoreItem[]
  readonly version: ListVersion
  /** Keys that were deleted and not written again; only in the answer to a watch that asks for them. */
  readonly deleted?: readonly string[]
  /** Present when the answer had entries that can't be read, so that a key may be missing in it. */
  readonly isPartial?: true
}

/** A change of one key. */
interface StoreEvent {
  readonly key: string
  readonly revision: number
  /** Undefined for a deletion. */
  readonly item: StoreItem | undefined
}

/** Fields of the store's responses; `at` is the store's revision. */
interface WireResponse {
  readonly items?: unknown
  readonly events?: unknown
  readonly has_more?: unknown
  readonly at?: unknown
}

/** A parsed response with the store's version. */
interface VersionedResponse {
  readonly body: WireResponse
  readonly version: ListVersion
}

type CallKind = 'key' | 'range' | 'watch'

function parseItem (wire: unknown): StoreItem | undefined {
  if (typeof wire !== 'object' || wire === null) return undefined
  const { key, value } = wire as { readonly key?: unknown, readonly value?: unknown }
  return typeof key === 'string' && typeof value === 'string' ? { key, value: Buffer.from(value, 'base64') } : undefined
}

/** Items that can be read; undefined when there is no list of items. */
function parseItems (wire: unknown): StoreItem[] | undefined {
  return Array.isArray(wire) ? wire.map(parseItem).filter(item => item !== undefined) : undefined
}

function parseEvent (wire: unknown): StoreEvent | undefined {
  if (typeof wire !== 'object' || wire === null) return undefined
  const { key, revision, deleted } = wire as { readonly key?: unknown, readonly revision?: unknown, readonly deleted?: unknown }
  const item = deleted === true ? undefined : parseItem(wire)
  if (typeof key !== 'string' || typeof revision !== 'number' || (item === undefined && deleted !== true)) return undefined
  return { key, revision, item }
}

/** The last change of each key; events of one answer need not be in the order of their revisions. */
function lastChanges (events: readonly StoreEvent[]): StoreEvent[] {
  const ordered = [...events].sort((a, b) => a.revision - b.revision)
  return [...new Map(ordered.map(event => [event.key, event])).values()]
}

/** Marks a read of which entries can't be read. */
function partOf (wire: unknown, items: readonly StoreItem[]): Pick<StoreRead, 'isPartial'> {
  return Array.isArray(wire) && wire.length > items.length ? { isPartial: true } : {}
}

/** Changes under a prefix, deletions included; undefined when there is no list of events. */
function parseChanges (wire: unknown): Omit<StoreRead, 'version'> | undefined {
  if (!Array.isArray(wire)) return undefined
  const events = wire.map(parseEvent).filter(event => event !== undefined)
  const last = lastChanges(events)
  return {
    items: last.map(({ item }) => item).filter(item => item !== undefined),
    deleted: last.filter(({ item }) => item === undefined).map(({ key }) => key),
    ...events.length < wire.length ? { isPartial: true } : {}
  }
}

function lastKeyOf (items: unknown): string | undefined {
  const last: unknown = Array.isArray(items) ? items[items.length - 1] : undefined
  const key = typeof last === 'object' && last !== null ? (last as { readonly key?: unknown }).key : undefined
  return typeof key === 'string' ? key : undefined
}

function errorKindOf (status: number): StoreErrorKind {
  if (status === 404) return 'not-found'
  return status === 410 ? 'history-gone' : 'refused'
}

/** Reads of the store. */
export interface IStoreReads {
  /** Reads one key. */
  key (key: string): Promise<Result<StoreRead, StoreError>>
  /** Reads all keys under a prefix, page by page; the version is that of the first page. */
  range (prefix: string): Promise<Result<StoreRead, StoreError>>
  /** Waits for changes after a revision; an empty read means that there were none. Deletions are omitted unless `withDeletions` is true. */
  watch (prefix: string, after: number, times: WatchTimes, withDeletions?: boolean): Promise<Result<StoreRead, StoreError>>
}

export class StoreClient implements IStoreReads {
  readonly #address: string
  readonly #port: number
  readonly #metrics: GatewayMetrics
  readonly #agents: Readonly<Record<CallKind, EndpointAgent>> = { key: new EndpointAgent(), range: new EndpointAgent(), watch: new EndpointAgent() }

  constructor (address: string, port: number, metrics: GatewayMetrics) {
    this.#address = address
    this.#port = port
    this.#metrics = metrics
  }

  async key (key: string): Promise<Result<StoreRead, StoreError>> {
    const response = await this.#get('key', `/v1/kv-key?key=${encodeURIComponent(key)}`, READ_TIMEOUT_MS)
    return response.andThen(({ body, version }) => {
      const item = parseItem(body)
      return item === undefined ? err(this.#error('malformed', 'no item')) : ok({ items: [item], version })
    })
  }

  async range (prefix: string): Promise<Result<StoreRead, StoreError>> {
    const items: StoreItem[] = []
    let part: Pick<StoreRead, 'isPartial'> = {}
    let first: ListVersion | undefined
    let after = ''
    for (let page = 0; page < MAX_PAGES; page++) {
      const query = `path_prefix=${encodeURIComponent(prefix)}${after === '' ? '' : `&after=${encodeURIComponent(after)}`}`
      const response = await this.#get('range', `/v1/kv-range?${query}`, READ_TIMEOUT_MS)
      if (response.isErr()) return err(response.error)
      const { body, version } = response.value
      first ??= version
      if (version.epoch !== first.epoch) return err(this.#error('history-gone', 'restored between two pages'))
      const found = parseItems(body.items)
      if (found === undefined) return err(this.#error('malformed', 'no items'))
      items.push(...found)
      part = { ...part, ...partOf(body.items, found) }
      const last = lastKeyOf(body.items)
      if (body.has_more !== true || last === undefined) return ok({ items, version: first, ...part })
      after = last
    }
    return err(this.#error('malformed', `more than ${MAX_PAGES} pages`))
  }

  async watch (prefix: string, after: number, { waitMs, timeoutMs }: WatchTimes, withDeletions = false): Promise<Result<StoreRead, StoreError>> {
    const query = `path_prefix=${encodeURIComponent(prefix)}&after=${after}&wait_ms=${waitMs}`
    const response = await this.#get('watch', `/v1/kv-watch?${query}`, timeoutMs)
    return response.andThen(({ body, version }) => {
      const items = withDeletions ? undefined : parseItems(body.events)
      const changes = withDeletions ? parseChanges(body.events) : items && { items }
      return changes === undefined ? err(this.#error('malformed', 'no events')) : ok({ ...changes, version })
    })
  }

  close (): void {
    Object.values(this.#agents).forEach(agent => agent.destroy())
  }

  async #get (kind: CallKind, target: string, timeoutMs: number): Promise<Result<VersionedResponse, StoreError>> {
    const response = await httpGet({ agent: this.#agents[kind], address: this.#address, port: this.#port }, target, timeoutMs)
    const result = response
      .mapErr(e => this.#error('unreachable', `${e.step}: ${e.reason}`))
      .andThen(({ status, headers, text }) => status === 200 ? this.#parse(headers, text) : err(this.#error(errorKindOf(status), `status ${status}`)))
    this.#metrics.platformCalls.inc({ kind, result: result.isOk() ? 'ok' : result.error.kind })
    return result
  }

  #parse (headers: HeaderList, text: string): Result<VersionedResponse, StoreError> {
    try {
      const body = JSON.parse(text) as WireResponse
      const version = { epoch: Number(getHeader(headers, HEADER.storeEpoch) ?? 0), revision: Number(body.at ?? NaN) }
      const isValid = Number.isSafeInteger(version.epoch) && version.epoch >= 0 && Number.isSafeInteger(version.revision) && version.revision >= 0
      return isValid ? ok({ body, version }) : err(this.#error('malformed', 'no version'))
    } catch (e) {
      return err(this.#error('malformed', (e as Error).message))
    }
  }

  #error (kind: StoreErrorKind, reason: string): StoreError {
    return { step: 'store', peer: `${this.#address}:${this.#port}`, kind, reason }
  }
}
