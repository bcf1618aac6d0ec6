/** Fixture of the tests on loopback: starts gateways, sends requests as a caller does. */
import { readFileSync } from 'node:fs'
import { request } from 'node:http'
import { createServer, type AddressInfo, type Socket } from 'node:net'
import { pino } from 'pino'
import { SeededRandom } from '../common/SeededRandom.js'
import { Gateway, type GatewaySettings } from '../gateway/Gateway.js'
import { GatewayMetrics } from '../gateway/GatewayMetrics.js'
import { SystemClock } from '../router/telemetry/Clock.js'
import { PlatformStore } from '../standin/PlatformStore.js'
import { PlatformWorker, type WorkerMode, type WorkerOptions } from '../standin/PlatformWorker.js'
import { freePort } from '../tools/FreePort.js'
import { RequestCodec } from './RequestCodec.js'
import { StoreClient } from './StoreClient.js'
import { ConfigReader, EndpointReader } from './StoreReaders.js'

/** Time between a gateway's reads of the list of endpoints. */
export const LIST_INTERVAL_MS = 100

/** A logged line. */
export type LogLine = Readonly<Record<string, unknown>>

/** What a caller received. */
export interface CallResult {
  readonly status: number
  readonly body: string
  readonly signature: string | undefined
  readonly retryAfter: string | undefined
  /** False when the connection closed before the end of the response. */
  readonly complete: boolean
}

/** A started gateway with its readers. */
export interface RunningGateway {
  readonly gateway: Gateway
  readonly port: number
  readonly stop: () => void
}

export const sleep = async (ms: number): Promise<void> => { await new Promise(resolve => setTimeout(resolve, ms)) }

/** Waits until a condition holds. */
export async function waitUntil (holds: () => boolean): Promise<void> {
  while (!holds()) await sleep(10)
}

/**
 * Starts a gateway.
 * @param address loopback address; gateways differ in it, as all use the same peer port.
 * @param onLog receives its log lines.
 * @param more settings that differ from the usual ones.
 */
export async function startGateway (
  storePort: number, address: string, peerPort: number, seeds: readonly string[], onLog: (line: LogLine) => void, more: Partial<GatewaySettings> = {}
): Promise<RunningGateway> {
  const [port, readiness, metricsPort] = [await freePort(), await freePort(), await freePort()]
  const log = pino({ base: null }, { write: text => { onLog(JSON.parse(text) as LogLine) } })
  const metrics = new GatewayMetrics()
  const settings = {
    id: `gateway-${address}`,
    dataCentre: 'a',
    callers: { address: '127.0.0.1', port },
    readiness: { address: '127.0.0.1', port: readiness },
    readinessPath: '/ready',
    metrics: { address, port: metricsPort },
    metricsPath: '/metrics',
    peerPort,
    seeds,
    graceMs: 8_000,
    configApplyMs: 2_000,
    retryRatio: 10, // each request earns retries, so that the first one that fails may have one
    retryBurst: 1_000,
    retryWindowMs: 1_000,
    memoryBytes: 268_435_456,
    maxDescriptors: 4_096,
    ...more
  }
  const gateway = new Gateway(settings, new SystemClock(), new SeededRandom(1), new RequestCodec(), metrics, log)
  const store = new StoreClient('127.0.0.1', storePort, metrics)
  const readers = [new ConfigReader(store, new SeededRandom(2), log, gateway), new EndpointReader(store, new SeededRandom(3), log, gateway, LIST_INTERVAL_MS)]
  await gateway.start()
  const running = Promise.all(readers.map(r => r.run()))
  running.catch(() => {})
  const stop = (): void => {
    readers.forEach(r => r.dispose())
    gateway.dispose()
    store.close()
  }
  return { gateway, port, stop }
}

/** A store, workers of the service `pool` and one gateway that is ready. */
export interface TestSite extends RunningGateway {
  readonly store: PlatformStore
  readonly workers: readonly PlatformWorker[]
}

/** What differs from a site of two workers with the usual configuration and settings. */
export interface SiteOptions {
  readonly workers?: number
  readonly workerOptions?: WorkerOptions
  readonly config?: object
  readonly settings?: Partial<GatewaySettings>
  readonly onLog?: (line: LogLine) => void
}

/** Starts a site; its `stop` stops all parts. */
export async function startSite (options: SiteOptions = {}): Promise<TestSite> {
  const { workers: count = 2, workerOptions = {}, config = createConfig(7), settings = {}, onLog = () => {} } = options
  const store = new PlatformStore()
  const storePort = await store.listen()
  const workers = Array.from({ length: count }, (_, i) => new PlatformWorker(`w${i + 1}`, workerOptions))
  for (const [i, worker] of workers.entries()) {
    await worker.listen()
    store.put(`servers/w${i + 1}`, worker.storeEntry('pool'))
  }
  store.put('op/config', config)
  const running = await startGateway(storePort, '127.0.0.1', await freePort(), ['127.0.0.1'], onLog, settings)
  await waitUntil(() => running.gateway.ready)
  const stop = (): void => {
    running.stop()
    workers.forEach(worker => worker.close())
    store.close()
  }
  return { ...running, store, workers, stop }
}

/** The usual configuration with other timeouts on all routes. */
export function withTimeouts (timeoutMs: number): object {
  const config = createConfig(7) as { readonly routes: readonly object[] }
  return { ...config, routes: config.routes.map(route => ({ ...route, timeout_ms: timeoutMs })) }
}

