/** Composition root of a gateway: builds its tasks, starts them, and stops without cutting a request. */
import { setTimeout as sleep } from 'node:timers/promises'
import { Disposable } from '../common/Disposable.js'
import { RetryBudget } from '../common/limits/RetryBudget.js'
import type { ViewVersion } from '../common/peers/ViewVersion.js'
import { readWaitMs } from '../common/peers/ReaderElection.js'
import type { EndpointList, RoutingConfig } from '../common/routing/Types.js'
import type { IClock, IRandom } from '../common/Services.js'
import type { Log } from '../router/telemetry/Log.js'
import { ConfigHolder } from './ConfigHolder.js'
import { EndpointPool } from './EndpointPool.js'
import { CallerServer } from './CallerServer.js'
import { GatewayMetrics } from './GatewayMetrics.js'
import { SessionAffinityTask } from './SessionAffinityTask.js'
import { GossipTask, type IGossipHost } from './GossipTask.js'
import { SnapshotExchange } from './SnapshotExchange.js'
import { CONFIG_TOPIC, LIST_TOPIC, MembershipTask, instanceJitter } from './MembershipTask.js'
import { RequestLog } from './RequestLog.js'
import { StatusServer } from './StatusServer.js'
import type { IRequestCodec } from './Types.js'

const STOP_POLL_MS = 50
const IDLE_CLOSE_MS = 3_000 // by then the balancer sends no new connections
const MIN_DRAIN_MS = 4_000
const STOP_MARGIN_MS = 350 // before the platform ends the process
const MIN_PEERS = 4 // a gateway that has just started knows few of its peers
const RETRY_BURST_FRACTION = 0.7 // of the burst that all instances share
const RETRY_RATIO_FRACTION = 0.7 // of the shared ratio; the rest is a margin for windows that differ

/** An address to listen on. */
export interface ListenAddress {
  readonly address: string
  readonly port: number
}

/** Settings of a gateway. */
export interface GatewaySettings {
  readonly id: string
  readonly dataCentre: string
  readonly callers: ListenAddress
  readonly readiness: ListenAddress
  readonly readinessPath: string
  /** UDP and TCP port of the talk between gateways, the same on all of them; the address is that of `metrics`. */
  readonly peerPort: number
  /** Addresses at which peers may be found at the start. */
  readonly seeds: readonly string[]
  readonly metrics: ListenAddress
  readonly metricsPath: string
  /** Time between the order to stop and the end of the process. */
  readonly graceMs: number
  /** Repeated sends to a service, as a part of the requests for it, over all instances. */
  readonly retryRatio: number
  /** Repeated sends to a service above that part, over all instances. */
  readonly retryBurst: number
}

export class Gateway extends Disposable {
  #settings: GatewaySettings
  readonly #clock: IClock
  readonly #log: Log
  readonly #config: ConfigHolder
  readonly #pool: EndpointPool
  readonly #callerServer: CallerServer
  readonly #statusServers: StatusServer[]
  readonly #peers: MembershipTask
  readonly #gossip: GossipTask
  readonly #snapshots: SnapshotExchange
  readonly #retryBudgets = new Map<string, RetryBudget>()
  /** Most gateways that were live at once: one that is cut off must not spend the others' part. */
  #maxLivePeers = MIN_PEERS
  #stopping = false

