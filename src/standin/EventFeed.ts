/** Feed of load reports and cache events as an endpoint publishes it: late, and with gaps in the cache events. */
import type { ServerResponse } from 'node:http'
import type { LoadReport } from '../common/placement/EndpointLoad.js'
import type { IRandom } from '../common/Services.js'

const REPORT_INTERVAL_MS = 200

/** How late and how lossy the feed is. */
export interface EventFeedSettings {
  readonly loadLagMs: number
  readonly eventLagMs: number
  /** Part of the cache events that are lost, 0 to 1. */
  readonly eventGap: number
}

export class EventFeed {
  readonly #settings: EventFeedSettings
  readonly #random: IRandom
  readonly #loadReport: () => LoadReport
  readonly #subscribers = new Set<ServerResponse>()
  readonly #timers = new Set<NodeJS.Timeout>()
  #seq = 0
  #paused = false

  constructor (settings: EventFeedSettings, random: IRandom, report: () => LoadReport) {
    this.#settings = settings
    this.#random = random
    this.#loadReport = report
    const timer = setInterval(() => this.#publishLoad(), REPORT_INTERVAL_MS)
    this.#timers.add(timer)
  }

  /** Stops or starts publishing, as a fault. */
  setPaused (paused: boolean): void {
    this.#paused = paused
  }

  /** Adds a reader until its connection closes; it gets a report at once. */
  subscribe (res: ServerResponse): void {
    res.writeHead(200, { 'content-type': 'text/event-stream' })
    res.write(this.#formatEvent('load', this.#loadReport()))
    this.#subscribers.add(res)
    res.on('close', () => this.#subscribers.delete(res))
  }

  /** Tells that chats' prefixes were evicted. */
  publishEvictions (keys: readonly string[]): void {
    const seq = ++this.#seq
    if (keys.length === 0 || this.#random.next() < this.#settings.eventGap) return
    this.#writeDelayed(this.#settings.eventLagMs, this.#formatEvent('cache', { seq, evicted: keys }))
  }

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
