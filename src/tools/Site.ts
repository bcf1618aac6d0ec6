/** Starts a site of separate processes on loopback and injects faults into it. For development and tests only: routers never start processes. */
import { createHash } from 'node:crypto'
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { fileURLToPath } from 'node:url'
import { request } from 'undici'
import type { VotedFile } from '../common/generated/VotedFile.js'
import { createPeerApiClient, type PeerApiClient, type NodeStatus } from '../router/fleet/PeerApi.js'
import type { EngineFaults, EngineStats } from '../standin/EngineServer.js'
import type { PlatformFaults } from '../standin/PlatformServer.js'
import type { ServiceFaults, ServiceStats } from '../standin/ServiceServer.js'
import { ProcessSet } from './ProcessSet.js'
import { siteConfigFile, siteNames, type SiteNames, type SiteSpec } from './SiteSpec.js'

const PEER_SECRET = 'development-peer-secret'
const START_TIMEOUT_MS = 20_000
const POLL_MS = 50
const ERROR_LOG_LINES = 20

/** One site: platform, engines, workers and routers. */
export class Site {
  readonly spec: SiteSpec
  readonly names: SiteNames
  readonly #dir = mkdtempSync(join(tmpdir(), 'radishloft-'))
  readonly #processes = new ProcessSet(this.#dir)
  readonly #unlisted = new Set<string>()
  #revision = 0

  constructor (spec: SiteSpec) {
    this.spec = spec
    this.names = siteNames(spec)
  }

  /** Base URLs of the routers' caller ports. */
  get entries (): string[] {
    return this.names.routers.map(r => `http://127.0.0.1:${r.callerPort}`)
  }

  /** Folder of the log files. */
  get logDir (): string {
    return this.#dir
  }

  /** Starts all processes and waits until all routers are ready. */
  async start (): Promise<void> {
    this.#spawn('platform', 'standin', ['platform', '--port', String(this.names.platformPort), '--list-lag-ms', String(this.spec.listLagMs)])
    for (const e of this.names.engines) this.startEngine(e.id)
    for (const w of this.names.workers) this.startWorker(w.id)
    await this.#waitUntilUp('platform', this.names.platformPort, '/_stats')
    await this.publishConfig(siteConfigFile(this.spec))
    await this.publishList()
    for (const r of this.names.routers) this.startRouter(r.id)
    await Promise.all(this.names.routers.map(r => this.waitUntilReady(r.id)))
  }

  startEngine (id: string): void {
    const engine = this.names.engines.find(e => e.id === id)!
    const settings = { ...this.spec.engine, id, port: engine.port, seed: engine.port }
    this.#spawn(id, 'standin', ['engine', JSON.stringify(settings)])
  }

  startWorker (id: string): void {
    const worker = this.names.workers.find(w => w.id === id)!
    this.#spawn(id, 'standin', ['service', '--id', id, '--port', String(worker.port)])
  }

