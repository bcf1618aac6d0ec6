/** Reads one endpoint's event stream of load reports and cache evictions, and reconnects when it ends. */
import { Disposable, toDisposable } from '../../common/Disposable.js'
import { Emitter } from '../../common/Emitter.js'
import type { EndpointInfo } from '../../common/config/VotedConfig.js'
import type { LoadReport } from '../../common/placement/EndpointLoad.js'
import type { Dispatcher } from 'undici'
import { startExchange, type HttpExchange } from './HttpExchange.js'
import type { LinkFilter } from '../fleet/LinkFilter.js'

const RECONNECT_DELAY_MS = 300
const IDLE_TIMEOUT_MS = 5_000 // an idle feed is reconnected
const MAX_EVENT_BYTES = 1_048_576

/** Event stream of one endpoint; connects when constructed. */
export class EndpointFeed extends Disposable {
  readonly #endpoint: EndpointInfo
  readonly #agent: Dispatcher
  readonly #links: LinkFilter
  readonly #reported = this.own(new Emitter<LoadReport>())
  readonly #evicted = this.own(new Emitter<readonly string[]>())
  #exchange: HttpExchange | undefined
  #timer: NodeJS.Timeout | undefined
  #buffer = ''

  /** Fires for each load report. */
  readonly onReport = this.#reported.event
  /** Fires with the prefix keys of chats whose prefix the engine evicted. */
  readonly onEvicted = this.#evicted.event

  constructor (endpoint: EndpointInfo, agent: Dispatcher, links: LinkFilter) {
    super()
    this.#endpoint = endpoint
    this.#agent = agent
    this.#links = links
    this.own(toDisposable(() => {
      clearTimeout(this.#timer)
      this.#exchange?.abort()
    }))
    this.#connect()
  }

  #connect (): void {
    if (this.isDisposed) return
    if (!this.#links.passes(this.#endpoint.id)) {
      this.#scheduleReconnect()
      return
    }
    this.#buffer = ''
    this.#exchange = startExchange(this.#agent, {
      origin: `http://${this.#endpoint.address}`,
      path: '/v1/events',
      method: 'GET',
      headers: { accept: 'text/event-stream' },
      headersTimeoutMs: IDLE_TIMEOUT_MS,
      bodyTimeoutMs: IDLE_TIMEOUT_MS
    }, {
      onHead: () => {},
      onData: chunk => this.#onData(chunk),
      onEnd: () => this.#scheduleReconnect(),
      onError: () => this.#scheduleReconnect()
    })
  }

  #scheduleReconnect (): void {
    if (!this.isDisposed) this.#timer = setTimeout(() => this.#connect(), RECONNECT_DELAY_MS)
  }

  #onData (chunk: Buffer): void {
    if (!this.#links.passes(this.#endpoint.id)) {
      this.#exchange?.abort()
      return
    }
    const events = (this.#buffer + chunk.toString()).split('\n\n')
    this.#buffer = events.pop()!
    if (this.#buffer.length > MAX_EVENT_BYTES) this.#exchange?.abort()
    for (const event of events) this.#dispatchEvent(event)
  }

  /** Drops malformed events: a lost event may cost a cache miss, but never a wrong response. */
  #dispatchEvent (event: string): void {
    const data = /^data: (.*)$/m.exec(event)?.[1] ?? ''
    try {
      if (event.startsWith('event: load')) this.#reported.fire(JSON.parse(data) as LoadReport)
      if (event.startsWith('event: cache')) this.#evicted.fire((JSON.parse(data) as { readonly evicted: readonly string[] }).evicted)
    } catch {
      // malformed event
    }
  }
}
