/**
 * End-to-end tests on loopback of the evacuation of a data centre: gateways of three data centres send calls, streams and requests of
 * sessions to workers there. What counts is when requests arrive at the workers; the only time that is checked is the bound.
 */
import { connect, createServer, type AddressInfo, type Socket } from 'node:net'
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest'
import { EndpointPool } from '../gateway/EndpointPool.js'
import { PlatformStore } from '../standin/PlatformStore.js'
import { PlatformWorker } from '../standin/PlatformWorker.js'
import { freePort } from '../tools/FreePort.js'
import { call, createConfig, sleep, startGateway, waitUntil, type CallResult, type LogLine, type RunningGateway } from './TestUtils.test.js'

const BOUND_MS = 4_000
const OBSERVED_MS = 1_200 // after the bound
const REQUEST_INTERVAL_MS = 40
const SESSIONS = 24
const DATA_CENTRES = ['a', 'b', 'c'] as const
const TEST_TIMEOUT_MS = 40_000

type DataCentre = typeof DATA_CENTRES[number]

let store: PlatformStore
let storePort: number
let peerPort: number
let workers: Record<DataCentre, PlatformWorker[]>
let gateways: RunningGateway[]
let logLines: LogLine[]
const stops: Array<() => void> = []

/** Starts a gateway; those of a test differ in their number and may be in any data centre. */
async function start (number: number, dataCentre: DataCentre, port = storePort): Promise<RunningGateway> {
  const onLog = (line: LogLine): void => { logLines.push({ ...line, gateway: number }) }
  const gateway = await startGateway(port, `127.0.0.${number}`, peerPort, ['127.0.0.1'], onLog, { dataCentre, evacuationMs: BOUND_MS })
  stops.push(gateway.stop)
  return gateway
}

/** Starts a gateway for each of these data centres, the first with the store, the others as `ports` says. */
async function startAll (ports: readonly number[] = [storePort, storePort, storePort]): Promise<void> {
  for (const [i, port] of ports.entries()) gateways.push(await start(i + 1, DATA_CENTRES[i]!, port))
  await waitUntil(() => gateways.every(g => g.gateway.ready))
}

/** A store that refuses all calls. */
async function refusingStore (): Promise<number> {
  const other = new PlatformStore()
  other.mode = 'refuses'
  stops.push(() => other.close())
  return await other.listen()
}

/** A gateway's way to the store, which can be cut. */
interface StoreLink {
  readonly port: number
  readonly cut: () => void
}

async function storeLink (): Promise<StoreLink> {
  const sockets = new Set<Socket>()
  let isCut = false
  const server = createServer(near => {
    const far = connect(storePort, '127.0.0.1')
    for (const [socket, other] of [[near, far], [far, near]] as const) {
      sockets.add(socket)
      socket.on('error', () => {}).on('close', () => { other.destroy() }).pipe(other)
    }
    if (isCut) near.destroy()
  })
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
  const cut = (): void => {
    isCut = true
    sockets.forEach(socket => socket.destroy())
  }
  stops.push(() => {
    server.close()
    cut()
  })
  return { port: (server.address() as AddressInfo).port, cut }
}

/** Requests that are sent to gateways at an interval, in turn a call, one that may run once only, and a stream of a session. */
class Load {
  readonly answers: CallResult[] = []
  /** Sources of copies that workers were named, with the time. */
  readonly copies: Array<{ readonly source: string, readonly at: number }> = []
  readonly #timer: NodeJS.Timeout
  readonly #pending: Array<Promise<unknown>> = []
  #count = 0

