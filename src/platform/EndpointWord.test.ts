/** End-to-end tests on loopback of endpoints that say in their answers that they are leaving, or want a pause. */
import { afterEach, beforeEach, describe, expect, it } from 'vitest'
import type { PlatformWorker } from '../standin/PlatformWorker.js'
import { call, sleep, startSite, type CallResult, type LogLine, type TestSite } from './TestUtils.test.js'

const PAUSE_MS = 5_000 // longer than the requests take on a busy machine
const LONG_PAUSE_SEC = 40
const REQUESTS = 40
const MAX_ARRIVALS = 2 // in a pause, by the platform's rule
const PROMPT = { 'prefix-hash': 'aa:100,bb:500,cc:50', 'token-count': '650,20' }

let site: TestSite
let workers: readonly PlatformWorker[]
const logLines: LogLine[] = []

const sendMany = async (path: string, more: Readonly<Record<string, string>> = {}): Promise<CallResult[]> =>
  await Promise.all(Array.from({ length: REQUESTS }, async (_, i) => {
    await sleep(i * 10)
    return await call(site.port, path, more)
  }))

/** Sends requests until this worker has had one. */
async function reach (worker: PlatformWorker, path: string, more: Readonly<Record<string, string>> = {}): Promise<void> {
  const before = worker.arrivals.length
  while (worker.arrivals.length === before) await call(site.port, path, more)
}

beforeEach(async () => {
  site = await startSite({ onLog: line => { logLines.push(line) } })
  workers = site.workers
})

afterEach(() => {
  logLines.length = 0
  site.stop()
})

// The headers weren't decoded: an endpoint that left got requests for as long as the list named it.
describe('an endpoint that says that it is leaving', () => {
  it.each([['calls', '/read/1', {}], ['streams of a session', '/stream/1', PROMPT]] as const)('gets no new requests, though the list says that it is ready: %s', async (_, path, more) => {
    await call(site.port, path, more)
    const [leaving] = workers.filter(w => w.arrivals.length > 0)
    leaving!.leaving = true
    await reach(leaving!, path, more)
    const before = leaving!.arrivals.length
    const answers = await sendMany(path, more)
    expect([leaving!.arrivals.length - before, answers.every(a => a.status === 200)]).toEqual([0, true])
    expect(logLines.filter(line => line.msg === 'endpoint says that it is leaving').length).toBe(1)
  })

  it('is a new one after its next start', async () => {
    workers[0]!.leaving = true
    await reach(workers[0]!, '/read/1')
    workers[0]!.leaving = false
    site.store.put('servers/w1', { ...workers[0]!.storeEntry('pool'), born: 1_700_000_000_000 })
    await reach(workers[0]!, '/read/1')
  })
})

// An endpoint that refused with a time to come back got every request that it seemed to have room for.
describe('an endpoint that refuses a request and asks for a pause', () => {
  it('gets at most two requests in it, and requests again afterwards, while another one serves its callers', async () => {
    workers[0]!.mode = 'full'
    workers[0]!.retryAfter = String(PAUSE_MS / 1_000)
    await reach(workers[0]!, '/read/1')
    const before = workers[0]!.arrivals.length
    const answers = await sendMany('/read/1')
    expect(workers[0]!.arrivals.length - before).toBeLessThanOrEqual(MAX_ARRIVALS)
    expect(answers.every(a => a.status === 200)).toBe(true)
    workers[0]!.mode = 'well'
    await sleep(PAUSE_MS)
    await reach(workers[0]!, '/read/1')
  })

  it('makes callers come back when the first pause ends, when all endpoints ask for one', async () => {
    workers.forEach((w, i) => {
      w.mode = 'full'
      w.retryAfter = String((i + 1) * LONG_PAUSE_SEC)
    })
    while (workers.some(w => w.arrivals.length === 0)) await call(site.port, '/write/1')
    const before = workers.reduce((sum, w) => sum + w.arrivals.length, 0)
    const answers = await sendMany('/write/1')
    expect(workers.reduce((sum, w) => sum + w.arrivals.length, 0) - before).toBeLessThanOrEqual(MAX_ARRIVALS)
    expect(answers.every(a => a.status === 503 && Number(a.retryAfter) > LONG_PAUSE_SEC / 2 && Number(a.retryAfter) < LONG_PAUSE_SEC + 1.1)).toBe(true)
    expect(new Set(answers.map(a => a.retryAfter)).size).toBeGreaterThan(REQUESTS / 2)
  })

  it.each(['-1', 'soon', '0', 'NaN', ''])('is not shut out by a value that names no time: "%s"', async value => {
    workers.forEach(w => { w.retryAfter = value })
    workers[0]!.mode = 'full'
    await reach(workers[0]!, '/read/1')
    await reach(workers[0]!, '/read/1')
  })
})