/** Sends one request and reads its response. */
export async function call (port: number, path: string, more: Readonly<Record<string, string>> = {}, body = 'hello'): Promise<CallResult> {
  const headers = { host: 'a.example', 'attempt-id': `r${Math.random()}`, 'deadline-ms': '3000', authorization: 'Bearer k1', ...more }
  return await new Promise((resolve, reject) => {
    const req = request({ port, host: '127.0.0.1', method: 'POST', path, headers, agent: false }, res => {
      let text = ''
      res.on('data', chunk => { text += String(chunk) })
      const end = (whole: boolean) => (): void => resolve({
        status: res.statusCode ?? 0, body: text, signature: res.headers['server-signature'] as string | undefined, retryAfter: res.headers['retry-after'], complete: whole
      })
      res.on('end', end(true))
      res.on('error', end(false))
    })
    req.on('error', reject)
    req.end(body)
  })
}

/** A configuration with a route of each kind to the service `pool`. */
export function createConfig (version: number, extra: readonly object[] = []): object {
  const common = { host: 'a.example', service: 'pool', timeout_ms: 2_000, latency_goal_ms: 50, priority: 1 }
  return {
    version,
    routes: [
      { ...common, name: 'read', path_prefix: '/read/', route_kind: 'idempotent', max_attempts: 2 },
      { ...common, name: 'write', path_prefix: '/write/', route_kind: 'non_idempotent', max_attempts: 1 },
      { ...common, name: 'stream', path_prefix: '/stream/', route_kind: 'streaming', max_attempts: 1 },
      { ...common, name: 'resumable', path_prefix: '/stream/again/', route_kind: 'streaming', resumable: true, max_attempts: 2 },
      ...extra
    ],
    services: [{ name: 'pool', health_path: '/healthz', max_conns: 100 }],
    limits: { max_header_bytes: 4_000, max_body_bytes: 1_000, header_timeout_ms: 3_000, idle_timeout_ms: 15_000 },
    tenants: [{ name: 'looms', api_keys: ['k1'], priority: 1 }]
  }
}

/** True for a test that KNOWN-RED.txt names, which CI passes over; RUN_KNOWN_RED=1 runs it. */
export function isKnownRed (test: string): boolean {
  return process.env.RUN_KNOWN_RED === undefined && readFileSync('KNOWN-RED.txt', 'utf8').includes(test)
}

/** Sets the mode of the worker that requests with this path reach first, and returns it. */
export async function setModeOfFirstWorker (
  port: number, workers: readonly PlatformWorker[], path: string, more: Readonly<Record<string, string>>, mode: WorkerMode
): Promise<PlatformWorker> {
  await call(port, path, more)
  const served = workers.find(w => w.executedIds.length > 0)!
  served.mode = mode
  workers.forEach(w => { w.executedIds.length = 0 })
  return served
}

/** A request that a raw worker received. */
export interface RawRequest {
  /** Request line and headers. */
  readonly head: string
  readonly id: string
  /** Number of requests that came on this connection before. */
  readonly earlier: number
  readonly socket: Socket
}

/** A worker that answers with bytes of a test's own. */
interface RawWorker {
  readonly entry: object
  readonly close: () => void
}

/** What differs from a raw site with the usual configuration. */
export interface RawSiteOptions {
  readonly config?: object
  /** True to answer at the end of the request's head, and to leave the body unread; else the body is taken to be `hello`. */
  readonly answersEarly?: boolean
}

/** Listens on loopback; `answer` is called with each request. */
async function startRawWorker (answer: (req: RawRequest) => void, answersEarly: boolean): Promise<RawWorker> {
  const requestEnd = answersEarly ? '\r\n\r\n' : '\r\n\r\nhello'
  const server = createServer(socket => {
    let text = ''
    let earlier = 0
    socket.on('error', () => {})
    socket.on('data', chunk => {
      text += String(chunk)
      for (let end = text.indexOf(requestEnd); end >= 0; end = text.indexOf(requestEnd)) {
        const head = text.slice(0, end)
        text = answersEarly ? '' : text.slice(end + requestEnd.length)
        if (answersEarly) socket.pause()
        answer({ head, id: /^attempt-id: (.*)$/im.exec(head)?.[1] ?? '', earlier: earlier++, socket })
      }
    })
  })
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
  const { port } = server.address() as AddressInfo
  const entry = { service: 'pool', address: `127.0.0.1:${port}`, zone: 'a', version: 'v1', slots: 8, state: 'ready', cold_left_ms: 0, seq_no: 1 }
  return { entry, close: () => { server.close() } }
}

/** Starts a site whose only workers answer by `answer`. */
export async function startRawSite (count: number, answer: (req: RawRequest, worker: number) => void, options: RawSiteOptions = {}): Promise<TestSite> {
  const { config = createConfig(7), answersEarly = false } = options
  const listed = new Set<unknown>()
  const site = await startSite({ workers: 0, config, onLog: line => { if (line.step === 'endpoints') listed.add(line.endpoint) } })
  const rawWorkers: RawWorker[] = []
  for (let i = 0; i < count; i++) {
    const worker = await startRawWorker(req => answer(req, i), answersEarly)
    rawWorkers.push(worker)
    site.store.put(`servers/r${i}`, worker.entry)
  }
  await waitUntil(() => listed.size === count)
  const stop = (): void => {
    site.stop()
    rawWorkers.forEach(w => w.close())
  }
  return { ...site, stop }
}
