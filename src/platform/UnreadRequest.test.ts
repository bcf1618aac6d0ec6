/** End-to-end tests on loopback of errors that promise "not run" before a request was read. */
import { connect, type Socket } from 'node:net'
import { afterEach, beforeEach, describe, expect, it } from 'vitest'
import type { PlatformWorker } from '../standin/PlatformWorker.js'
import { sleep, startSite, waitUntil, withTimeouts, type TestSite } from './TestUtils.test.js'

const HEADER_TIMEOUT_MS = 200
const TIMEOUT_CHECK_MS = 1_000
const WORK_MS = 2 * (HEADER_TIMEOUT_MS + TIMEOUT_CHECK_MS)
const SETTLE_MS = 100
const LIMITS = { max_header_bytes: 4_000, max_body_bytes: 1_000, header_timeout_ms: HEADER_TIMEOUT_MS, idle_timeout_ms: 15_000 }

let site: TestSite
let worker: PlatformWorker
const sockets: Socket[] = []

const requestText = (id: string): string => `POST /write/1 HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: ${id}\r\nDeadline-Ms: 9000\r\nAuthorization: Bearer k1\r\nContent-Length: 0\r\n\r\n`

/** Opens a caller's connection; `received` is what has come on it so far, undefined at its end. */
async function open (): Promise<{ readonly socket: Socket, readonly text: () => string, readonly ended: Promise<void> }> {
  let text = ''
  const socket = connect(site.port, '127.0.0.1')
  socket.on('error', () => {})
  socket.on('data', chunk => { text += String(chunk) })
  sockets.push(socket)
  const ended = new Promise<void>(resolve => { socket.once('close', () => resolve()) })
  await new Promise<void>(resolve => { socket.once('connect', () => resolve()) })
  await sleep(50) // until the gateway has accepted the connection
  return { socket, text: () => text, ended }
}

/** Statuses of the answers in what a connection received. */
const statusesIn = (text: string): string[] => [...text.matchAll(/HTTP\/1\.1 (\d+)/g)].map(match => match[1]!)

/** Keeps this process from running, as a freeze of its machine does. */
function pause (ms: number): void {
  const end = performance.now() + ms
  while (performance.now() < end) { /* busy */ }
}

const start = (workMs: number) => async (): Promise<void> => {
  site = await startSite({ workers: 1, workerOptions: { workMs }, config: { ...withTimeouts(2 * WORK_MS), limits: LIMITS } })
  worker = site.workers[0]!
}

afterEach(() => {
  sockets.splice(0).forEach(socket => socket.destroy())
  site.stop()
})

describe('a request that can\'t be read in time', () => {
  beforeEach(start(0))

  // After a freeze the timeout was due before the request was read that had come meanwhile: it was answered 408, and ran.
  it('runs, and isn\'t answered 408, when only this process stood still', async () => {
    const { socket, text } = await open()
    await new Promise<void>(resolve => socket.write(requestText('r1'), () => resolve()))
    pause(HEADER_TIMEOUT_MS + 2 * TIMEOUT_CHECK_MS)
    await waitUntil(() => text() !== '')
    await sleep(SETTLE_MS)
    expect([statusesIn(text()), worker.executedIds]).toEqual([['200'], ['r1']])
  })

  // Only the writable side was ended after the 408; what came afterwards was read and forwarded.
  it('never runs once it was answered 408, also when the rest of it comes', async () => {
    const { socket, text, ended } = await open()
    socket.write(requestText('r1').slice(0, 60))
    await waitUntil(() => text() !== '')
    socket.write(requestText('r1').slice(60) + requestText('r2'))
    await ended
    await sleep(SETTLE_MS)
    expect([statusesIn(text()), worker.executedIds]).toEqual([['408'], []])
  })
})

// An error about what follows on a connection was sent as the answer to the request before, which ran.
describe('a request that is running when the next one on its connection can\'t be read', () => {
  beforeEach(start(WORK_MS))

  for (const [what, next] of [['doesn\'t come in time', 'POST /write/2 HT'], ['is malformed', 'no HTTP\r\n\r\n']] as const) {
    it(`gets its own answer when the next ${what}`, async () => {
      const { socket, text, ended } = await open()
      socket.write(requestText('r1'))
      await waitUntil(() => worker.executedIds.length > 0)
      socket.write(next)
      await ended
      expect([statusesIn(text()), worker.executedIds]).toEqual([['200'], ['r1']])
    })
  }
})

describe('a request whose body is malformed', () => {
  beforeEach(start(0))

  it('is answered 400 and doesn\'t run', async () => {
    const { socket, text, ended } = await open()
    socket.write(`${requestText('r1').replace('Content-Length: 0', 'Transfer-Encoding: chunked')}4\r\nabcd\r\nxyz`)
    await ended
    expect([statusesIn(text()), worker.executedIds]).toEqual([['400'], []])
  })
})
