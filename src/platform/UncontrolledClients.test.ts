/**
 * Crowds of clients that nobody controls, against the built gateway as a process of its own with low limits in its settings. Checked are
 * only that the process lives, what memory and descriptors it took, and that one ordinary request is answered afterwards.
 * Needs `npm run build` first, as `npm run verify` does. Runs apart from the other tests (vitest.config.ts).
 */
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs'
import { connect, type Socket } from 'node:net'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { afterEach, beforeEach, describe, expect, it } from 'vitest'
import { READINESS_PATH, settingsFileText, SETTINGS_VARIABLE } from '../standin/PlatformRecords.js'
import { PlatformStore } from '../standin/PlatformStore.js'
import { PlatformWorker } from '../standin/PlatformWorker.js'
import { freePorts } from '../tools/FreePort.js'
import { ProcessSet } from '../tools/ProcessSet.js'
import { call, createConfig, sleep } from './TestUtils.test.js'

const MB = 1_048_576
const GATEWAY = 'gateway'
const ADDRESS = '127.0.0.9'
const POLL_MS = 20
const CALL_TRIES = 100
const LOG_LINES = 3
const ORDINARY_BODY_BYTES = 50_000
const LIMITS = { max_header_bytes: 4_000, max_body_bytes: 100_000, header_timeout_ms: 3_000, idle_timeout_ms: 15_000 }
/** Settings of the process, and with them the bounds that it is held to. */
const MEMORY_MB = 160
const MAX_DESCRIPTORS = 600

const CONNECTIONS = 1_500
const LEAVING_EVERY = 3 // each third of them leaves at once
const SAMPLE_EVERY = 50
const BODIES = 60
const BODY_BYTES = 8 * MB
const PIECE = Buffer.alloc(65_536, 'x')
const CHUNK = Buffer.concat([Buffer.from('10000\r\n'), PIECE, Buffer.from('\r\n')])
const PIPELINES = 120
const PIPELINED = 40_000 // requests on each connection
const BATCH = 2_000
const UNREAD_MS = 1_000 // what isn't read for so long is given up
const STALLED_BODIES = 500
const UNREAD_PIPELINES = 60
const UNREAD_ANSWER_BYTES = 900_000
const ANSWERS_MS = 1_000
const HEADERS = 'Host: a.example\r\nAttempt-Id: r1\r\nDeadline-Ms: 3000\r\nAuthorization: Bearer k1\r\n'

let dir: string
let processes: ProcessSet
let store: PlatformStore
let worker: PlatformWorker
let port: number
let readinessPort: number
let mostDescriptors = 0
const sockets: Socket[] = []

/** Flags of Node.js itself in the deploy file's `run` command. */
function deployedFlags (): string[] {
  const run = /^run = "(.*)"$/m.exec(readFileSync('deploy/system.toml', 'utf8'))?.[1] ?? ''
  return run.split(' ').filter(word => word.startsWith('--'))
}

async function isReady (): Promise<boolean> {
  return await fetch(`http://127.0.0.1:${readinessPort}${READINESS_PATH}`).then(res => res.status === 200, () => false)
}

function sample (): void {
  if (!processes.hasExited(GATEWAY)) mostDescriptors = Math.max(mostDescriptors, processes.openDescriptors(GATEWAY))
}

/** Opens a connection that doesn't read; undefined when it is refused. */
async function open (): Promise<Socket | undefined> {
  const socket = connect(port, '127.0.0.1').pause()
  sockets.push(socket)
  return await new Promise(resolve => {
    socket.on('error', () => resolve(undefined))
    socket.once('connect', () => resolve(socket))
  })
}

/** Writes a piece; resolves once it is sent, or the connection can't take it. */
async function write (socket: Socket, piece: Buffer | string): Promise<boolean> {
  if (socket.destroyed) return false
  return await new Promise(resolve => {
    const timer = setTimeout(() => settle(false), UNREAD_MS)
    const onClose = (): void => settle(false)
    const settle = (sent: boolean): void => {
      clearTimeout(timer)
      socket.off('close', onClose)
      resolve(sent)
    }
    socket.once('close', onClose)
    socket.write(piece, e => settle(e === undefined || e === null))
  })
}

/** Writes a piece again and again, up to `count` times. */
async function writeAll (socket: Socket | undefined, piece: Buffer | string, count: number): Promise<void> {
  if (socket === undefined) return
  for (let i = 0; i < count; i++) {
    if (!await write(socket, piece)) return
  }
}

/** True once an ordinary request is answered: one that is refused is sent again, as callers do. */
async function isServed (): Promise<boolean> {
  worker.minAnswerBytes = 0
  for (let i = 0; i < CALL_TRIES; i++) {
    const answer = await call(port, '/write/1', {}, 'x'.repeat(ORDINARY_BODY_BYTES)).catch(() => undefined)
    if (answer?.status === 200) return true
    await sleep(POLL_MS)
  }
  return false
}

/** What is left of a gateway after a crowd. */
interface Outcome {
  readonly alive: boolean
  readonly withinMemory: boolean
  readonly withinDescriptors: boolean
  readonly served: boolean
}

const GOOD: Outcome = { alive: true, withinMemory: true, withinDescriptors: true, served: true }

