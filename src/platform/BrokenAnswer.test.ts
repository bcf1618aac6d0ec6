/** End-to-end tests on loopback of answers that are broken off where nothing marks their end. */
import { request, type IncomingMessage } from 'node:http'
import { connect, createServer, type Socket } from 'node:net'
import { afterEach, beforeEach, describe, expect, it } from 'vitest'
import { PlatformStore } from '../standin/PlatformStore.js'
import { PlatformWorker } from '../standin/PlatformWorker.js'
import { freePort } from '../tools/FreePort.js'
import { call, createConfig, setModeOfFirstWorker, sleep, startGateway, waitUntil, type CallResult, type LogLine, type RunningGateway } from './TestUtils.test.js'

const PROMPT = { 'prefix-hash': 'aa:100,bb:500,cc:50', 'token-count': '650,20' }
const EVENTS = [1, 2, 3, 4].map(i => `id: ${i}\ndata: token${i}\n\n`)
const PROPAGATION_MS = 50
const SLOW_EVENT_MS = 150
const LARGE_EVENT = `data: ${'x'.repeat(992)}\n\n`
const FLOOD_EVENTS = 6_000 // about what the buffers up to a caller that doesn't read hold
const LARGE_ANSWER_BYTES = 3_000_000 // more than a gateway buffers

let store: PlatformStore
let workers: PlatformWorker[]
let gateway: RunningGateway
const logLines: LogLine[] = []
const stops: Array<() => void> = []

/** Sends a request as a caller of HTTP/1.0, to which no chunks can be sent; returns the body and how the connection ended. */
async function callWithHttp10 (path: string): Promise<{ readonly body: string, readonly end: 'closed' | 'reset' }> {
  const headers = ['Host: a.example', 'Attempt-Id: r10', 'Deadline-Ms: 3000', 'Authorization: Bearer k1', 'Content-Length: 0', ...Object.entries(PROMPT).map(h => h.join(': '))]
  return await new Promise(resolve => {
    let text = ''
    const socket = connect(gateway.port, '127.0.0.1', () => socket.write(`POST ${path} HTTP/1.0\r\n${headers.join('\r\n')}\r\n\r\n`))
    const end = (how: 'closed' | 'reset') => (): void => resolve({ body: text.split('\r\n\r\n').slice(1).join('\r\n\r\n'), end: how })
    socket.on('data', chunk => { text += String(chunk) })
    socket.on('end', () => end(socket.remoteAddress === undefined ? 'reset' : 'closed')()) // without an address after a reset that directly follows bytes
    socket.on('error', end('reset'))
  })
}

/** Starts a worker of a service of its own, whose answers are unmarked and whose events come slowly. */
async function startSlowWorker (workMs = 0): Promise<PlatformWorker> {
  const common = { host: 'a.example', service: 'slow', max_attempts: 1, timeout_ms: 3_000, latency_goal_ms: 500, priority: 1 }
  const worker = new PlatformWorker('w3', { eventIntervalMs: SLOW_EVENT_MS, workMs })
  await worker.listen()
  stops.push(() => worker.close())
  worker.mode = 'unframed whole'
  store.put('servers/w3', worker.storeEntry('slow'))
  store.put('op/config', createConfig(8, [
    { ...common, name: 'slow', path_prefix: '/stream/slow/', route_kind: 'streaming' },
    { ...common, name: 'slow calls', path_prefix: '/write/slow/', route_kind: 'non_idempotent' }
  ]))
  await waitUntil(() => gateway.gateway.configRevision === 8 && logLines.some(line => line.endpoint === 'w3'))
  return worker
}

/** Ends a worker with its connections; another one under its id listens at its port at once. */
async function restart (worker: PlatformWorker): Promise<void> {
  worker.close()
  const successor = new PlatformWorker('w3')
  await successor.listen(worker.port)
  stops.push(() => successor.close())
}

/** Starts a worker that answers with many whole events and never ends an answer; its restart ends all connections. */
async function startFloodingWorker (): Promise<{ readonly hasWritten: () => boolean, readonly restart: () => Promise<void> }> {
  const worker = await startSlowWorker()
  worker.close()
  let hasWritten = false
  const sockets: Socket[] = []
  const server = createServer(socket => {
    sockets.push(socket)
    socket.on('error', () => {}).once('data', () => {
      socket.write('HTTP/1.1 200 OK\r\nAttempt-Id: r1\r\nServer-Signature: s\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n')
      socket.write(LARGE_EVENT.repeat(FLOOD_EVENTS), () => { hasWritten = true })
    })
  })
  const listen = async (): Promise<void> => { await new Promise<void>(resolve => server.listen(worker.port, '127.0.0.1', resolve)) }
  await listen()
  stops.push(() => {
    server.close()
    sockets.forEach(socket => socket.destroy())
  })
  const restart = async (): Promise<void> => {
    server.close()
    sockets.splice(0).forEach(socket => socket.destroy())
    await listen()
  }
  return { hasWritten: () => hasWritten, restart }
}

