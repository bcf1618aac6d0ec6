/** Server-sent events of an endpoint: load reports and cache evictions, delayed and with lost cache events. */
import type { ServerResponse } from 'node:http'
import type { LoadReport } from '../common/placement/EndpointLoad.js'
import type { IRandom } from '../common/Services.js'

/** Interval of load reports. */
const REPORT_INTERVAL_MS = 200

/** Delays and loss of the events. */
export interface EventFeedSettings {
  /** Delay of load reports in ms. */
  readonly loadLagMs: number
  /** Delay of cache events in ms. */
  readonly eventLagMs: number
  /** Probability that a cache event is lost, 0 to 1. Its sequence number is used up, so that subscribers can detect the gap. */
  readonly eventGap: number
}

/** Sends events to all subscribers until it is closed. */
export class EventFeed {
  readonly #settings: EventFeedSettings
  readonly #random: IRandom
  readonly #loadReport: () => LoadReport
  readonly #subscribers = new Set<ServerResponse>()
  readonly #timers = new Set<NodeJS.Timeout>()
  #seq = 0
  #paused = false

  constructor (settings: EventFeedSettings, random: IRandom, loadReport: () => LoadReport) {
    this.#settings = settings
    this.#random = random
    this.#loadReport = loadReport
    const timer = setInterval(() => this.#publishLoad(), REPORT_INTERVAL_MS)
    this.#timers.add(timer)
  }

  /** Suspends or resumes publishing, for fault injection. */
  setPaused (paused: boolean): void {
    this.#paused = paused
  }

  /** Adds a subscriber until its connection closes and sends it a load report immediately. */
  subscribe (res: ServerResponse): void {
    res.writeHead(200, { 'content-type': 'text/event-stream' })
    res.write(this.#formatEvent('load', this.#loadReport()))
    this.#subscribers.add(res)
    res.on('close', () => this.#subscribers.delete(res))
  }

  /** Publishes the prefix keys that lost cached segments. */
  publishEvictions (keys: readonly string[]): void {
    const seq = ++this.#seq
    if (keys.length === 0 || this.#random.next() < this.#settings.eventGap) return
    this.#writeDelayed(this.#settings.eventLagMs, this.#formatEvent('cache', { seq, evicted: keys }))
  }

  /** Stops publishing and ends the streams of all subscribers. */
  close (): void {
    for (const timer of this.#timers) clearInterval(timer)
    for (const res of this.#subscribers) res.end()
  }

  #publishLoad (): void {
    this.#writeDelayed(this.#settings.loadLagMs, this.#formatEvent('load', this.#loadReport()))
  }

  #writeDelayed (ms: number, line: string): void {
    if (this.#paused || this.#subscribers.size === 0) return
    setTimeout(() => { for (const res of this.#subscribers) res.write(line) }, ms)
  }

  #formatEvent (event: string, data: unknown): string {
    return `event: ${event}\ndata: ${JSON.stringify(data)}\n\n`
  }
}
