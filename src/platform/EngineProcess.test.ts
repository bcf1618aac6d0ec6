/** End-to-end tests on loopback of prompts that end engines, with each engine a process of its own that ends by a signal. */
import { mkdtempSync, rmSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { buildSync } from 'esbuild'
import { afterAll, afterEach, beforeAll, describe, expect, it } from 'vitest'
import { hashString } from '../common/Hash.js'
import { listOf } from '../common/TestUtils.test.js'
import { PlatformStore } from '../standin/PlatformStore.js'
import type { WorkerOptions } from '../standin/PlatformWorker.js'
import { WorkerSupervisor, type SupervisorOptions } from '../standin/WorkerSupervisor.js'
import { freePort } from '../tools/FreePort.js'
import { call, createConfig, sleep, startGateway, waitUntil, type CallResult, type RunningGateway } from './TestUtils.test.js'

const GATEWAYS = 3
const ENGINES = 6
const FATAL = 'bad0'
const FATAL_INTERVAL_MS = 150
const SEND_MS = 6_000 // twice `CONTACT_MS`
const REPLACE_INTERVAL_MS = 500
const BURST_INTERVAL_MS = 3_500 // longer than `CONTACT_MS`
const MAX_CRASHES = 5 // engines that the users allow one part to end
const CONTACT_MS = 3_000 // time that instances have to learn of them
const MAX_LATER_REQUESTS = 3 // requests with the part that may reach engines after that

/** How engines end and come back. */
interface CrashWay extends Pick<SupervisorOptions, 'listener' | 'restartMs'> {
  /** Time from the start of an incarnation until the list names it. */
  readonly listDelayMs: number
  readonly fatalAnswer?: WorkerOptions['fatalAnswer']
}

/** Engines in processes of their own behind several gateways. */
class EngineSite {
  readonly store = new PlatformStore()
  readonly gateways: RunningGateway[] = []
  /** Times of crashes, and of arrivals of requests with the fatal part. */
  readonly crashes: number[] = []
  readonly arrivals: number[] = []
  readonly #way: CrashWay
  readonly #engines: WorkerSupervisor[] = []
  #fatalRequests = 0
  #soundRequests = 0
  #storePort = 0
  #peerPort = 0

  constructor (way: CrashWay) {
    this.#way = way
  }

  async start (): Promise<void> {
    this.#storePort = await this.store.listen()
    this.#peerPort = await freePort()
    this.store.put('op/config', createConfig(7))
    await Promise.all(Array.from({ length: ENGINES }, async (_, i) => await this.#startEngine(`engine${i}`)))
    for (let i = 1; i <= GATEWAYS; i++) await this.startGateway(`127.0.0.${i}`)
  }

  async startGateway (address: string): Promise<RunningGateway> {
    const seeds = Array.from({ length: GATEWAYS }, (_, i) => `127.0.0.${i + 1}`)
    const gateway = await startGateway(this.#storePort, address, this.#peerPort, seeds, () => {})
    this.gateways.push(gateway)
    await waitUntil(() => gateway.gateway.ready)
    return gateway
  }

  /** Starts a gateway and ends the oldest one, whose requests in flight break off. */
  async replaceGateway (address: string): Promise<void> {
    await this.startGateway(address)
    this.gateways.shift()!.stop()
  }

  /** Requests with the fatal part that reached engines later than `CONTACT_MS` after the last crash that the users allow. */
  get laterRequests (): number {
    const lastAllowed = this.crashes[MAX_CRASHES - 1] ?? Infinity
    return this.arrivals.filter(at => at > lastAllowed + CONTACT_MS).length
  }

  /** Sends a request with the fatal part; nothing else in its prompt but a template and a document is in another one. */
  async sendFatal (): Promise<CallResult> {
    const i = this.#fatalRequests++
    return await this.#send(i, ['aa', FATAL, `s${i}`])
  }

  /** Sends a request with the fatal part to each engine at once. */
  async sendFatalToAll (): Promise<void> {
    const engines = listOf(this.#engines.map(engine => engine.id))
    await Promise.all(this.#engines.map(async (engine, i) => {
      let session = this.#fatalRequests++
      while (engines.first(hashString(`s${session}`)) !== engine.id) session = this.#fatalRequests++
      await this.#send(i, ['aa', FATAL, `s${session}`])
    }))
  }

  /** Sends a request that shares the template and the caller with the fatal ones. */
  async sendSound (): Promise<CallResult> {
    const i = this.#soundRequests++
    return await this.#send(i, ['aa', `t${i % 12}`])
  }

  stop (): void {
    this.gateways.forEach(gateway => gateway.stop())
    this.#engines.forEach(engine => engine.stop())
    this.store.close()
  }

  async #send (i: number, shared: readonly string[]): Promise<CallResult> {
    const parts = [...shared, `own-${shared.length}-${i}`].map(id => `${id}:50`).join()
    const broken = { status: 0, body: '', signature: undefined, retryAfter: undefined, complete: false }
    return await call(this.gateways[i % this.gateways.length]!.port, '/stream/1', { 'prefix-hash': parts, 'token-count': '200,20' }).catch(() => broken)
  }

  async #startEngine (id: string): Promise<void> {
    const { listener, restartMs, listDelayMs, fatalAnswer } = this.#way
    const engine: WorkerSupervisor = new WorkerSupervisor(id, {
      script,
      worker: { fatalPart: FATAL, ...fatalAnswer === undefined ? {} : { fatalAnswer }, workMs: 20, eventIntervalMs: 50 },
      listener,
      restartMs,
      onFatalRequest: () => this.arrivals.push(performance.now()),
      onCrash: () => this.crashes.push(performance.now()),
      onRestart: () => setTimeout(() => this.store.put(`servers/${id}`, engine.storeEntry('pool')), listDelayMs)
    })
    this.#engines.push(engine)
    await engine.start(listener === 'parent' ? 0 : await freePort())
    this.store.put(`servers/${id}`, engine.storeEntry('pool'))
  }
}

let dir: string
let script: string
let site: EngineSite
beforeAll(() => {
  dir = mkdtempSync(join(tmpdir(), 'engines-'))
  script = join(dir, 'worker.mjs')
  buildSync({ entryPoints: ['src/standin/WorkerProcess.ts'], outfile: script, bundle: true, platform: 'node', format: 'esm', target: 'node20' })
})
afterEach(() => site.stop())
afterAll(() => rmSync(dir, { recursive: true }))

/** Sends fatal requests beside sound ones for `forMs`; returns the statuses of the sound ones of the last third. @param fatal fatal requests each time. */
async function sendBoth (forMs: number, fatal = 1): Promise<number[]> {
  const sound: number[] = []
  const pending: Array<Promise<unknown>> = []
  const start = performance.now()
  while (performance.now() - start < forMs) {
    const isLast = performance.now() - start > forMs * 2 / 3
    for (let i = 0; i < fatal; i++) pending.push(site.sendFatal())
    for (let i = 0; i < 2; i++) pending.push(site.sendSound().then(answer => { if (isLast) sound.push(answer.status) }))
    await sleep(FATAL_INTERVAL_MS)
  }
  await Promise.all(pending)
  return sound
}

// A crash counted only when the next connection was refused or the list named another incarnation within 5 s: with an engine that was back at
// once, or a listener that a parent held, the fatal part was sent on without end.
describe('a part of a prompt that ends the process of each engine which begins to answer it', () => {
  it.each([
    ['is back on the same port at once', { listener: 'child', restartMs: 0, listDelayMs: 200 }],
    ['is back at once behind a listener that its parent holds, with a late list', { listener: 'parent', restartMs: 0, listDelayMs: 6_000 }],
    ['ends before the head of its answer is sent', { listener: 'child', restartMs: 300, listDelayMs: 200, fatalAnswer: 'none' }],
    ['ends an unframed answer behind a listener that its parent holds', { listener: 'parent', restartMs: 0, listDelayMs: 1_000, fatalAnswer: 'unframed event' }],
    ['is back after 1.5 s behind a listener that its parent holds, with a late list', { listener: 'parent', restartMs: 1_500, listDelayMs: 6_000 }]
  ] as const)('is kept from engines when the engine %s', async (_, way) => {
    site = new EngineSite(way)
    await site.start()
    const sound = await sendBoth(SEND_MS)
    expect(site.laterRequests).toBeLessThanOrEqual(MAX_LATER_REQUESTS)
    expect(sound).toEqual(sound.map(() => 200))
  })

  // A gateway that starts knows nothing of the crashes by itself, and owns leases of which it knows nothing.
  it('is kept from engines while all gateways are replaced', async () => {
    site = new EngineSite({ listener: 'parent', restartMs: 0, listDelayMs: 2_000 })
    await site.start()
    const sent = sendBoth(SEND_MS)
    for (let i = GATEWAYS + 1; i <= 2 * GATEWAYS; i++) {
      await sleep(REPLACE_INTERVAL_MS)
      await site.replaceGateway(`127.0.0.${i}`)
    }
    await sent
    expect(site.laterRequests).toBeLessThanOrEqual(MAX_LATER_REQUESTS)
  })

  // Engines that ended together counted as one crash, however many: the next six requests ended all engines again.
  it('is kept from engines when it ends all of them at once, again and again', async () => {
    site = new EngineSite({ listener: 'child', restartMs: 500, listDelayMs: 100 })
    await site.start()
    for (let i = 0; i < 3; i++) await Promise.all([sendBoth(BURST_INTERVAL_MS, 0), site.sendFatalToAll()])
    expect(site.laterRequests).toBeLessThanOrEqual(MAX_LATER_REQUESTS)
  })
})
