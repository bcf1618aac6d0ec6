/** End-to-end tests on loopback of routes and accounts whose requests may go to endpoints of some regions only. */
import { afterEach, describe, expect, it } from 'vitest'
import { PlatformStore } from '../standin/PlatformStore.js'
import { PlatformWorker } from '../standin/PlatformWorker.js'
import { freePort } from '../tools/FreePort.js'
import { call, createConfig, LIST_INTERVAL_MS, sleep, startGateway, waitUntil, type CallResult, type LogLine, type RunningGateway } from './TestUtils.test.js'

const REGIONS = new Map([['a', 'north'], ['b', 'south']]) // the zone `c` has no known region
const ZONES: Readonly<Record<string, string>> = { n1: 'a', n2: 'a', s1: 'b', s2: 'b', s3: 'b', x1: 'c' }
const REQUESTS = 60

const stops: Array<() => void> = []
const gateways: RunningGateway[] = []
const logLines: LogLine[] = []
const workers = new Map<string, PlatformWorker>()
let store: PlatformStore

/** Starts workers in three zones, and gateways in the zones of both regions. */
async function startSite (): Promise<void> {
  store = new PlatformStore()
  const storePort = await store.listen()
  const peerPort = await freePort()
  stops.push(() => store.close())
  for (const [id, zone] of Object.entries(ZONES)) {
    const worker: PlatformWorker = new PlatformWorker(id, { onStart: (_, account) => recordStart(worker, id, account) })
    accounts.set(id, new Set())
    await worker.listen()
    workers.set(id, worker)
    stops.push(() => worker.close())
    store.put(`servers/${id}`, { ...worker.storeEntry('pool'), zone })
  }
  const southOnly = { host: 'a.example', service: 'pool', timeout_ms: 2_000, latency_goal_ms: 50, priority: 1, route_kind: 'idempotent', max_attempts: 2 }
  const extra = [
    { ...southOnly, name: 'south', path_prefix: '/south/', allowed_regions: ['south'] },
    { ...southOnly, name: 'broken', path_prefix: '/broken/', allowed_regions: 'south' }
  ]
  const tenants = [{ name: 'looms', api_keys: ['k1'] }, { name: 'northern', api_keys: ['k2'], allowed_regions: ['north'] }]
  store.put('op/config', { ...createConfig(7, extra), tenants })
  for (const [i, dataCentre] of ['a', 'b'].entries()) {
    gateways.push(await startGateway(storePort, `127.0.0.${i + 1}`, peerPort, ['127.0.0.1'], line => { logLines.push(line) }, { regions: REGIONS, dataCentre }))
  }
  stops.push(...gateways.map(g => g.stop))
  await waitUntil(() => gateways.every(g => g.gateway.ready))
  await sleep(3 * LIST_INTERVAL_MS)
}

/** Accounts whose requests each worker ran. */
const accounts = new Map<string, Set<string>>()
/** Addresses of the engines from which prompts of the account `northern` were to be copied. */
const sources = new Set<string>()

function recordStart (worker: PlatformWorker, id: string, account: string): void {
  accounts.get(id)!.add(account)
  const source = worker.lastHeaders['kv-fetch']
  if (account === 'northern' && source !== undefined) sources.add(String(source))
}

async function send (path: string, key: string, i: number): Promise<CallResult> {
  const prompt = { 'prefix-hash': `aa:100,s${i % 20}:500,own${i}:50`, 'token-count': '650,20' }
  return await call(gateways[i % gateways.length]!.port, path, { authorization: `Bearer ${key}`, ...path.startsWith('/stream') ? prompt : {} })
}

/** Sends requests of both accounts, which share their prompts, to all routes; returns the answers. */
async function load (): Promise<CallResult[]> {
  const answers: CallResult[] = []
  for (let i = 0; i < REQUESTS; i++) {
    answers.push(...await Promise.all([send('/stream/again/1', 'k1', i), send('/stream/again/1', 'k2', i), send('/read/1', 'k1', i), send('/read/1', 'k2', i)]))
  }
  return answers
}

const ran = (account: string): string[] => [...workers.keys()].filter(id => accounts.get(id)!.has(account))

afterEach(() => {
  stops.splice(0).forEach(stop => stop())
  gateways.length = 0
  logLines.length = 0
  workers.clear()
  accounts.clear()
  sources.clear()
})

describe('requests that may go to some regions only', () => {
  // Sessions of both accounts share their prompts: they were sent to the engines that the other account's requests had been placed at.
  it('reach endpoints there only, also when these fail, while other accounts with the same prompts use all', async () => {
    await startSite()
    const answers = await load()
    workers.get('n1')!.mode = 'full'
    const withFailures = await load()
    workers.get('n2')!.close()
    await load()
    const allowed = ['n1', 'n2'].map(id => `127.0.0.1:${workers.get(id)!.port}`)
    expect([ran('northern'), ran('looms')]).toEqual([['n1', 'n2'], Object.keys(ZONES)])
    expect([sources.size > 0, [...sources].filter(address => !allowed.includes(address))]).toEqual([true, []])
    expect([...answers, ...withFailures].map(a => a.status)).toEqual(Array(8 * REQUESTS).fill(200))
  })

  it('are refused at once as not run when no endpoint is allowed', async () => {
    await startSite()
    const before = await Promise.all([send('/south/1', 'k1', 0), send('/south/1', 'k2', 0), send('/south/1', 'k2', 1), send('/broken/1', 'k1', 0)])
    for (const id of ['s1', 's2', 's3']) store.delete(`servers/${id}`)
    await waitUntil(() => logLines.filter(line => line.kind === 'gone').length === 3 * gateways.length)
    const after = await send('/south/1', 'k1', 1)
    const lines = logLines.filter(line => line.step === 'request' && line.code === 'no_endpoint')
    expect([before.map(a => a.status), after.status, ran('looms'), ran('northern')]).toEqual([[200, 503, 503, 503], 503, ran('looms').filter(id => ZONES[id] === 'b'), []])
    expect([lines.length, lines.every(line => Number(line.ms) < 100)]).toEqual([4, true])
  })
})
