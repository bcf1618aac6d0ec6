/** Client of the platform: configuration and instance list. Every call is counted, because the platform limits calls. */
import { err, ResultAsync, type Result } from 'neverthrow'
import { Agent, request } from 'undici'
import { readText } from '../../common/http/BoundedText.js'
import type { WatchTimes } from '../../common/peers/ConfigSchedule.js'
import type { PlatformList } from '../../common/Types.js'
import type { LinkFilter } from '../fleet/LinkFilter.js'
import type { Metrics } from '../telemetry/Metrics.js'

const RESPONSE_TIMEOUT_MS = 3_000
const MAX_RESPONSE_BYTES = 67_108_864 // the largest voted file and list

/** The latest configuration published on the platform. */
export interface PublishedFile {
  readonly revision: number
  readonly text: string
}

/** Reason that a read failed. */
export interface PlatformError {
  readonly step: 'connect' | 'read'
  readonly peer: 'platform'
  readonly detail: string
}

function platformError (step: PlatformError['step'], e: unknown): PlatformError {
  return { step, peer: 'platform', detail: e instanceof Error ? e.message : String(e) }
}

/** Reads and long-polls the platform over HTTP. */
export class PlatformClient {
  readonly #base: string
  readonly #metrics: Metrics
  readonly #links: LinkFilter
  readonly #agent = new Agent({ connections: 4 })

  constructor (base: string, metrics: Metrics, links: LinkFilter) {
    this.#base = base
    this.#metrics = metrics
    this.#links = links
  }

  /** Long-polls for a configuration revision other than `after`. */
  async revision (after: number, { waitMs, timeoutMs }: WatchTimes): Promise<Result<number, PlatformError>> {
    return await this.#get(`/v1/config/revision?after=${after}&waitMs=${waitMs}`, 'watch', timeoutMs, body => {
      const revision = (JSON.parse(body.text) as { readonly revision?: unknown }).revision
      if (typeof revision !== 'number') throw new Error('revision is missing or not a number')
      return revision
    }, AbortSignal.timeout(timeoutMs)) // the client's own timeouts are up to a second late
  }

  /** Reads the latest configuration. */
  async file (): Promise<Result<PublishedFile, PlatformError>> {
    return await this.#get('/v1/config', 'config', RESPONSE_TIMEOUT_MS, body => {
      if (!Number.isFinite(body.revision)) throw new Error('header x-revision is missing or not a number')
      return body
    })
  }

  /** Long-polls up to `waitMs` for a list whose revision differs from `after`. */
  async list (after: number, waitMs: number): Promise<Result<PlatformList, PlatformError>> {
    return await this.#get(`/v1/list?after=${after}&waitMs=${waitMs}`, 'list', waitMs + RESPONSE_TIMEOUT_MS, body => {
      const list = JSON.parse(body.text) as Partial<PlatformList>
      if (!Array.isArray(list.instances) || !Array.isArray(list.endpoints) || typeof list.revision !== 'number') throw new Error('malformed instance list')
      return list as PlatformList
    })
  }

  /** Closes all connections. */
  async close (): Promise<void> {
    await this.#agent.destroy()
  }

  async #get<T> (path: string, kind: string, timeoutMs: number, parse: (body: PublishedFile) => T, signal?: AbortSignal): Promise<Result<T, PlatformError>> {
    if (!this.#links.passes('platform')) return err(platformError('connect', 'link is down'))
    this.#metrics.platformReads.inc({ kind })
    const read = async (): Promise<T> => {
      const timeouts = { headersTimeout: timeoutMs, bodyTimeout: RESPONSE_TIMEOUT_MS, signal: signal ?? null }
      const res = await request(this.#base + path, { dispatcher: this.#agent, ...timeouts })
      const text = await readText(res.body, MAX_RESPONSE_BYTES)
      if (res.statusCode !== 200) throw new Error(`status ${res.statusCode}`)
      return parse({ text, revision: Number(res.headers['x-revision']) })
    }
    return await ResultAsync.fromPromise(read(), e => platformError('read', e))
  }
}
