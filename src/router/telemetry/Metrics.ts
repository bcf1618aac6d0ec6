/** Prometheus metrics of a router. */
import { Counter, Gauge, Histogram, Registry, collectDefaultMetrics } from 'prom-client'

const EVENT_LOOP_PRECISION_MS = 200 // a finer timer costs more than all other control work

/** Metrics registry of one router. */
export class Metrics {
  readonly registry = new Registry()
  readonly requests = new Counter({
    name: 'radishloft_requests_total', help: 'Requests by route, outcome and error code.', labelNames: ['route', 'outcome', 'code'], registers: [this.registry]
  })

  readonly firstToken = new Histogram({
    name: 'radishloft_first_token_seconds', help: 'Time to the first event of a chat.', buckets: [0.01, 0.03, 0.1, 0.3, 0.7, 1.4, 3, 10], registers: [this.registry]
  })

  readonly placements = new Counter({ name: 'radishloft_placements_total', help: 'Placements by reason.', labelNames: ['reason'], registers: [this.registry] })
  readonly retries = new Counter({ name: 'radishloft_retries_total', help: 'Attempts after the first, by cause.', labelNames: ['cause'], registers: [this.registry] })
  readonly connectionRefusals = new Counter({
    name: 'radishloft_connection_refusals_total', help: 'Connections closed and requests refused, by the limit of callers\' connections.', labelNames: ['reason'], registers: [this.registry]
  })

  readonly keyedCalls = new Counter({ name: 'radishloft_keyed_calls_total', help: 'Calls with a key, by the owner\'s action.', labelNames: ['action'], registers: [this.registry] })
  readonly controlBytes = new Counter({
    name: 'radishloft_control_bytes_total', help: 'Bytes between instances that carry no request.', labelNames: ['direction', 'kind'], registers: [this.registry]
  })

  readonly platformReads = new Counter({ name: 'radishloft_platform_reads_total', help: 'Calls to the platform.', labelNames: ['kind'], registers: [this.registry] })
  readonly members = new Gauge({ name: 'radishloft_members', help: 'Instances by state as seen here.', labelNames: ['state'], registers: [this.registry] })
  readonly configRevision = new Gauge({ name: 'radishloft_config_revision', help: 'Revision of the file in force.', registers: [this.registry] })
  readonly inFlight = new Gauge({ name: 'radishloft_in_flight_requests', help: 'Requests accepted from callers and not yet ended.', registers: [this.registry] })

  readonly #totals = { sent: 0, received: 0 }

  /** Counts control traffic in bytes. */
  countControlBytes (direction: 'sent' | 'received', kind: string, bytes: number): void {
    this.#totals[direction] += bytes
    this.controlBytes.inc({ direction, kind }, bytes)
  }

  /** Bytes of control traffic since the start. */
  controlTotals (): { readonly sent: number, readonly received: number } {
    return { ...this.#totals }
  }

  constructor () {
    collectDefaultMetrics({ register: this.registry, eventLoopMonitoringPrecision: EVENT_LOOP_PRECISION_MS })
  }
}
