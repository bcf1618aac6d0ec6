/** Site of the soak test: gateways as processes, stand-ins of the store and the workers, and a fault proxy on each link between them. */
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { fileURLToPath } from 'node:url'
import { configurationRecord, CONFIGURATION_KEY, evacuationKey, READINESS_PATH, settingsFileText, SETTINGS_VARIABLE, workerEntryKey } from '../standin/PlatformRecords.js'
import { PlatformStore } from '../standin/PlatformStore.js'
import { PlatformWorker } from '../standin/PlatformWorker.js'
import { freePort, freePorts } from '../tools/FreePort.js'
import { ProcessSet } from '../tools/ProcessSet.js'
import { FaultProxy } from './FaultProxy.js'
import { REQUEST_KINDS, serviceOf, type ArrivalRecord, type EvacuationRecord, type ExtraRoute, type RunRecord, type ServiceName } from './Types.js'

/** Time after which a leaving worker gets no new requests. */
export const DRAIN_MS = 2_000
/** Time after which an evacuated data centre gets no more requests. */
export const EVACUATION_MS = 4_000
/** Time that a gateway has from SIGTERM to exit. */
export const GRACE_SEC = 8
/** Time within which each gateway applies a configuration. */
export const CONFIG_APPLY_MS = 2_000
/** Retry budget of all gateways: share of requests and burst. */
export const RETRY_RATIO = 0.2
export const RETRY_BURST = 60
export const ROUTE_TIMEOUT_MS = 2_000
const SEEDS = 3
const WORK_MS = 20 // from a request to its answer or first event
const EVENT_MS = 60 // between events of a stream
const START_TIMEOUT_MS = 15_000
const POLL_MS = 50
const GATEWAY_FLAGS = ['--max-old-space-size=96', '--max-semi-space-size=1', '--single-threaded', '--optimize-for-size', '--no-opt', '--no-incremental-marking'] // as in the deployment file

/** One gateway, and the proxies through which callers reach it and it reaches the store. */
export interface SoakGateway {
  readonly name: string
  readonly address: string
  readonly callerProxy: FaultProxy
  readonly callerProxyPort: number
  readonly storeProxy: FaultProxy
  readonly storePort: number
  readonly frontPort: number
  readonly readinessPort: number
}

/** One worker and the proxy through which gateways reach it. */
export interface SoakWorker {
  readonly name: string
  readonly service: ServiceName
  readonly dataCentre: string
  readonly worker: PlatformWorker
  readonly proxy: FaultProxy
  readonly proxyPort: number
  /** When the worker was marked as draining in the store or removed from it; Infinity before. */
  leavingAt: number
  /** When the worker began to say in its answers that it is leaving; Infinity before. */
  saysLeavingAt: number
  ended: boolean
}

/** Number of processes and stand-ins of a site. */
export interface SoakSize {
  readonly gateways: number
  readonly engines: number
  readonly orders: number
}

const SUBNET = 1 + process.pid % 250 // each run has its own gateway addresses, so that runs can be concurrent
/** Data centres of the gateways and workers, which are spread over them. */
export const DATA_CENTRES = ['a', 'b', 'c'] as const

/** Starts and stops the parts of a site. */
export class SoakSite {
  readonly store = new PlatformStore()
  readonly gateways: SoakGateway[] = []
  readonly workers: SoakWorker[] = []
  readonly runs: RunRecord[] = []
  /** Arrivals of requests at workers, those that were refused included. */
  readonly arrivals: ArrivalRecord[] = []
  readonly processes: ProcessSet
  readonly logDir: string
  /** Routes added during the run, in the order in which they were added. */
  readonly extraRoutes: ExtraRoute[] = []
  readonly evacuations: EvacuationRecord[] = []
  readonly #size: SoakSize
  /** What was last written to the store, by key; undefined when the key was deleted. */
  readonly #written = new Map<string, object | undefined>()
  #version = 1
  #workersCreated = 0
  #peerPort = 0