  startRouter (id: string): void {
    const router = this.names.routers.find(r => r.id === id)!
    const seeds = this.names.routers.filter(r => r.id !== id).slice(0, 4).map(r => `127.0.0.1:${r.peerPort}`)
    const path = join(this.#dir, `${id}.json`)
    writeFileSync(path, JSON.stringify({
      id,
      dataCentre: router.dataCentre,
      address: '127.0.0.1',
      callerPort: router.callerPort,
      peerPort: router.peerPort,
      peerSecret: PEER_SECRET,
      platform: `http://127.0.0.1:${this.names.platformPort}`,
      peers: seeds,
      faultInjection: true,
      logLevel: 'info'
    }))
    this.#spawn(id, 'router', ['--settings', path])
  }

  async waitUntilReady (id: string): Promise<void> {
    await this.#waitUntilUp(id, this.names.routers.find(r => r.id === id)!.callerPort, '/readyz')
  }

  /** The last `lines` log lines of each process. */
  logTails (lines: number): string {
    return this.#processes.names.map(name => `-- ${name}\n${this.#processes.logTail(name, lines)}`).join('\n')
  }

  /** Sends a signal to the process with this id. */
  signal (id: string, signal: NodeJS.Signals): void {
    this.#processes.signal(id, signal)
  }

  /** CPU time of a process since its start, in seconds. */
  cpuSeconds (id: string): number {
    return this.#processes.cpuSeconds(id)
  }

  /** Waits for a process to exit; returns its exit code, null when a signal ended it. */
  async waitForExit (id: string): Promise<number | null> {
    return await this.#processes.waitForExit(id)
  }

  /** Publishes a configuration file on the platform; returns its digest. */
  async publishConfig (file: VotedFile | string): Promise<string> {
    const text = typeof file === 'string' ? file : JSON.stringify(file)
    const res = await request(`http://127.0.0.1:${this.names.platformPort}/_config`, { method: 'PUT', body: text })
    this.#revision = (await res.body.json() as { readonly revision: number }).revision
    return createHash('sha256').update(text).digest('base64url')
  }

  /** Revision of the last published configuration file. */
  get revision (): number {
    return this.#revision
  }

  /** Publishes the list of instances and endpoints on the platform. @param leaving ids that are listed as leaving. */
  async publishList (leaving: readonly string[] = []): Promise<void> {
    const state = (id: string): 'live' | 'leaving' => leaving.includes(id) ? 'leaving' : 'live'
    const present = <T extends { readonly id: string }>(rows: readonly T[]): T[] => rows.filter(r => !this.#unlisted.has(r.id))
    const list = {
      instances: present(this.names.routers).map(r => ({ id: r.id, dataCentre: r.dataCentre, address: '127.0.0.1', peerPort: r.peerPort, state: state(r.id) })),
      endpoints: present([...this.names.engines, ...this.names.workers]).map(e => ({ id: e.id, state: state(e.id) }))
    }
    await this.#post(this.names.platformPort, '/_list', list)
  }

  /** Removes an instance or endpoint from the list or adds it again; takes effect with the next `publishList`. */
  setUnlisted (id: string, unlisted: boolean): void {
    if (unlisted) this.#unlisted.add(id)
    else this.#unlisted.delete(id)
  }

  /** Injects or ends faults of the platform; returns its counters. */
  async setPlatformFaults (faults: PlatformFaults): Promise<{ readonly reads: number }> {
    return await this.#post(this.names.platformPort, '/_fault', faults)
  }

  /** Injects or ends faults of an engine; returns its counters. */
  async setEngineFaults (id: string, faults: EngineFaults): Promise<EngineStats> {
    return await this.#post(this.names.engines.find(e => e.id === id)!.port, '/_fault', faults)
  }

  /** Injects or ends faults of a worker; returns its counters. */
  async setWorkerFaults (id: string, faults: ServiceFaults): Promise<ServiceStats> {
    return await this.#post(this.names.workers.find(w => w.id === id)!.port, '/_fault', faults)
  }

  /** Counters of all engines that answer. */
  async engineStats (): Promise<EngineStats[]> {
    return await this.#statsOf<EngineStats>(this.names.engines.map(e => e.port))
  }

  /** Counters of all workers that answer. */
  async workerStats (): Promise<ServiceStats[]> {
    return await this.#statsOf<ServiceStats>(this.names.workers.map(w => w.port))
  }

  /** Client of a router's peer API. */
  peerApi (id: string): PeerApiClient {
    return createPeerApiClient('127.0.0.1', this.names.routers.find(r => r.id === id)!.peerPort, PEER_SECRET)
  }

  /** Status of all routers that answer. */
  async statuses (): Promise<NodeStatus[]> {
    const all = await Promise.allSettled(this.names.routers.map(async r => await this.peerApi(r.id).status.query()))
    return all.flatMap(s => s.status === 'fulfilled' ? [s.value] : [])
  }

  /** Waits until every router has the file with this digest in force; returns the elapsed time in ms. Throws after the timeout. */
  async waitUntilInForce (digest: string, timeoutMs: number, except: readonly string[] = []): Promise<number> {
    const started = performance.now()
    const pending = new Set(this.names.routers.map(r => r.id).filter(id => !except.includes(id)))
    while (pending.size > 0) {
      if (performance.now() - started > timeoutMs) throw new Error(`configuration ${digest} not in force after ${timeoutMs} ms at ${[...pending].join(', ')}`)
      await Promise.all([...pending].map(async id => {
        try {
          if ((await this.peerApi(id).config.manifest.query())?.digest === digest) pending.delete(id)
        } catch {
          // down or restarting; polled again
        }
      }))
      if (pending.size > 0) await sleep(POLL_MS)
    }
    return performance.now() - started
  }

  /** Blocks the links between two groups of names; an empty second group unblocks all links of the first. */
  async partition (side: readonly string[], other: readonly string[]): Promise<void> {
    const block = async (ids: readonly string[], names: readonly string[]): Promise<void> => {
      await Promise.all(ids.filter(id => this.names.routers.some(r => r.id === id)).map(async id => {
        await this.peerApi(id).blockLinks.mutate({ names: [...names] }).catch(() => {})
      }))
    }
    await Promise.all([block(side, other), block(other, side)])
  }

  /** Unblocks all links of all routers. */
  async heal (): Promise<void> {
    await this.partition(this.names.routers.map(r => r.id), [])
  }

  /** Ids of all instances and endpoints in a data centre. */
  idsInDataCentre (dataCentre: string): string[] {
    return [...this.names.routers, ...this.names.engines, ...this.names.workers].filter(x => x.dataCentre === dataCentre).map(x => x.id)
  }

  /** Kills all processes of the site and deletes the logs unless `keepLogs` is set. */
  async stop (keepLogs = false): Promise<void> {
    await this.#processes.killAll()
    if (!keepLogs) rmSync(this.#dir, { recursive: true, force: true })
  }

  #spawn (id: string, program: 'router' | 'standin', args: readonly string[]): void {
    this.#processes.start(id, fileURLToPath(new URL(`../${program}/main.js`, import.meta.url)), args)
  }

  /** Waits START_TIMEOUT_MS, to which pauses of this process are added, as the started processes share its cores. */
  async #waitUntilUp (name: string, port: number, path: string): Promise<void> {
    let end = performance.now() + START_TIMEOUT_MS
    while (performance.now() < end && !this.#processes.hasExited(name)) {
      try {
        const res = await request(`http://127.0.0.1:${port}${path}`, { headersTimeout: 1_000 })
        await res.body.dump()
        if (res.statusCode === 200) return
      } catch {
        // not listening yet
      }
      const sleptAt = performance.now()
      await sleep(POLL_MS)
      end += performance.now() - sleptAt - POLL_MS
    }
    const state = this.#processes.hasExited(name) ? 'has exited' : `did not answer ${path} with 200 within ${START_TIMEOUT_MS} ms`
    throw new Error(`${name} at port ${port} ${state}; its last log lines:\n${this.#processes.logTail(name, ERROR_LOG_LINES)}`)
  }

  async #post<T> (port: number, path: string, body: object): Promise<T> {
    const res = await request(`http://127.0.0.1:${port}${path}`, { method: 'POST', body: JSON.stringify(body) })
    return await res.body.json() as T
  }

  async #statsOf<T> (ports: readonly number[]): Promise<T[]> {
    const all = await Promise.allSettled(ports.map(async port => {
      const res = await request(`http://127.0.0.1:${port}/_stats`, { headersTimeout: 2_000 })
      return await res.body.json() as T
    }))
    return all.flatMap(s => s.status === 'fulfilled' ? [s.value] : [])
  }
}

/** Resolves after `ms` milliseconds. */
export async function sleep (ms: number): Promise<void> {
  await new Promise(resolve => setTimeout(resolve, ms))
}