  constructor (settings: GatewaySettings, clock: IClock, random: IRandom, codec: IRequestCodec, metrics: GatewayMetrics, log: Log) {
    super()
    this.#settings = settings
    this.#clock = clock
    this.#log = log
    this.#config = this.own(new ConfigHolder(clock))
    this.#pool = this.own(new EndpointPool(clock, log))
    this.own(this.#config.onChange(table => {
      const { revision, routes, services, accounts } = table.config
      log.info({ step: 'config', revision, routes: routes.length, services: services.length, accounts: accounts?.length ?? 0 }, 'configuration in force')
      metrics.configRevision.set(revision)
    }))
    const self = { id: settings.metrics.address, dataCentre: settings.dataCentre, address: settings.metrics.address, peerPort: settings.peerPort }
    this.#peers = this.own(new MembershipTask(self, clock, random, metrics, log, () => this.#config.revision))
    this.#gossip = this.own(new GossipTask(this.#peers, clock, random, log, this.#gossipHost()))
    this.#snapshots = this.own(new SnapshotExchange(this.#snapshotSource(), log))
    const sessionAffinity = this.own(new SessionAffinityTask(this.#peers, clock, this.#pool))
    const services = {
      clock,
      codec,
      metrics,
      sessionAffinity: sessionAffinity,
      pool: this.#pool,
      config: this.#config,
      dataCentre: settings.dataCentre,
      systemLog: log,
      log: new RequestLog(log, clock),
      retryBudget: (service: string) => this.#retryBudget(service)
    }
    this.#callerServer = this.own(new CallerServer(services))
    const source = { readinessPath: settings.readinessPath, metricsPath: settings.metricsPath, metrics, ready: () => this.ready }
    this.own(this.#config.onChange(() => this.#gossip.gossipChange()))
    this.#statusServers = [this.own(new StatusServer(source)), this.own(new StatusServer(source))]
  }

  /** True when callers should be sent here. */
  get ready (): boolean {
    return !this.#stopping && this.#config.table !== undefined && this.#pool.listAgeMs !== Infinity
  }

  /** Revision of the configuration in force; 0 before the first. */
  get configRevision (): number {
    return this.#config.revision
  }

  /** Takes a configuration in from the platform. */
  updateConfig (config: RoutingConfig): void {
    this.#config.update(config)
  }

  /** The platform has no newer configuration than what was offered. */
  confirmConfig (): void {
    this.#config.confirm()
  }

  /** Takes the list of endpoints in, as the platform gave it. @param ageMs time since the read began. */
  updateEndpoints (list: EndpointList, ageMs: number): void {
    this.#applyEndpoints(list, ageMs)
    this.#gossip.broadcastListRead()
  }

  /** The list of endpoints could not be read. @param ageMs time since that read began. */
  endpointReadFailed (ageMs: number): void {
    this.#pool.readFailed(ageMs)
  }

  /** True when this gateway waits for configurations on behalf of its data centre. */
  get isConfigReader (): boolean {
    return this.#peers.isReader(CONFIG_TOPIC)
  }

  /** Time until this gateway should ask the platform for the configuration, given what peers told. */
  configWaitMs (intervalMs: number): number {
    return readWaitMs(false, this.#config.ageMs, intervalMs, instanceJitter(this.#settings.id))
  }

  /** Time until this gateway should read the list of endpoints, given what peers told. */
  listWaitMs (intervalMs: number): number {
    return readWaitMs(this.#peers.isReader(LIST_TOPIC), this.#pool.listAgeMs, intervalMs, instanceJitter(this.#settings.id))
  }

  async start (): Promise<void> {
    const { callers, readiness, metrics, peerPort, seeds } = this.#settings
    await this.#snapshots.listen(metrics.address, peerPort)
    await this.#peers.start(seeds)
    this.#gossip.start()
    await this.#callerServer.listen(callers.address, callers.port)
    await this.#statusServers[0]!.listen(readiness.address, readiness.port)
    await this.#statusServers[1]!.listen(metrics.address, metrics.port)
    this.#log.info({ step: 'start', callers: `${callers.address}:${callers.port}` }, 'listening')
  }

  /** Takes settings that changed while the process runs; addresses stay as they were at the start. */
  reload (settings: GatewaySettings): void {
    const { graceMs, retryRatio, retryBurst } = settings
    this.#settings = { ...this.#settings, graceMs, retryRatio, retryBurst }
    this.#retryBudgets.clear()
    this.#log.info({ step: 'reload', graceMs, retryRatio, retryBurst }, 'settings reloaded')
  }

  /** Graceful stop: unready at once, serves what still comes, refuses late what it couldn't finish. */
  async stop (): Promise<void> {
    const startedAt = this.#clock.nowMs()
    const elapsed = (): number => this.#clock.nowMs() - startedAt
    const { graceMs } = this.#settings
    this.#stopping = true
    this.#peers.leave()
    this.#callerServer.drain({ startedAt, endsAt: startedAt + graceMs - STOP_MARGIN_MS })
    this.#log.info({ step: 'stop', inFlight: this.#callerServer.active, graceMs }, 'stopping')
    await sleep(Math.min(IDLE_CLOSE_MS, graceMs / 2))
    while (elapsed() < graceMs - STOP_MARGIN_MS) {
      this.#callerServer.closeIdle()
      if (elapsed() > MIN_DRAIN_MS && this.#callerServer.active === 0) break
      await sleep(STOP_POLL_MS)
    }
    this.#log.info({ step: 'stop', cut: this.#callerServer.active, afterMs: Math.round(elapsed()) }, 'stopped')
    this.dispose()
  }

  #applyEndpoints (list: EndpointList, ageMs: number): void {
    const before = this.#pool.table.digest
    this.#pool.update(list, ageMs)
    if (this.#pool.table.digest !== before) this.#gossip.gossipChange()
  }

  #viewAge (): ViewVersion {
    const { revision: listRevision, digest: listDigest } = this.#pool.table
    return { configRevision: this.#config.revision, configAgeMs: this.#config.ageMs, listRevision, listDigest, listAgeMs: this.#pool.listAgeMs }
  }

  #gossipHost (): IGossipHost {
    return {
      viewAge: () => this.#viewAge(),
      loadReports: () => this.#pool.loadReports(),
      mergeLoadReports: (peer, loads) => this.#pool.mergeLoadReports(peer, loads),
      confirmConfig: ageMs => this.#config.confirm(ageMs),
      confirmList: (revision, ageMs) => this.#pool.confirm(revision, ageMs),
      fetch: (part, from, ageMs) => { this.#snapshots.fetch(part, from, ageMs).catch((e: unknown) => this.#log.error({ step: 'peers', part, err: String(e) }, 'fetch failed')) }
    }
  }

  #snapshotSource (): ConstructorParameters<typeof SnapshotExchange>[0] {
    const config = this.#config
    const { table } = this.#pool
    return {
      get config () { return config.table?.config },
      get endpoints () { return table.list },
      updateConfig: value => this.#config.update(value),
      updateEndpoints: (list, ageMs) => this.#applyEndpoints(list, ageMs)
    }
  }

  /** This gateway's part of the repeated sends that all gateways together may make to a service. */
  #retryBudget (service: string): RetryBudget {
    this.#maxLivePeers = Math.max(this.#maxLivePeers, this.#peers.usable().length)
    const maxSaved = Math.max(1, this.#settings.retryBurst * RETRY_BURST_FRACTION / Math.max(1, this.#maxLivePeers))
    const budget = this.#retryBudgets.get(service) ?? new RetryBudget(this.#settings.retryRatio * RETRY_RATIO_FRACTION, maxSaved)
    this.#retryBudgets.set(service, budget)
    budget.setBurst(maxSaved)
    return budget
  }
}
