/** Composition root of a router process: constructs the components, connects them, starts and stops them. */
import { setTimeout as sleep } from 'node:timers/promises'
import { getHeapStatistics } from 'node:v8'
import { Disposable } from '../common/Disposable.js'
import type { VotedConfig } from '../common/config/VotedConfig.js'
import { placementOf } from '../common/placement/ChatKey.js'
import { connectionLimits } from '../common/limits/ConnectionLimits.js'
import { RetryBudget } from '../common/limits/RetryBudget.js'
import type { IClock, IRandom } from '../common/Services.js'
import type { InstanceAddress, MemberState } from '../common/Types.js'
import { AccountRateLimiter } from './callers/AccountRateLimiter.js'
import { CallerAuth } from './callers/CallerAuth.js'
import { CallerServer } from './callers/CallerServer.js'
import { ChatHandler } from './engines/ChatHandler.js'
import { ConfigTask } from './configuration/ConfigTask.js'
import { DatagramCodec } from './fleet/DatagramCodec.js'
import { EndpointCommands } from './engines/EndpointCommands.js'
import { EndpointTracker } from './engines/EndpointTracker.js'
import { Fleet } from './fleet/Fleet.js'
import { KeyOwner } from './services/KeyOwner.js'
import { LinkFilter } from './fleet/LinkFilter.js'
import { LocalHomeNode, rankEngines } from './engines/LocalHomeNode.js'
import type { Log } from './telemetry/Log.js'
import { Metrics } from './telemetry/Metrics.js'
import { PeerApiClients, type PlacementExplanation, type IPeerApiHost, type NodeStatus } from './fleet/PeerApi.js'
import { PeerServer } from './fleet/PeerServer.js'
import { PeerSocket } from './fleet/PeerSocket.js'
import { PlatformClient } from './configuration/PlatformClient.js'
import { PlatformListTask } from './configuration/PlatformListTask.js'
import { PeerConnections, RemoteHomeNode } from './engines/RemoteHomeNode.js'
import { ServiceHandler } from './services/ServiceHandler.js'
import { ServiceRunner } from './services/ServiceRunner.js'
import type { FullSettings } from './Settings.js'
import { Tracing } from './telemetry/Tracing.js'
import type { IHomeNode } from './Types.js'

const STOP_POLL_INTERVAL_MS = 50
const STOP_REPORT_INTERVAL_MS = 2_000
/** What a router may take; its settings don't name it. */
const ROUTER_MEMORY_BYTES = 1_073_741_824
const ROUTER_DESCRIPTORS = 16_384
const FLUSH_DELAY_MS = 600 // after the last request, so that its response is flushed to the network

/** One router instance; implements the peer API. */
export class Router extends Disposable implements IPeerApiHost {
  readonly #settings: FullSettings
  readonly #clock: IClock
  readonly #log: Log
  readonly #links = new LinkFilter()
  readonly #metrics = new Metrics()
  readonly #platform: PlatformClient
  readonly #config: ConfigTask
  readonly #socket: PeerSocket
  readonly #fleet: Fleet
  readonly #peerApis: PeerApiClients
  readonly #endpoints: EndpointTracker
  readonly #localHomeNode: LocalHomeNode
  readonly #keys: KeyOwner
  readonly #list: PlatformListTask
  readonly #endpointCommands: EndpointCommands
  readonly #peerServer: PeerServer
  readonly #callers: CallerServer
  readonly #remoteHomeNodes = new Map<string, RemoteHomeNode>()
  readonly #peers: PeerConnections
  readonly #startedAt: number