/** Sends a request and reads nothing of its answer's body before `readOn`, which returns how the answer ended. */
async function callSlowly (path: string): Promise<{ readonly readOn: () => Promise<'whole' | 'broken'> }> {
  const headers = { host: 'a.example', 'attempt-id': 'r1', 'deadline-ms': '3000', authorization: 'Bearer k1', ...PROMPT }
  const answer = await new Promise<IncomingMessage>((resolve, reject) => {
    request({ port: gateway.port, host: '127.0.0.1', method: 'POST', path, headers, agent: false }, resolve).on('error', reject).end('hello')
  })
  const end = new Promise<'whole' | 'broken'>(resolve => { answer.on('end', () => resolve('whole')).on('error', () => resolve('broken')) })
  const readOn = async (): Promise<'whole' | 'broken'> => {
    answer.resume()
    return await end
  }
  return { readOn }
}

beforeEach(async () => {
  store = new PlatformStore()
  const storePort = await store.listen()
  workers = ['w1', 'w2'].map(id => new PlatformWorker(id))
  for (const w of workers) await w.listen()
  workers.forEach((w, i) => store.put(`servers/w${i + 1}`, w.storeEntry('pool')))
  store.put('op/config', createConfig(7))
  gateway = await startGateway(storePort, '127.0.0.1', await freePort(), ['127.0.0.1'], line => { logLines.push(line) })
  stops.push(gateway.stop, () => store.close(), ...workers.map(w => () => w.close()))
  await waitUntil(() => gateway.gateway.ready)
})

afterEach(() => {
  logLines.length = 0
  stops.splice(0).forEach(stop => stop())
})