  constructor (to: readonly RunningGateway[]) {
    this.#timer = setInterval(() => {
      for (const gateway of to) this.#pending.push(this.#send(gateway.port).catch(() => {}))
      this.#recordCopies()
    }, REQUEST_INTERVAL_MS)
  }

  async #send (port: number): Promise<void> {
    const n = this.#count++
    const prompt = { 'prefix-hash': `template:100,session${n % SESSIONS}:500,own${n}:50`, 'token-count': '650,20' }
    if (n % 3 === 0) this.answers.push(await call(port, `/read/${n}`))
    else if (n % 3 === 1) this.answers.push(await call(port, `/write/${n}`))
    else this.answers.push(await call(port, `/stream/again/${n}`, prompt))
  }

  #recordCopies (): void {
    for (const worker of Object.values(workers).flat()) {
      const source = worker.lastHeaders['kv-fetch']
      if (typeof source === 'string') this.copies.push({ source, at: worker.arrivals.at(-1)! })
    }
  }

  /** Statuses of all answers, each once. */
  async stop (): Promise<number[]> {
    clearInterval(this.#timer)
    await Promise.all(this.#pending)
    return [...new Set(this.answers.map(a => a.status))].sort()
  }
}

/** Number of requests that arrived in a data centre between two times. */
function arrivals (dataCentre: DataCentre, from: number, to = Infinity): number {
  return workers[dataCentre].reduce((sum, w) => sum + w.arrivals.filter(at => at >= from && at < to).length, 0)
}

/** Writes the key of an evacuation; returns the time from which the data centre may get no more requests. */
function evacuate (dataCentre: DataCentre): number {
  store.put(`op/evacuate/${dataCentre}`, {})
  return performance.now() + BOUND_MS
}

/** Gateways that have logged this change. */
function countLogged (kind: string, dataCentre: DataCentre): number {
  return new Set(logLines.filter(l => l.step === 'evacuation' && l.kind === kind && l.dataCentre === dataCentre).map(l => l.gateway)).size
}

beforeEach(async () => {
  store = new PlatformStore()
  storePort = await store.listen()
  peerPort = await freePort()
  gateways = []
  logLines = []
  workers = { a: [], b: [], c: [] }
  for (const dataCentre of DATA_CENTRES) {
    for (const n of [1, 2]) {
      const worker = new PlatformWorker(`${dataCentre}${n}`)
      await worker.listen()
      workers[dataCentre].push(worker)
      store.put(`servers/${dataCentre}${n}`, { ...worker.storeEntry('pool'), zone: dataCentre })
    }
  }
  store.put('op/config', createConfig(7))
  stops.push(() => store.close(), ...Object.values(workers).flat().map(w => () => w.close()))
})

afterEach(() => { stops.splice(0).reverse().forEach(stop => stop()) })

describe('a data centre that is evacuated', () => {
  // Calls, streams, sessions, retries and copies of prompts went on to a data centre that was about to be switched off.
  it('gets no request after the bound, while all are served elsewhere, and gets some again after the end', async () => {
    await startAll()
    workers.b[0]!.mode = 'tearing' // streams break there, and are resumed elsewhere
    const load = new Load(gateways)
    await waitUntil(() => arrivals('b', 0) > 20)
    const closedAt = evacuate('b')
    await sleep(BOUND_MS + OBSERVED_MS)
    const endedAt = performance.now()
    workers.b[0]!.mode = 'well'
    store.delete('op/evacuate/b')
    await waitUntil(() => arrivals('b', endedAt) > 0)
    const statuses = await load.stop()
    const sources = workers.b.map(w => `127.0.0.1:${w.port}`)
    const late = load.copies.filter(c => c.at >= closedAt && c.at < endedAt && sources.includes(c.source)).length
    expect([statuses, arrivals('b', closedAt, endedAt), arrivals('a', closedAt) > 0, late, countLogged('started', 'b'), countLogged('ended', 'b')])
      .toEqual([[200], 0, true, 0, 3, 3])
  }, TEST_TIMEOUT_MS)

  // Two evacuations overlap: the end of one ended the other, or one replaced the other.
  it('stays evacuated while another one begins and ends', async () => {
    await startAll()
    const load = new Load(gateways)
    const closedA = evacuate('a')
    await sleep(500)
    const closedB = evacuate('b')
    await sleep(BOUND_MS + OBSERVED_MS)
    const endedAt = performance.now()
    store.delete('op/evacuate/a')
    await waitUntil(() => arrivals('a', endedAt) > 0)
    await sleep(OBSERVED_MS)
    const statuses = await load.stop()
    expect([statuses, arrivals('a', closedA, endedAt), arrivals('b', closedB)]).toEqual([[200], 0, 0])
  }, TEST_TIMEOUT_MS)

  // An evacuation that was taken back at once went on at gateways that had missed its end.
  it('serves again when it is taken back within the bound', async () => {
    await startAll()
    const load = new Load(gateways)
    evacuate('b')
    await waitUntil(() => countLogged('started', 'b') === 3)
    store.delete('op/evacuate/b')
    await waitUntil(() => countLogged('ended', 'b') === 3)
    const endedAt = performance.now()
    await waitUntil(() => arrivals('b', endedAt) > 5)
    expect(await load.stop()).toEqual([200])
  }, TEST_TIMEOUT_MS)

  // With every data centre evacuated, gateways sent requests to one of them rather than refuse them.
  it('gets no request either when all are evacuated: these are refused as not run, at once', async () => {
    await startAll()
    const load = new Load(gateways)
    DATA_CENTRES.forEach(dataCentre => store.put(`op/evacuate/${dataCentre}`, {}))
    const closedAt = performance.now() + BOUND_MS
    await sleep(BOUND_MS)
    const before = load.answers.length
    await sleep(OBSERVED_MS)
    const refused = load.answers.slice(before + 2 * gateways.length) // without those that were on their way
    store.delete('op/evacuate/c')
    await waitUntil(() => countLogged('ended', 'c') === 3)
    const after = await Promise.all(gateways.map(async g => (await call(g.port, '/write/again')).status))
    await load.stop()
    const wrong = refused.filter(a => a.status !== 503 || !a.body.includes('"evacuated"') || Number(a.retryAfter) < 1 || Number(a.retryAfter) > 2)
    expect([wrong, refused.length > 20, arrivals('a', closedAt) + arrivals('b', closedAt), after]).toEqual([[], true, 0, [200, 200, 200]])
  }, TEST_TIMEOUT_MS)
})

// An evacuation that a gateway heard of while it connected to an endpoint there came too late for that request, even for one that may run once only.
it('a request whose endpoint was evacuated while it connected is sent to another, without an outcome for the first', async () => {
  await startAll([storePort])
  const isOpen = vi.spyOn(EndpointPool.prototype, 'isOpen').mockReturnValueOnce(false)
  const { status } = await call(gateways[0]!.port, '/write/1')
  isOpen.mockRestore()
  const attempts = logLines.find(l => l.step === 'request')!.attempts as ReadonlyArray<Readonly<Record<string, unknown>>>
  const arrived = DATA_CENTRES.reduce((sum, dataCentre) => sum + arrivals(dataCentre, 0), 0)
  expect([status, arrived, attempts.map(a => [a.result, a.detail, a.retry]), attempts[0]!.endpoint === attempts[1]!.endpoint])
    .toEqual([200, 1, [['not-run', 'withdrawn before it was written', undefined], ['answered', undefined, undefined]], false])
}, TEST_TIMEOUT_MS)

describe('an evacuation, when parts fail', () => {
  // A gateway that starts knew no evacuation, and sent its first requests to the evacuated data centre.
  it('is known to a gateway that starts, also while the store can\'t be read', async () => {
    await startAll()
    const closedAt = evacuate('b')
    await waitUntil(() => countLogged('started', 'b') === 3)
    await sleep(Math.max(0, closedAt - performance.now()))
    const started = [await start(4, 'b'), await start(5, 'b', await refusingStore())]
    const load = new Load(started) // from their first moment on
    await waitUntil(() => started.every(g => g.gateway.ready))
    const readyAt = performance.now()
    await sleep(OBSERVED_MS)
    await load.stop()
    expect([arrivals('b', closedAt), arrivals('a', readyAt) + arrivals('c', readyAt) > 10]).toEqual([0, true])
  }, TEST_TIMEOUT_MS)

  // The one gateway that had read of the evacuation ended before the others had read it, and the store was lost with it.
  it('holds when the reader that saw it dies, and the others can\'t read the store', async () => {
    const refusing = await refusingStore()
    await startAll([storePort, refusing, refusing])
    const others = gateways.slice(1)
    const load = new Load(others)
    const closedAt = evacuate('b')
    await waitUntil(() => logLines.some(l => l.step === 'evacuation' && l.from === 'store'))
    gateways[0]!.stop()
    await sleep(BOUND_MS + OBSERVED_MS)
    const statuses = await load.stop()
    expect([statuses, arrivals('b', closedAt)]).toEqual([[200], 0])
  }, TEST_TIMEOUT_MS)

  // The gateways that watch for all others couldn't read the store, but passed on the others' confirmations, so that none read of the evacuation.
  it('is heard of when every gateway that watches is cut off from the store', async () => {
    const links: StoreLink[] = []
    for (const [i, dataCentre] of (['a', 'a', 'b', 'b'] as const).entries()) {
      links.push(await storeLink())
      gateways.push(await start(i + 1, dataCentre, links[i]!.port))
    }
    await waitUntil(() => gateways.every(g => g.gateway.ready) && gateways.filter(g => g.gateway.isConfigReader).length === 2)
    await sleep(500)
    const load = new Load(gateways)
    for (const [i, { gateway }] of gateways.entries()) if (gateway.isConfigReader) links[i]!.cut()
    await sleep(100)
    const closedAt = evacuate('b')
    await sleep(BOUND_MS + OBSERVED_MS)
    const statuses = await load.stop()
    expect([statuses, arrivals('b', closedAt), countLogged('started', 'b')]).toEqual([[200], 0, 4])
  }, TEST_TIMEOUT_MS)

  // A store that was away ended evacuations, or kept one whose key was deleted meanwhile.
  it('holds while the store is away, and ends when the store is back without its key', async () => {
    await startAll()
    const load = new Load(gateways)
    const closedAt = evacuate('b')
    await waitUntil(() => countLogged('started', 'b') > 0)
    store.mode = 'refuses'
    await sleep(BOUND_MS + OBSERVED_MS)
    store.delete('op/evacuate/b')
    store.compact()
    const backAt = performance.now()
    store.mode = 'serves'
    await waitUntil(() => arrivals('b', backAt) > 0)
    const statuses = await load.stop()
    expect([statuses, arrivals('b', closedAt, backAt)]).toEqual([[200], 0])
  }, TEST_TIMEOUT_MS)

  // The copy has no such key, and requests went to the data centre before the operator could write it again.
  it('holds over the return of the store from an older copy, when the operator writes it again', async () => {
    await startAll()
    const copy = store.copy()
    for (let i = 0; i < 20; i++) store.put('servers/x', `malformed ${i}`)
    const load = new Load(gateways)
    const closedAt = evacuate('b')
    await sleep(BOUND_MS)
    store.restore(copy)
    await sleep(1_000)
    evacuate('b')
    await sleep(3_000 + OBSERVED_MS)
    const statuses = await load.stop()
    expect([statuses, arrivals('b', closedAt)]).toEqual([[200], 0])
  }, TEST_TIMEOUT_MS)

  // The copy lacks the key and the operator doesn't write it again: the evacuation must end, after a while.
  it('ends some time after the return of the store from a copy without its key', async () => {
    await startAll()
    const copy = store.copy()
    const load = new Load(gateways)
    const closedAt = evacuate('b')
    await sleep(BOUND_MS)
    store.restore(copy)
    const restoredAt = performance.now()
    await waitUntil(() => arrivals('b', restoredAt) > 0)
    await load.stop()
    expect(arrivals('b', closedAt, restoredAt + 2_000)).toBe(0)
  }, TEST_TIMEOUT_MS)

  // The copy has a key that had been deleted: it is the operator's word again.
  it('begins again when the store comes back from a copy with its key', async () => {
    await startAll()
    evacuate('b')
    await waitUntil(() => countLogged('started', 'b') === 3)
    const copy = store.copy()
    store.delete('op/evacuate/b')
    await waitUntil(() => countLogged('ended', 'b') === 3)
    const load = new Load(gateways)
    await waitUntil(() => arrivals('b', 0) > 5)
    store.restore(copy)
    const closedAt = performance.now() + BOUND_MS
    await sleep(BOUND_MS + OBSERVED_MS)
    const statuses = await load.stop()
    expect([statuses, arrivals('b', closedAt)]).toEqual([[200], 0])
  }, TEST_TIMEOUT_MS)
})

// Where the settings name no bound, keys of evacuations must change nothing, and cost no calls.
it('a key of an evacuation has no effect where the settings name no bound', async () => {
  const gateway = await startGateway(storePort, '127.0.0.1', peerPort, ['127.0.0.1'], line => { logLines.push(line) })
  stops.push(gateway.stop)
  await waitUntil(() => gateway.gateway.ready)
  DATA_CENTRES.forEach(dataCentre => store.put(`op/evacuate/${dataCentre}`, {}))
  await sleep(500)
  const { status } = await call(gateway.port, '/read/1')
  expect([status, store.callCounts.get('key'), logLines.filter(l => l.step === 'evacuation')]).toEqual([200, 1, []])
}, TEST_TIMEOUT_MS)
