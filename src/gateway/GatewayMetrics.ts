/** Prometheus metrics of a gateway. The deep imports leave out prom-client's default metrics, which take 9 MB of memory. */
import type { EvacuationAge } from '../common/routing/EvacuationSet.js'
import Counter from 'prom-client/lib/counter.js'
import Gauge from 'prom-client/lib/gauge.js'
import Histogram from 'prom-client/lib/histogram.js'
import Registry from 'prom-client/lib/registry.js'

const LATENCY_BUCKETS_SEC = [0.01, 0.03, 0.06, 0.12, 0.25, 0.5, 0.8, 1.5, 3, 6, 15]

export class GatewayMetrics {
  readonly registry = new Registry()
  readonly requests = new Counter({
    name: 'radishloft_requests_total', help: 'Requests by route kind, status and error code.', labelNames: ['kind', 'status', 'code'], registers: [this.registry]
  })

  readonly latency = new Histogram({
    name: 'radishloft_request_seconds', help: 'Time to the end of the answer, by kind of route.', labelNames: ['kind'], buckets: LATENCY_BUCKETS_SEC, registers: [this.registry]
  })

  readonly attempts = new Counter({ name: 'radishloft_attempts_total', help: 'Attempts at endpoints by result.', labelNames: ['service', 'result'], registers: [this.registry] })
  readonly retries = new Counter({ name: 'radishloft_retries_total', help: 'Decisions on the retry budget that all gateways share.', labelNames: ['service', 'result'], registers: [this.registry] })
  readonly admissions = new Counter({ name: 'radishloft_admissions_total', help: 'Admissions asked for endpoints with a limit, by result.', labelNames: ['limit', 'result'], registers: [this.registry] })
  readonly placements = new Counter({ name: 'radishloft_placements_total', help: 'Placements by reason.', labelNames: ['reason'], registers: [this.registry] })
  readonly connectionRefusals = new Counter({
    name: 'radishloft_connection_refusals_total', help: 'Connections closed and requests refused, by the limit of callers\' connections.', labelNames: ['reason'], registers: [this.registry]
  })

  readonly platformCalls = new Counter({ name: 'radishloft_platform_calls_total', help: 'Calls to the platform by kind and result.', labelNames: ['kind', 'result'], registers: [this.registry] })
  readonly controlBytes = new Counter({
    name: 'radishloft_control_bytes_total', help: 'Bytes between instances that carry no request.', labelNames: ['direction', 'kind'], registers: [this.registry]
  })

  readonly inFlight = new Gauge({ name: 'radishloft_in_flight_requests', help: 'Requests accepted from callers and not yet ended.', registers: [this.registry] })
  readonly knownGateways = new Gauge({ name: 'radishloft_known_gateways', help: 'Gateways among which the retry burst is divided.', registers: [this.registry] })
  readonly coldEndpoints = new Gauge({ name: 'radishloft_cold_endpoints', help: 'Endpoints that warm up, as of the last list.', registers: [this.registry] })
  readonly configRevision = new Gauge({ name: 'radishloft_config_revision', help: 'Revision of the configuration in force.', registers: [this.registry] })

  /** Time since the configuration in force was last confirmed when metrics are collected. */
  configAgeMs: () => number = () => Infinity
  readonly configAge: Gauge = new Gauge({
    name: 'radishloft_config_age_seconds',
    help: 'Time since a read of this gateway or of a peer confirmed that there is no newer configuration.',
    registers: [this.registry],
    collect: () => this.configAge.set(this.configAgeMs() / 1_000)
  })

  /** The evacuations in force when metrics are collected. */
  evacuations: () => readonly EvacuationAge[] = () => []
  readonly evacuationCount: Gauge = new Gauge({
    name: 'radishloft_evacuations', help: 'Evacuated data centres.', registers: [this.registry], collect: () => this.evacuationCount.set(this.evacuations().length)
  })

  readonly evacuationAge: Gauge = new Gauge({
    name: 'radishloft_evacuation_age_seconds',
    help: 'Time since the first gateway heard of the evacuation of a data centre.',
    labelNames: ['data_centre'],
    registers: [this.registry],
    collect: () => this.#collectAges()
  })

  /** Counts bytes between instances that carry no request. */
  countControlBytes (direction: 'sent' | 'received', kind: string, bytes: number): void {
    this.controlBytes.inc({ direction, kind }, bytes)
  }

  #collectAges (): void {
    this.evacuationAge.reset()
    for (const { dataCentre, ageMs } of this.evacuations()) this.evacuationAge.set({ data_centre: dataCentre }, ageMs / 1_000)
  }
}