describe('an answer without length or chunks', () => {
  // A crash exactly between two events looked like the end of the stream.
  it('is aborted when a stream ends between two events as its endpoint ends', async () => {
    await setModeOfFirstWorker(gateway.port, workers, '/stream/1', PROMPT, 'unframed crash')
    const answer = await call(gateway.port, '/stream/1', PROMPT)
    expect([answer.status, answer.complete, answer.body]).toEqual([200, false, EVENTS[0]])
  })

  // The same for a route that allows another endpoint to go on: the caller got the first event alone.
  it('is resumed at another endpoint when its own ends between two events', async () => {
    await setModeOfFirstWorker(gateway.port, workers, '/stream/again/1', PROMPT, 'unframed crash')
    const answer = await call(gateway.port, '/stream/again/1', PROMPT)
    expect([answer.status, answer.complete, answer.body]).toEqual([200, true, EVENTS.join('')])
  })

  // Half of a plain service's answer was passed on as whole when the service crashed.
  it('is asked for again, or reported as lost, when a plain service ends in the middle of it', async () => {
    workers[0]!.mode = 'unframed crash'
    const reads: CallResult[] = []
    while (workers[0]!.executedIds.length === 0) reads.push(await call(gateway.port, '/read/1', { 'attempt-id': `r${reads.length}` }))
    workers[1]!.mode = 'unframed crash'
    const write = await call(gateway.port, '/write/1')
    expect(reads.map(r => [r.status, r.body])).toEqual(reads.map((_, i) => [200, `answer to r${i}: hello`]))
    expect(write.status).toBe(502)
  })

  it('is aborted when the service ends in the middle of an answer too large to buffer', async () => {
    workers.forEach(w => { w.minAnswerBytes = LARGE_ANSWER_BYTES })
    workers.forEach(w => { w.mode = 'unframed crash' })
    const answer = await call(gateway.port, '/write/1')
    expect([answer.status, answer.complete]).toEqual([200, false])
  })

  it('is whole when its endpoint lives on', async () => {
    workers.forEach(w => { w.mode = 'unframed whole' })
    const answers = [await call(gateway.port, '/stream/1', PROMPT), await call(gateway.port, '/write/1', { 'attempt-id': 'r1' })]
    expect(answers.map(a => [a.status, a.complete, a.body])).toEqual([[200, true, EVENTS.join('')], [200, true, 'answer to r1: hello']])
  })

  // A leaving endpoint accepts no connections any more while it ends its answers.
  it('is whole when its endpoint is leaving and refuses connections', async () => {
    const worker = await startSlowWorker()
    const pending = call(gateway.port, '/stream/slow/1', PROMPT)
    await waitUntil(() => worker.executedIds.length > 0)
    await sleep(PROPAGATION_MS)
    worker.stopListening()
    store.put('servers/w3', worker.storeEntry('slow', 'draining'))
    const answer = await pending
    expect([answer.status, answer.complete, answer.body]).toEqual([200, true, EVENTS.join('')])
  })

  it('is whole when its endpoint refuses connections from before its head, and an earlier answer was of this kind', async () => {
    const worker = await startSlowWorker(SLOW_EVENT_MS)
    await call(gateway.port, '/stream/slow/1', PROMPT)
    const pending = call(gateway.port, '/stream/slow/1', PROMPT)
    await waitUntil(() => worker.executedIds.length > 1)
    worker.stopListening()
    store.put('servers/w3', worker.storeEntry('slow', 'draining'))
    const answer = await pending
    expect([answer.status, answer.complete, answer.body]).toEqual([200, true, EVENTS.join('')])
  })

  // Nothing tells such an answer from one whose endpoint was taken away: a whole stream in doubt is less harm than a part that looks whole.
  it('is aborted when its endpoint refuses connections from before its head, and no earlier answer was of this kind', async () => {
    const worker = await startSlowWorker(SLOW_EVENT_MS)
    const pending = call(gateway.port, '/stream/slow/1', PROMPT)
    await waitUntil(() => worker.executedIds.length > 0)
    worker.stopListening()
    store.put('servers/w3', worker.storeEntry('slow', 'draining'))
    const answer = await pending
    expect([answer.status, answer.complete, answer.body]).toEqual([200, false, EVENTS.join('')])
  })

  // A leaving endpoint wasn't asked whether it lives: each stream in the middle of which it was taken away ended as complete.
  it('is aborted when its endpoint is leaving and is taken away between two events', async () => {
    const worker = await startSlowWorker()
    const pending = call(gateway.port, '/stream/slow/1', PROMPT)
    await waitUntil(() => worker.executedIds.length > 0)
    store.put('servers/w3', worker.storeEntry('slow', 'draining'))
    await waitUntil(() => logLines.some(line => line.endpoint === 'w3' && line.kind === 'leaving'))
    worker.close()
    const answer = await pending
    expect([answer.status, answer.complete, EVENTS.join('').startsWith(answer.body)]).toEqual([200, false, true])
  })

  // An endpoint that accepts connections again when the end is read looked as if it had lived on.
  it('is aborted when its endpoint ends between two events and is back at once', async () => {
    const worker = await startSlowWorker()
    const pending = call(gateway.port, '/stream/slow/1', PROMPT)
    await waitUntil(() => worker.executedIds.length > 0)
    await sleep(PROPAGATION_MS)
    await restart(worker)
    const answer = await pending
    expect([answer.status, answer.complete, EVENTS.join('').startsWith(answer.body)]).toEqual([200, false, true])
  })

  it.each([['a stream', '/stream/slow/1'], ['a call', '/write/slow/1']])('is aborted when the endpoint of %s ends and is back before a slow caller has read on', async (_, path) => {
    const worker = await startFloodingWorker()
    const caller = await callSlowly(path)
    await waitUntil(() => worker.hasWritten())
    await worker.restart()
    expect(await caller.readOn()).toBe('broken')
  })

  // The events of the first run counted for the second one, so that its empty answer looked whole.
  it('is aborted when the endpoint that resumes a stream ends before its first event', async () => {
    const first = await setModeOfFirstWorker(gateway.port, workers, '/stream/again/1', PROMPT, 'tearing')
    workers.find(w => w !== first)!.mode = 'unframed head'
    const answer = await call(gateway.port, '/stream/again/1', PROMPT)
    expect([answer.status, answer.complete, answer.body]).toEqual([200, false, EVENTS[0]])
  })

  // Only streaming routes looked at events.
  it('is reported as lost when it ends within an event on a route that isn\'t a streaming one', async () => {
    workers.forEach(w => {
      w.mode = 'unframed whole'
      w.mediaType = 'text/event-stream; charset=utf-8'
    })
    expect((await call(gateway.port, '/write/1')).status).toBe(502)
  })
})

// To a caller without chunks the end of the connection completes the answer, also when the gateway gave it up.
describe('a caller of HTTP/1.0', () => {
  it('gets a reset when its answer is broken off, and a normal end of one that is whole', async () => {
    const whole = await callWithHttp10('/stream/1')
    await setModeOfFirstWorker(gateway.port, workers, '/stream/1', PROMPT, 'tearing')
    const broken = await callWithHttp10('/stream/1')
    expect([whole, broken.end]).toEqual([{ body: EVENTS.join(''), end: 'closed' }, 'reset'])
  })

  it('gets a reset when the gateway stops before the end of its answer', async () => {
    workers.forEach(w => { w.mode = 'dripping' })
    const pending = callWithHttp10('/stream/1')
    await waitUntil(() => workers.some(w => w.executedIds.length > 0))
    await sleep(PROPAGATION_MS)
    gateway.stop()
    expect((await pending).end).toBe('reset')
  })
})
