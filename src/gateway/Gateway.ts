/** Composition root of a gateway: builds its tasks, starts them, and drains requests in flight before it stops. */
import { setTimeout as sleep } from 'node:timers/promises'
import { getHeapStatistics } from 'node:v8'
import { Disposable } from '../common/Disposable.js'
import { connectionLimits } from '../common/limits/ConnectionLimits.js'
import { SharedRetryBudget, type IFleetView, type RetryLimits } from '../common/limits/SharedRetryBudget.js'
import type { GatewayStatus } from '../common/GatewayStatus.js'
import { hashString } from '../common/Hash.js'
import { instanceJitter, readWaitMs } from '../common/peers/ReaderElection.js'
import type { ListVersion } from '../common/generated/PeerDatagram.js'
import type { WatchTimes } from '../common/peers/ConfigSchedule.js'
import type { ViewVersion } from '../common/peers/ViewVersion.js'
import { acceptMs } from '../common/routing/DrainWindow.js'
import type { EndpointList, RoutingConfig } from '../common/routing/Types.js'
import type { IClock, IEvent, IRandom } from '../common/Services.js'
import { probeByConnecting } from '../router/engines/ConnectProbe.js'
import type { Log } from '../router/telemetry/Log.js'
import { CallerServer } from './CallerServer.js'
import { ConfigHolder, type ConfigChange } from './ConfigHolder.js'
import { ConfigReads, type OperatorBounds } from './ConfigReads.js'
import { EndpointLimiter, shareOf } from './EndpointLimiter.js'
import { EndpointPool } from './EndpointPool.js'
import { EvacuationHolder } from './EvacuationHolder.js'
import { GatewayMetrics } from './GatewayMetrics.js'
import { createGatewayStatus } from './GatewayStatus.js'
import { GossipTask, type IGossipHost } from './GossipTask.js'
import { MembershipTask } from './MembershipTask.js'
import { LIST_TOPIC } from './Peers.js'
import { PermitTask } from './PermitTask.js'
import { PromptGuard } from './PromptGuard.js'
import { RequestLog } from './RequestLog.js'
import { SessionAffinityTask } from './SessionAffinityTask.js'
import { SnapshotExchange } from './SnapshotExchange.js'
import { StatusServer } from './StatusServer.js'
import type { IRequestCodec } from './Types.js'

const STOP_POLL_MS = 50
const MIN_DRAIN_MS = 4_000
const STOP_MARGIN_MS = 450 // left before the platform kills the process
const LINGER_MS = 150 // of that margin, for callers to read their last answers
const BODY_MEMORY_FRACTION = 0.25 // of the memory for bodies of callers; each is held up to twice while it is joined

/** An address to listen on. */
export interface ListenAddress {
  readonly address: string
  readonly port: number
}

/** Settings of a gateway. */
export interface GatewaySettings extends OperatorBounds {
  readonly id: string
  readonly dataCentre: string
  readonly callers: ListenAddress
  readonly readiness: ListenAddress
  readonly readinessPath: string
  /** UDP and TCP port for traffic between gateways, the same on all of them; the address is that of `metrics`. */
  readonly peerPort: number
  /** Addresses of possible peers, contacted at the start; the same for the whole fleet. */
  readonly seeds: readonly string[]
  readonly metrics: ListenAddress
  readonly metricsPath: string
  /** Time between the stop signal and the end of the process. */
  readonly graceMs: number
  /** Retries to a service as a fraction of the requests for it, over all instances. */
  readonly retryRatio: number
  /** Retries to a service allowed beyond that fraction, over all instances. */
  readonly retryBurst: number
  /** Time over which these retries are counted. */
  readonly retryWindowMs: number
  /** Memory that the process may take. */
  readonly memoryBytes: number
  /** Region of each data centre. */
  readonly regions?: ReadonlyMap<string, string>
  /** Descriptors that the process may have open. */
  readonly maxDescriptors: number
}

export class Gateway extends Disposable {
  #settings: GatewaySettings
  readonly #clock: IClock
  readonly #log: Log
  readonly #metrics: GatewayMetrics
  readonly #config: ConfigHolder
  readonly #configReads: ConfigReads
  /** Undefined where data centres are never evacuated. */
  readonly #evacuations: EvacuationHolder | undefined
  readonly #pool: EndpointPool
  readonly #callerServer: CallerServer
  readonly #statusServers: StatusServer[]
  readonly #peers: MembershipTask
  readonly #gossip: GossipTask
  readonly #snapshots: SnapshotExchange
  readonly #promptGuard: PromptGuard
  readonly #retryBudgets = new Map<string, SharedRetryBudget>()
  #stopping = false

