/** End-to-end tests on loopback of many uploads at once. */
import { connect, type Socket } from 'node:net'
import { afterEach, beforeEach, describe, expect, it } from 'vitest'
import { call, createConfig, sleep, startSite, waitUntil, type TestSite } from './TestUtils.test.js'

const MEMORY_BYTES = 4_000_000
const BODY_BYTES = 300_000
const UPLOADS = 8
const FITTING = 3 // in a quarter of the memory
const SETTLE_MS = 200
const LIMITS = { max_header_bytes: 4_000, max_body_bytes: 400_000, header_timeout_ms: 3_000, idle_timeout_ms: 15_000 }

let site: TestSite
const sockets: Socket[] = []

/** An upload that waits before its last byte. */
interface Upload {
  readonly status: () => string
  readonly finish: () => void
}

const chunkOf = (bytes: number): string => `${bytes.toString(16)}\r\n${'x'.repeat(bytes)}\r\n`

function beginUpload (id: string, framing: 'length' | 'chunks'): Upload {
  const [header, body, rest] = framing === 'length'
    ? [`Content-Length: ${BODY_BYTES}`, 'x'.repeat(BODY_BYTES - 1), 'x']
    : ['Transfer-Encoding: chunked', chunkOf(BODY_BYTES - 1), `${chunkOf(1)}0\r\n\r\n`]
  let text = ''
  const socket = connect(site.port, '127.0.0.1')
  sockets.push(socket)
  socket.on('error', () => {})
  socket.on('data', chunk => { text += String(chunk) })
  socket.write(`POST /write/1 HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: ${id}\r\nDeadline-Ms: 9000\r\nAuthorization: Bearer k1\r\n${header}\r\n\r\n${body}`)
  return { status: () => text.slice(9, 12), finish: () => socket.write(rest) }
}

beforeEach(async () => {
  site = await startSite({ workers: 1, config: { ...createConfig(7), limits: LIMITS }, settings: { memoryBytes: MEMORY_BYTES } })
})

afterEach(() => {
  sockets.splice(0).forEach(socket => socket.destroy())
  site.stop()
})

// Each body was within its limit, and 45 of them at once took a process over its memory.
describe('uploads that don\'t fit into the memory together', () => {
  it.each(['length', 'chunks'] as const)('are refused as not run, and the others served: bodies with %s', async framing => {
    const uploads = Array.from({ length: UPLOADS }, (_, i) => beginUpload(`r${i}`, framing))
    await waitUntil(() => uploads.filter(u => u.status() === '503').length === UPLOADS - FITTING)
    await sleep(SETTLE_MS)
    const accepted = uploads.filter(u => u.status() === '')
    accepted.forEach(u => u.finish())
    await waitUntil(() => accepted.every(u => u.status() === '200'))
    expect([accepted.length, site.workers[0]!.executedIds.length]).toEqual([FITTING, FITTING])
    expect((await call(site.port, '/write/1', {}, 'x'.repeat(BODY_BYTES))).status).toBe(200)
  })
})