  constructor (settings: FullSettings, clock: IClock, random: IRandom, log: Log) {
    super()
    this.#settings = settings
    this.#clock = clock
    this.#log = log
    this.#startedAt = clock.nowMs()
    const self: InstanceAddress = { id: settings.id, dataCentre: settings.dataCentre, address: settings.address, peerPort: settings.peerPort }
    const config = (): VotedConfig | undefined => this.#config.current
    this.#platform = new PlatformClient(settings.platform, this.#metrics, this.#links)
    this.#config = this.own(new ConfigTask(clock, this.#platform, this.#metrics, log))
    this.#socket = this.own(new PeerSocket(new DatagramCodec(settings.peerSecret), this.#links, this.#metrics))
    this.#fleet = this.own(new Fleet(self, clock, random, this.#socket, { config, loads: () => this.#endpoints.digestLoads() }))
    this.#peerApis = new PeerApiClients(this.#fleet, settings.peerSecret, this.#links)
    this.#endpoints = this.own(new EndpointTracker(this.#fleet, clock, this.#links))
    this.#peers = this.own(new PeerConnections(settings.peerSecret, this.#links))
    const commonDeps = { config, fleet: this.#fleet, endpoints: this.#endpoints, clock, links: this.#links, metrics: this.#metrics }
    this.#localHomeNode = this.own(new LocalHomeNode(commonDeps))
    this.#keys = this.own(new KeyOwner(this.#fleet, clock, this.#socket))
    this.#endpointCommands = new EndpointCommands(commonDeps)
    const runner = this.own(new ServiceRunner({ ...commonDeps, keys: this.#keys }))
    const budget = new RetryBudget()
    const tracing = new Tracing(log, settings.traceSample, random)
    const chats = this.own(new ChatHandler({ ...commonDeps, budget, homeNode: id => this.#homeNode(id), peers: this.#peerApis, tracing, log }))
    const services = new ServiceHandler({ ...commonDeps, budget, peers: this.#peers, runner })
    const rateLimiter = this.own(new AccountRateLimiter(this.#fleet, clock, this.#socket, config))
    const { maxBodyBytes, peerSecret: secret } = settings
    const serverDeps = { metrics: this.#metrics, tracing, log, maxBodyBytes }
    this.#list = this.own(new PlatformListTask(this.#fleet, this.#platform, this.#peerApis, random))
    this.#peerServer = this.own(new PeerServer({ ...serverDeps, home: this.#localHomeNode, runner, api: this, secret }))
    const limits = connectionLimits({ memoryBytes: ROUTER_MEMORY_BYTES, heapBytes: getHeapStatistics().heap_size_limit, maxDescriptors: ROUTER_DESCRIPTORS })
    this.#callers = this.own(new CallerServer({
      ...serverDeps, config, auth: new CallerAuth(), rateLimiter, chats, services, keys: this.#keys, instance: self.id, connectionLimits: limits
    }))
    this.own(this.#fleet.onChange(() => this.#refresh()))
    this.own(this.#config.onChange(() => {
      this.#fleet.configChanged()
      this.#refresh()
    }))
  }

  /** Starts the listeners, obtains the membership and the active configuration, then reports ready. */
  async start (): Promise<void> {
    const { address, peerPort, callerPort, peers } = this.#settings
    await this.#socket.bind(address, peerPort)
    await this.#peerServer.listen(address, peerPort)
    await this.#callers.listen(address, callerPort)
    await this.#contactSeeds(peers)
    await this.#list.start()
    await this.#config.start(this.#fleet, this.#peerApis)
    if (this.#config.current === undefined) this.own(this.#config.onChange(() => this.#callers.setReady()))
    else this.#callers.setReady()
    this.#log.info({ step: 'start', revision: this.#config.current?.version.revision ?? 0 }, 'ready')
  }

  /** Graceful shutdown: reports not ready, announces that it leaves so that its roles move, completes the requests in flight, then closes the sockets. */
  async stop (): Promise<void> {
    this.#log.info({ step: 'stop' }, 'draining')
    this.#callers.drain()
    this.#fleet.leave()
    await sleep(this.#settings.drainMs)
    this.#callers.close()
    await this.#waitUntilIdle()
    await sleep(FLUSH_DELAY_MS)
    await this.#waitUntilIdle()
    this.dispose()
    await this.#platform.close()
    this.#log.info({ step: 'stop' }, 'stopped')
  }

  /** Waits until no request is in flight. */
  async #waitUntilIdle (): Promise<void> {
    let reportedAt = this.#clock.nowMs()
    while (this.#callers.activeRequests + this.#peerServer.activeRequests > 0) {
      await sleep(STOP_POLL_INTERVAL_MS)
      if (this.#clock.nowMs() - reportedAt < STOP_REPORT_INTERVAL_MS) continue
      reportedAt = this.#clock.nowMs()
      this.#log.info({ step: 'stop', callers: this.#callers.activeRequests, peers: this.#peerServer.activeRequests, streams: this.#localHomeNode.activeStreams }, 'waiting for requests in flight')
    }
  }

  confirmation (): ReturnType<ConfigTask['confirmation']> {
    return this.#config.confirmation()
  }

  manifest (): ReturnType<ConfigTask['manifest']> {
    return this.#config.manifest()
  }

  parts (ids: readonly string[]): ReturnType<ConfigTask['parts']> {
    return this.#config.parts(ids)
  }

  list (): Fleet['list'] {
    return this.#fleet.list
  }

  findPlacement (keyHash: number, tag: number): ReturnType<LocalHomeNode['findPlacement']> {
    return this.#localHomeNode.findPlacement(keyHash, tag)
  }

  async drain (endpoint: string, undo: boolean): Promise<string> {
    return await this.#endpointCommands.drain(endpoint, undo)
  }

  blockLinks (names: readonly string[]): boolean {
    if (!this.#settings.faultInjection) return false
    this.#links.block(names)
    return true
  }

  explain (account: string, model: string, chat: string): PlacementExplanation {
    const config = this.#config.current
    const placement = placementOf(account, { model, messages: [{ role: 'user', content: '' }] }, chat)
    const rankingDeps = { fleet: this.#fleet, endpoints: this.#endpoints, clock: this.#clock }
    const ranked = config === undefined ? [] : rankEngines(rankingDeps, config, model, placement.keyHash, [])
    const decision = this.#localHomeNode.decide(model, placement, [])
    return {
      ranked: ranked.map(e => e.id),
      home: ranked[0] === undefined ? null : this.#fleet.homeOf(ranked[0].id) ?? null,
      engine: decision?.engine.id ?? null,
      reason: decision?.reason ?? 'none',
      cachedTokens: decision?.cachedTokens ?? 0
    }
  }

  status (): NodeStatus {
    const version = this.#config.current?.version
    const { id, dataCentre } = this.#settings
    return {
      id,
      dataCentre,
      ready: this.#config.current !== undefined,
      revision: version?.revision ?? 0,
      digest: version?.digest ?? '',
      refused: this.#config.rejected ?? null,
      members: this.#fleet.members.map(m => ({ id: m.id, dataCentre: m.dataCentre, state: m.state, address: m.address, peerPort: m.peerPort })),
      endpoints: this.#endpoints.snapshot(),
      chats: this.#localHomeNode.chats,
      keys: this.#keys.table.size,
      controlBytes: this.#metrics.controlTotals(),
      controlMemoryBytes: this.#localHomeNode.directoryBytes + this.#config.cachedBytes,
      uptimeMs: this.#clock.nowMs() - this.#startedAt
    }
  }

  /** Obtains members and the platform list from the seed addresses in the settings, so that a router can start while the platform is down. */
  async #contactSeeds (seeds: readonly string[]): Promise<void> {
    await Promise.all(seeds.map(async seed => {
      const [address, port] = seed.split(':')
      if (address === this.#settings.address && Number(port) === this.#settings.peerPort) return
      try {
        const status = await this.#peerApis.forAddress(address!, Number(port)).status.query()
        this.#fleet.addPeers([{ id: status.id, dataCentre: status.dataCentre, address: address!, peerPort: Number(port) }])
        this.#fleet.addPeers(status.members.filter(m => m.state === 'alive'))
        const list = await this.#peerApis.forAddress(address!, Number(port)).list.get.query()
        if (list !== null) this.#fleet.applyList(list)
      } catch {
        this.#log.debug({ step: 'start', peer: seed }, 'seed did not respond')
      }
    }))
  }

  #refresh (): void {
    this.#endpoints.refresh(this.#config.current)
    const counts: Record<MemberState, number> = { alive: 1, suspect: 0, dead: 0, leaving: 0 }
    for (const m of this.#fleet.members) counts[m.state]++
    for (const [state, count] of Object.entries(counts)) this.#metrics.members.set({ state }, count)
  }

  #homeNode (id: string): IHomeNode | undefined {
    if (id === this.#fleet.self.id) return this.#localHomeNode
    const to = this.#fleet.address(id)
    if (to === undefined) return undefined
    const name = `${id}@${to.address}:${to.peerPort}`
    let remote = this.#remoteHomeNodes.get(name)
    if (remote === undefined) {
      remote = new RemoteHomeNode(this.#peers, to)
      this.#remoteHomeNodes.set(name, remote)
    }
    return remote
  }
}