  constructor (settings: GatewaySettings, clock: IClock, random: IRandom, codec: IRequestCodec, metrics: GatewayMetrics, log: Log) {
    super()
    this.#settings = settings
    this.#clock = clock
    this.#log = log
    this.#metrics = metrics
    this.#config = this.own(new ConfigHolder(clock))
    const { evacuationMs, regions: regionOf } = settings
    this.#evacuations = evacuationMs === undefined ? undefined : this.own(new EvacuationHolder(evacuationMs, clock, log))
    metrics.evacuations = () => this.#evacuations?.ages ?? []
    const limits = connectionLimits({ ...settings, heapBytes: getHeapStatistics().heap_size_limit })
    this.#pool = this.own(new EndpointPool(clock, log, { evacuations: this.#evacuations, regionOf, maxIdleConnections: limits.maxIdleEndpointConnections }))
    metrics.configAgeMs = () => this.#config.ageMs
    this.own(this.#config.onChange(change => this.#onConfigChange(change)))
    const self = { id: settings.metrics.address, dataCentre: settings.dataCentre, address: settings.metrics.address, peerPort: settings.peerPort }
    this.#peers = this.own(new MembershipTask(self, settings.seeds, clock, random, metrics, log, () => this.#config.revision))
    this.#gossip = this.own(new GossipTask(this.#peers, clock, random, log, this.#gossipHost()))
    this.#configReads = new ConfigReads(this.#config, this.#peers, this.#gossip, settings)
    this.#snapshots = this.own(new SnapshotExchange(this.#snapshotSource(), clock, log))
    const sessionAffinity = this.own(new SessionAffinityTask(this.#peers, clock, this.#pool))
    this.#promptGuard = this.own(new PromptGuard(
      this.#peers, clock, random, log, part => permits.take('part', part), probeByConnecting, part => permits.release('part', part)
    ))
    this.own(this.#pool.table.onChange(({ endpoint, kind }) => { if (kind === 'gone') this.#promptGuard.recordGone(endpoint) }))
    const limiter: EndpointLimiter = new EndpointLimiter(clock, (endpoint, scope) => permits.take(scope, endpoint),
      () => shareOf(this.#peers.fleet, this.#peers.usable().items.length), hashString(settings.id))
    const permits: PermitTask = this.own(new PermitTask(this.#peers, clock, {
      part: (part, now) => this.#promptGuard.issueTrial(part, now),
      endpoint: (endpoint, now) => limiter.issue(this.#pool.get(endpoint), now),
      cold: (endpoint, now) => limiter.issueCold(this.#pool.get(endpoint), now)
    }, { part: part => this.#promptGuard.endLease(part) }))
    const services = {
      clock,
      codec,
      metrics,
      sessionAffinity,
      promptGuard: this.#promptGuard,
      probe: probeByConnecting,
      limiter,
      pool: this.#pool,
      config: this.#config,
      dataCentre: settings.dataCentre,
      systemLog: log,
      log: new RequestLog(log, clock),
      retryBudget: (service: string) => this.#retryBudget(service)
    }
    this.#callerServer = this.own(new CallerServer(services, settings.memoryBytes * BODY_MEMORY_FRACTION, limits))
    const source = { readinessPath: settings.readinessPath, metricsPath: settings.metricsPath, metrics, ready: () => this.ready }
    this.own(this.#config.onChange(() => this.#gossip.gossipChange()))
    if (this.#evacuations !== undefined) this.own(this.#evacuations.onChange(() => this.#gossip.gossipChange()))
    this.#statusServers = [this.own(new StatusServer(source)), this.own(new StatusServer({ ...source, status: () => this.status }))]
  }

  /** True when the load balancer should send callers to this gateway. */
  get ready (): boolean {
    const knowsPlatform = this.#config.table !== undefined && this.#pool.listAgeMs !== Infinity && this.#evacuations?.isKnown !== false
    return !this.#stopping && knowsPlatform && this.#promptGuard.isReady
  }

  /** Revision of the configuration in force; 0 before the first. */
  get configRevision (): number {
    return this.#config.revision
  }

  /** State for operators. */
  get status (): GatewayStatus {
    const { id, dataCentre } = this.#settings
    const parts = { id, dataCentre, ready: this.ready, config: this.#config, pool: this.#pool, evacuations: this.#evacuations, peers: this.#peers }
    return createGatewayStatus(parts, this.#clock.nowMs())
  }

  /** Applies a configuration that was read from the platform, unless a newer one is in force. @param ageMs time since the platform had no newer one. */
  updateConfig (config: RoutingConfig, ageMs: number): void {
    this.#configReads.update(config, ageMs)
  }

  /** Records that the platform had no newer configuration and no other evacuations `ageMs` ago than those that were read last. */
  confirmConfig (ageMs: number): void {
    this.#evacuations?.confirm(ageMs)
    this.#configReads.confirm(ageMs)
  }

  /** True where data centres may be evacuated. */
  get followsEvacuations (): boolean {
    return this.#evacuations !== undefined
  }

  /** Applies the evacuations that were read from the platform. @param ageMs time since the read began. */
  updateEvacuations (dataCentres: readonly string[], version: ListVersion, ageMs: number): void {
    this.#evacuations?.update(dataCentres, version, ageMs)
  }

  /** Applies evacuations that were read from the platform, where others may have been missed. */
  addEvacuations (dataCentres: readonly string[], version: ListVersion): void {
    this.#evacuations?.add(dataCentres, version)
  }

  /** Applies a list of endpoints that was read from the platform; returns false when it is older than the last one. @param ageMs time since the read began. */
  updateEndpoints (list: EndpointList, ageMs: number): boolean {
    const applied = this.#applyEndpoints(list, ageMs)
    if (applied) this.#gossip.broadcastListRead()
    return applied
  }

  /** Records that a read of the list of endpoints failed. @param ageMs time since that read began. */
  endpointReadFailed (ageMs: number): void {
    this.#pool.readFailed(ageMs)
  }

  /** True when this gateway watches the configuration for its data centre. */
  get isConfigReader (): boolean {
    return this.#configReads.isReader
  }

  /** Time since a read of this gateway or of a peer confirmed the configuration. */
  get configAgeMs (): number {
    return this.#config.ageMs
  }

  /** Fires when this gateway becomes or ceases to be a reader of its data centre. */
  get onReaderChange (): IEvent<void> {
    return this.#peers.onReaderChange
  }

  /** Times of the next watch of the configuration. */
  get configWatch (): WatchTimes {
    return this.#configReads.watch
  }

  /** Time until this gateway should read the configuration from the platform, given the age confirmed by reads of its own and of peers. */
  configWaitMs (): number {
    return this.#configReads.waitMs
  }

  /** Time until this gateway should read the list of endpoints, given the age confirmed by reads of its own and of peers. */
  listWaitMs (intervalMs: number): number {
    return readWaitMs(this.#peers.isReader(LIST_TOPIC), this.#pool.listAgeMs, intervalMs, instanceJitter(this.#settings.id))
  }

  async start (): Promise<void> {
    const { callers, readiness, metrics, peerPort } = this.#settings
    await this.#snapshots.listen(metrics.address, peerPort)
    await this.#peers.start()
    this.#gossip.start()
    this.#promptGuard.start()
    await this.#callerServer.listen(callers.address, callers.port)
    await this.#statusServers[0]!.listen(readiness.address, readiness.port)
    await this.#statusServers[1]!.listen(metrics.address, metrics.port)
    this.#log.info({ step: 'start', callers: `${callers.address}:${callers.port}` }, 'listening')
  }

  /** Applies settings that changed at run time; addresses and the bound of evacuations keep their values from the start. */
  reload (settings: GatewaySettings): void {
    const { graceMs, retryRatio, retryBurst, retryWindowMs, configApplyMs } = settings
    this.#settings = { ...this.#settings, graceMs, retryRatio, retryBurst, retryWindowMs, configApplyMs }
    this.#configReads.setBounds(this.#settings)
    this.#log.info({ step: 'reload', configApplyMs, graceMs, retryRatio, retryBurst, retryWindowMs }, 'settings reloaded')
  }

  /** Stops gracefully: reports unready at once, still serves requests that arrive while the load balancer sends some, and then ends those in flight. */
  async stop (): Promise<void> {
    const startedAt = this.#clock.nowMs()
    const elapsed = (): number => this.#clock.nowMs() - startedAt
    const { graceMs } = this.#settings
    this.#stopping = true
    this.#peers.leave()
    this.#callerServer.drain({ startedAt, graceMs })
    this.#log.info({ step: 'stop', inFlight: this.#callerServer.active, graceMs }, 'stopping')
    await sleep(acceptMs(graceMs))
    while (elapsed() < graceMs - STOP_MARGIN_MS) {
      this.#callerServer.closeIdle()
      if (elapsed() > MIN_DRAIN_MS && this.#callerServer.active === 0) break
      await sleep(STOP_POLL_MS)
    }
    await this.#callerServer.close(LINGER_MS)
    this.#log.info({ step: 'stop', cut: this.#callerServer.active, afterMs: Math.round(elapsed()) }, 'stopped')
    this.dispose()
  }

  #onConfigChange ({ table, from, unconfirmedMs }: ConfigChange): void {
    const { revision, routes, services, accounts } = table.config
    const counts = { routes: routes.length, services: services.length, accounts: accounts?.length ?? 0 }
    this.#log.info({ step: 'config', revision, from, unconfirmedMs: toWholeMs(unconfirmedMs), ...counts }, 'configuration in force')
    this.#metrics.configRevision.set(revision)
    this.#pool.updateServices(services)
    this.#countCold()
  }

  /** Records that the platform had nothing newer `ageMs` ago: its configuration and its evacuations are read together. */
  #confirmConfig (ageMs: number): void {
    this.#config.confirm(ageMs)
    this.#evacuations?.confirm(ageMs)
  }

  #applyEndpoints (list: EndpointList, ageMs: number): boolean {
    const before = this.#pool.table.digest
    const applied = this.#pool.update(list, ageMs)
    this.#countCold()
    if (this.#pool.table.digest !== before) this.#gossip.gossipChange()
    return applied
  }

  #countCold (): void {
    this.#metrics.coldEndpoints.set(this.#pool.coldEndpoints)
  }

  #viewVersion (): ViewVersion {
    const { version: listVersion, digest: listDigest } = this.#pool.table
    return { configRevision: this.#config.revision, configAgeMs: this.#config.ageMs, listVersion, listDigest, listAgeMs: this.#pool.listAgeMs }
  }

  #gossipHost (): IGossipHost {
    return {
      viewVersion: () => this.#viewVersion(),
      loadReports: () => this.#pool.loadReports(),
      mergeLoadReports: (peer, reports) => this.#pool.mergeLoadReports(peer, reports),
      limitReports: () => this.#pool.limitReports(),
      mergeLimitReports: reports => this.#pool.mergeLimitReports(reports),
      evacuationReport: () => this.#evacuations?.report,
      mergeEvacuations: (peer, report) => this.#evacuations?.merge(peer, report) !== false,
      confirmConfig: ageMs => this.#confirmConfig(ageMs),
      confirmList: (version, ageMs) => {
        this.#pool.confirm(version, ageMs)
        this.#countCold()
      },
      fetch: (kind, from, ageMs) => {
        this.#snapshots.fetch(kind, from, ageMs).catch((e: unknown) => this.#log.error({ step: 'peers', part: kind, err: String(e) }, 'snapshot fetch failed'))
      }
    }
  }

  #snapshotSource (): ConstructorParameters<typeof SnapshotExchange>[0] {
    const config = this.#config
    const { table } = this.#pool
    return {
      get config () { return config.table?.config },
      get endpoints () { return table.list },
      updateConfig: (value, from, ageMs) => this.#config.update(value, from, ageMs),
      updateEndpoints: (list, ageMs) => this.#applyEndpoints(list, ageMs)
    }
  }

  /** This gateway's part of the retries that all gateways together may make to a service. */
  #retryBudget (service: string): SharedRetryBudget {
    this.#metrics.knownGateways.set(this.#peers.fleet.instances)
    let budget = this.#retryBudgets.get(service)
    if (budget === undefined) {
      budget = new SharedRetryBudget(() => this.#retryLimits, () => this.#fleetView(hashString(service)), this.#clock.nowMs())
      this.#retryBudgets.set(service, budget)
    }
    return budget
  }

  get #retryLimits (): RetryLimits {
    const { retryRatio: ratio, retryBurst: burst, retryWindowMs: windowMs } = this.#settings
    return { ratio, burst, windowMs }
  }

  /** The fleet as this gateway sees it, in the order of `key`. */
  #fleetView (key: number): IFleetView {
    const { self, fleet } = this.#peers
    const isAmongFirst = (count: number): boolean => this.#peers.usable().subset(key, count).items.includes(self.id)
    const now = this.#clock.nowMs()
    return { instances: fleet.instances, fraction: fleet.seedFraction(now), knownMs: fleet.knownMs(now), isAmongFirst }
  }
}

/** Whole milliseconds for a log; undefined for what never was. */
function toWholeMs (ms: number): number | undefined {
  return ms === Infinity ? undefined : Math.round(ms)
}
