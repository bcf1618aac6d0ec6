/** End-to-end tests on loopback of what one connection of a caller, and all together, may hold. */
import { connect, type Socket } from 'node:net'
import { afterEach, describe, expect, it } from 'vitest'
import { createConfig, sleep, startSite, waitUntil, type LogLine, type TestSite } from './TestUtils.test.js'

const MAX_PIPELINED = 16
const MANY = 3_000
const WORK_MS = 300
const SETTLE_MS = 200
const SCARCE_DESCRIPTORS = 216 // leaves 14 sockets for callers and forwarded requests, at most 9 of them for callers
const LIMITS = { max_header_bytes: 4_000, max_body_bytes: 1_000, header_timeout_ms: 3_000, idle_timeout_ms: 15_000 }

let site: TestSite
const sockets: Socket[] = []
const lines: LogLine[] = []

const requestText = (id: string, more = 'Content-Length: 0\r\n'): string =>
  `POST /write/1 HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: ${id}\r\nDeadline-Ms: 1000\r\nAuthorization: Bearer k1\r\n${more}\r\n`

/** A caller's connection, and what has come on it. */
interface Caller {
  readonly socket: Socket
  readonly statuses: () => string[]
  readonly text: () => string
  readonly ended: Promise<void>
}

async function open (): Promise<Caller> {
  let text = ''
  const socket = connect(site.port, '127.0.0.1')
  socket.on('error', () => {})
  socket.on('data', chunk => { text += String(chunk) })
  sockets.push(socket)
  const ended = new Promise<void>(resolve => { socket.once('close', () => resolve()) })
  await new Promise<void>(resolve => { socket.once('connect', () => resolve()) })
  return { socket, statuses: () => [...text.matchAll(/HTTP\/1\.1 (\d+)/g)].map(match => match[1]!), text: () => text, ended }
}

async function start (workMs: number, maxDescriptors = 4_096): Promise<void> {
  lines.length = 0
  site = await startSite({
    workers: 1, workerOptions: { workMs }, config: { ...createConfig(7), limits: LIMITS }, settings: { maxDescriptors }, onLog: line => lines.push(line)
  })
}

const executed = (): readonly string[] => site.workers[0]!.executedIds
const idsOf = (count: number): string[] => Array.from({ length: count }, (_, i) => `r${i}`)

afterEach(() => {
  sockets.splice(0).forEach(socket => socket.destroy())
  site.stop()
})

describe('pipelined requests', () => {
  // All were forwarded at once, each with a connection to its endpoint and a response that was kept.
  it('are forwarded one after another', async () => {
    await start(WORK_MS)
    const caller = await open()
    caller.socket.write(idsOf(3).map(id => requestText(id)).join(''))
    await waitUntil(() => executed().length === 1)
    await sleep(WORK_MS / 2)
    const first = executed().length
    await waitUntil(() => caller.statuses().length === 3)
    expect([first, caller.statuses(), executed()]).toEqual([1, ['200', '200', '200'], ['r0', 'r1', 'r2']])
  })

  it('are refused with 408, and not run, when those before them took all of their time', async () => {
    await start(WORK_MS * 2)
    const caller = await open()
    caller.socket.write(idsOf(3).map(id => requestText(id)).join(''))
    await waitUntil(() => caller.statuses().length === 3)
    expect([caller.statuses()[2], executed().includes('r2')]).toEqual(['408', false])
  })

  // Thousands were parsed, logged and kept until the connection closed.
  it('are run and answered as far as they are taken, and of the others none is run, and few are logged', async () => {
    await start(0)
    const caller = await open()
    caller.socket.write(idsOf(MANY).map(id => requestText(id)).join(''))
    await caller.ended
    await sleep(SETTLE_MS)
    const refusals = lines.filter(line => line.step === 'accept' && line.refusal === 'pipelined')
    expect([caller.statuses(), executed(), refusals.length]).toEqual([Array(MAX_PIPELINED).fill('200'), idsOf(MAX_PIPELINED), 1])
  })
})

describe('a request', () => {
  // Its body kept memory, and its connection a descriptor, for as long as its caller liked.
  it('is refused with 408, and not run, when its body doesn\'t come before its deadline', async () => {
    await start(0)
    const caller = await open()
    caller.socket.write(requestText('r1', 'Content-Length: 5\r\n') + 'abc')
    await waitUntil(() => caller.statuses().length === 1)
    caller.socket.write('de')
    await caller.ended
    expect([caller.statuses(), executed()]).toEqual([['408'], []])
  })

  it('is served when its caller waits to be asked for the body', async () => {
    await start(0)
    const caller = await open()
    caller.socket.write(requestText('r1', 'Content-Length: 5\r\nExpect: 100-continue\r\n'))
    await waitUntil(() => caller.statuses().length === 1)
    caller.socket.write('abcde')
    await waitUntil(() => caller.statuses().length === 2)
    expect([caller.statuses(), executed()]).toEqual([['100', '200'], ['r1']])
  })

  it('is refused when it expects something else, or names no host', async () => {
    await start(0)
    const caller = await open()
    caller.socket.write(requestText('r1', 'Content-Length: 0\r\nExpect: tea\r\n') + requestText('r2').replace('Host: a.example\r\n', ''))
    await waitUntil(() => caller.statuses().length === 2)
    expect([caller.statuses(), executed()]).toEqual([['417', '400'], []])
  })
})

describe('with few descriptors, a gateway', () => {
  // Forwarded requests took the descriptors that are needed to accept callers and to reach the store.
  it('refuses requests as not run that it has no connection for, and runs no others', async () => {
    await start(WORK_MS, SCARCE_DESCRIPTORS)
    const callers: Caller[] = []
    for (const id of idsOf(8)) {
      const caller = await open()
      callers.push(caller)
      caller.socket.write(requestText(id))
    }
    await waitUntil(() => callers.every(c => c.statuses().length === 1))
    const statuses = callers.map(c => c.statuses()[0])
    expect([statuses.filter(s => s === '200').length, statuses.filter(s => s === '503').length]).toEqual([executed().length, 8 - executed().length])
    expect(executed().length).toBeGreaterThanOrEqual(4)
    expect(executed().length).toBeLessThan(8)
  })

  it('closes connections that wait for their next request for new ones, and serves these', async () => {
    await start(0, SCARCE_DESCRIPTORS)
    const statuses = []
    for (const id of idsOf(20)) {
      const caller = await open()
      caller.socket.write(requestText(id))
      await waitUntil(() => caller.statuses().length === 1)
      statuses.push(caller.statuses()[0])
    }
    await waitUntil(() => sockets.filter(socket => !socket.closed).length <= 9)
    expect(statuses).toEqual(Array(20).fill('200'))
  })
})