async function outcome (): Promise<Outcome> {
  sample()
  const served = await isServed()
  sample()
  const alive = !processes.hasExited(GATEWAY)
  const memoryBytes = alive ? processes.peakMemoryBytes(GATEWAY) : Infinity
  console.log(`${Math.round(memoryBytes / MB)} MB of ${MEMORY_MB}, ${mostDescriptors} descriptors of ${MAX_DESCRIPTORS}`)
  if (!alive) console.log(processes.logTail(GATEWAY, LOG_LINES))
  return { alive, withinMemory: memoryBytes <= MEMORY_MB * MB, withinDescriptors: mostDescriptors <= MAX_DESCRIPTORS, served }
}

beforeEach(async () => {
  dir = mkdtempSync(join(tmpdir(), 'radishloft-'))
  processes = new ProcessSet(dir)
  mostDescriptors = 0
  store = new PlatformStore()
  const storePort = await store.listen()
  worker = new PlatformWorker('w1')
  await worker.listen()
  store.put('servers/w1', worker.storeEntry('pool'))
  store.put('op/config', { ...createConfig(7), limits: LIMITS })
  const [frontPort, readiness, peerPort] = await freePorts(3)
  port = frontPort!
  readinessPort = readiness!
  const settings = join(dir, 'settings.json')
  const spec = { name: GATEWAY, address: '127.0.0.1', dataCentre: 'a', frontPort: port, readinessPort, storePort, peerPort: peerPort!, seeds: [ADDRESS], bootstrap: true }
  const bounds = { drainMs: 2_000, graceSec: 8, retryRatio: 0.2, retryBurst: 20 }
  const text = settingsFileText({ ...spec, bounds, limits: { memoryMb: MEMORY_MB, maxDescriptors: MAX_DESCRIPTORS } })
  writeFileSync(settings, JSON.stringify({ ...JSON.parse(text) as object, ip: ADDRESS }))
  processes.start(GATEWAY, 'dist/gateway.js', [], { flags: deployedFlags(), env: { [SETTINGS_VARIABLE]: settings } })
  while (!await isReady()) await sleep(POLL_MS)
})

afterEach(async () => {
  sockets.splice(0).forEach(socket => socket.destroy())
  await processes.killAll()
  worker.close()
  store.close()
  rmSync(dir, { recursive: true, force: true })
})

describe('a gateway with uncontrolled clients', () => {
  // Each connection was accepted until the descriptors were used up with which endpoints and the store are reached.
  it('outlives very many connections, part of which leave early', async () => {
    for (let i = 0; i < CONNECTIONS; i++) {
      const socket = await open()
      if (i % LEAVING_EVERY === 0) socket?.destroy()
      else socket?.write('POST /write/1 HTTP/1.1\r\nHost: a.exa')
      if (i % SAMPLE_EVERY === 0) sample()
    }
    expect(await outcome()).toEqual(GOOD)
  })

  // The rest of a refused body was read for as long as it came.
  it('outlives bodies far over the limit, announced or simply sent', async () => {
    await Promise.all(Array.from({ length: BODIES }, async (_, i) => {
      const isAnnounced = i % 2 === 0
      const socket = await open()
      socket?.write(`POST /write/1 HTTP/1.1\r\n${HEADERS}${isAnnounced ? `Content-Length: ${1_000 * MB}` : 'Transfer-Encoding: chunked'}\r\n\r\n`)
      await writeAll(socket, isAnnounced ? PIECE : CHUNK, BODY_BYTES / PIECE.length)
      sample()
    }))
    expect(await outcome()).toEqual(GOOD)
  })

  // Announced bodies kept all of the memory that there is for bodies, for as long as their callers liked.
  it('serves a body although others are announced and never come', async () => {
    for (let i = 0; i < STALLED_BODIES; i++) {
      const socket = await open()
      socket?.write(`POST /write/1 HTTP/1.1\r\n${HEADERS}Content-Length: ${LIMITS.max_body_bytes}\r\n\r\nx`)
      if (i % SAMPLE_EVERY === 0) sample()
    }
    expect(await outcome()).toEqual(GOOD)
  })

  // All pipelined requests were forwarded at once, and the responses kept for a caller who reads none.
  it('outlives large responses to pipelined requests that nobody reads', async () => {
    worker.minAnswerBytes = UNREAD_ANSWER_BYTES
    const request = `POST /write/1 HTTP/1.1\r\n${HEADERS}Content-Length: 0\r\n\r\n`
    await Promise.all(Array.from({ length: UNREAD_PIPELINES }, async () => {
      await writeAll(await open(), request.repeat(PIPELINED / BATCH), 1)
    }))
    for (const end = performance.now() + ANSWERS_MS; performance.now() < end; await sleep(POLL_MS)) sample()
    expect(await outcome()).toEqual(GOOD)
  })

  // Node.js parses all requests that have come, and keeps each with its response until the ones before it are answered.
  it('outlives pipelined requests without the usual headers whose responses nobody reads', async () => {
    const shapes = ['GET /write/1 HTTP/1.1\r\nHost: a\r\n\r\n', 'GET /write/1 HTTP/1.1\r\n\r\n', 'POST /write/1 HTTP/1.1\r\nHost: a.example\r\nContent-Length: 0\r\n\r\n']
    await Promise.all(Array.from({ length: PIPELINES }, async (_, i) => {
      await writeAll(await open(), shapes[i % shapes.length]!.repeat(BATCH), PIPELINED / BATCH)
      sample()
    }))
    expect(await outcome()).toEqual(GOOD)
  })
})