  constructor (size: SoakSize) {
    this.#size = size
    this.logDir = mkdtempSync(join(tmpdir(), 'radishloft-soak-'))
    this.processes = new ProcessSet(this.logDir)
  }

  /** Version of the last published configuration. */
  get version (): number {
    return this.#version
  }

  /** Gateways whose addresses all others get as seeds. */
  get seeds (): readonly SoakGateway[] {
    return this.gateways.slice(0, SEEDS)
  }

  /** Gateways that wait for changes of what the operator writes. */
  get watching (): readonly SoakGateway[] {
    const ports = this.store.watchingPorts
    return this.gateways.filter(g => g.storeProxy.localPorts.some(port => ports.has(port)))
  }

  /** Starts all parts, or all but the seeds, and waits until each gateway is ready or the start timeout has passed. */
  async start (withSeeds: boolean): Promise<void> {
    const storePort = await this.store.listen()
    this.#peerPort = await freePort()
    for (let i = 0; i < this.#size.engines; i++) await this.addWorker('engines')
    for (let i = 0; i < this.#size.orders; i++) await this.addWorker('orders')
    this.publishConfiguration()
    for (let i = 0; i < this.#size.gateways; i++) await this.#addGateway(i, storePort)
    const started = withSeeds ? this.gateways : this.gateways.slice(SEEDS)
    for (const g of started) this.startGateway(g, true)
    await Promise.all(started.map(g => this.waitUntilReady(g)))
  }

  /** Starts a worker under a new id and writes its entry to the store. */
  async addWorker (service: ServiceName, dataCentre: string = DATA_CENTRES[this.#workersCreated % DATA_CENTRES.length]!): Promise<SoakWorker> {
    const name = `w${this.#workersCreated++}`
    const worker: PlatformWorker = new PlatformWorker(name, {
      workMs: WORK_MS,
      eventIntervalMs: EVENT_MS,
      onArrival: (id, pauseMs) => this.arrivals.push({ id, worker: name, service, dataCentre, at: performance.now(), pauseMs }),
      onStart: (id, account) => this.runs.push({ id, worker: name, at: performance.now(), account, overAt: Infinity }),
      onEnd: id => {
        const run = this.runs.findLast(r => r.id === id && r.worker === name)
        if (run !== undefined) run.overAt = performance.now()
      }
    })
    await worker.listen()
    const proxy = new FaultProxy(() => ({ host: '127.0.0.1', port: worker.port }))
    const soakWorker = { name, service, dataCentre, worker, proxy, proxyPort: await proxy.listen(), leavingAt: Infinity, saysLeavingAt: Infinity, ended: false }
    this.workers.push(soakWorker)
    this.writeEntry(soakWorker, 'ready')
    return soakWorker
  }

  /** Writes the entry of a worker to the store. */
  writeEntry (w: SoakWorker, state: 'ready' | 'draining'): void {
    this.#write(workerEntryKey(w.name), { ...w.worker.storeEntry(w.service, state, w.proxyPort), zone: w.dataCentre })
    if (state === 'draining') w.leavingAt = performance.now()
  }

  /** Makes a worker say in its answers that it is leaving. */
  sayLeaving (w: SoakWorker): void {
    w.worker.leaving = true
    w.saysLeavingAt = performance.now()
  }

  /** Deletes the entry of a worker from the store. */
  deleteEntry (w: SoakWorker): void {
    this.#write(workerEntryKey(w.name), undefined)
    w.leavingAt = Math.min(w.leavingAt, performance.now())
  }

  /** Ends a worker. @param listed true to keep its entry in the store. */
  endWorker (w: SoakWorker, listed: boolean): void {
    w.ended = true
    w.worker.close()
    w.proxy.dispose()
    if (!listed) this.deleteEntry(w)
  }

  /** Writes the evacuation of a data centre to the store. */
  evacuate (dataCentre: string): EvacuationRecord {
    this.#write(evacuationKey(dataCentre), {})
    const evacuation = { dataCentre, writtenAt: performance.now(), deletedAt: Infinity }
    this.evacuations.push(evacuation)
    return evacuation
  }

  /** Deletes the evacuation from the store. */
  endEvacuation (evacuation: EvacuationRecord): void {
    evacuation.deletedAt = performance.now()
    this.#write(evacuationKey(evacuation.dataCentre), undefined)
  }

  /** Publishes the next version of the configuration. */
  publishConfiguration (): void {
    this.#version += 3
    const basic = REQUEST_KINDS.map(kind => ({ name: kind, kind, service: serviceOf(kind) }))
    const extra = this.extraRoutes.filter(r => r.removedAt === Infinity).map(r => ({ name: r.name, kind: 'read' as const, service: 'orders' }))
    this.#write(CONFIGURATION_KEY, configurationRecord(this.#version, [...basic, ...extra], ROUTE_TIMEOUT_MS))
  }

  /** Writes everything again, as workers and operator do after the store has lost it. */
  rewriteStore (): void {
    for (const [key, value] of this.#written) this.#write(key, value)
  }

  #write (key: string, value: object | undefined): void {
    this.#written.set(key, value)
    if (value === undefined) this.store.delete(key)
    else this.store.put(key, value)
  }

  /** @param bootstrap true when the fleet starts for the first time. */
  startGateway (g: SoakGateway, bootstrap: boolean): void {
    const settings = join(this.logDir, `${g.name}.json`)
    this.writeSettings(g, RETRY_BURST, bootstrap)
    const main = fileURLToPath(new URL('../gateway.js', import.meta.url))
    this.processes.start(g.name, main, [], { flags: GATEWAY_FLAGS, env: { [SETTINGS_VARIABLE]: settings } })
  }

  /** Writes the settings file of a gateway; it is read at start and on SIGHUP. */
  writeSettings (g: SoakGateway, retryBurst: number, bootstrap = false): void {
    const dataCentre = DATA_CENTRES[this.gateways.indexOf(g) % DATA_CENTRES.length]!
    const seeds = this.seeds.map(s => s.address)
    const bounds = { configApplyMs: CONFIG_APPLY_MS, drainMs: DRAIN_MS, graceSec: GRACE_SEC, retryRatio: RETRY_RATIO, retryBurst, evacuationMs: EVACUATION_MS }
    writeFileSync(join(this.logDir, `${g.name}.json`), settingsFileText({ ...g, dataCentre, peerPort: this.#peerPort, seeds, bootstrap, bounds }))
  }

  async isReady (g: SoakGateway): Promise<boolean> {
    try {
      return (await fetch(`http://${g.address}:${g.readinessPort}${READINESS_PATH}`, { signal: AbortSignal.timeout(500) })).status === 200
    } catch {
      return false // connection refused, reset or timed out
    }
  }

  /** Polls the readiness endpoint; returns without an error when the start timeout has passed. */
  async waitUntilReady (g: SoakGateway): Promise<void> {
    const end = performance.now() + START_TIMEOUT_MS
    while (performance.now() < end && !await this.isReady(g)) await new Promise(resolve => setTimeout(resolve, POLL_MS))
  }

  async stop (keepLogs: boolean): Promise<void> {
    await this.processes.killAll()
    for (const g of this.gateways) [g.callerProxy, g.storeProxy].forEach(proxy => proxy.dispose())
    for (const w of this.workers) this.endWorker(w, true)
    this.store.close()
    if (!keepLogs) rmSync(this.logDir, { recursive: true, force: true })
  }

  async #addGateway (index: number, storePort: number): Promise<void> {
    const address = `127.${SUBNET}.${1 + Math.floor(index / 200)}.${1 + index % 200}`
    const [frontPort, readinessPort] = await freePorts(2)
    const callers = new FaultProxy(() => ({ host: address, port: frontPort! }))
    const store = new FaultProxy(() => ({ host: '127.0.0.1', port: storePort }))
    this.gateways.push({
      name: `g${index}`,
      address,
      callerProxy: callers,
      callerProxyPort: await callers.listen(),
      storeProxy: store,
      storePort: await store.listen(),
      frontPort: frontPort!,
      readinessPort: readinessPort!
    })
  }
}
