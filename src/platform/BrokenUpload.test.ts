/** End-to-end tests on loopback of answers that an endpoint sends, and breaks off, while the gateway still writes a long request to it. */
import { request, type OutgoingHttpHeaders } from 'node:http'
import type { Socket } from 'node:net'
import { afterEach, beforeEach, describe, expect, it } from 'vitest'
import { createConfig, startRawSite, type TestSite } from './TestUtils.test.js'

const UPLOAD = Buffer.alloc(24_000_000, 'x') // more than the buffers of a connection hold
const UPLOAD_PIECE_BYTES = 1_000_000
const MOMENT_MS = 20
const EVENT = 'id: 1\ndata: token1\n\n'

/** Ways in which the endpoint breaks off its answer. */
const ENDS: ReadonlyArray<readonly [string, (socket: Socket, answer: string) => void]> = [
  ['reset at once', (socket, answer) => { socket.write(answer, () => socket.resetAndDestroy()) }],
  ['reset after a moment', (socket, answer) => { socket.write(answer, () => setTimeout(() => socket.resetAndDestroy(), MOMENT_MS)) }],
  ['closed', (socket, answer) => { socket.write(answer, () => socket.destroy()) }],
  ['ended, and closed after a moment', (socket, answer) => { socket.end(answer, () => setTimeout(() => socket.destroy(), MOMENT_MS)) }]
]

/** Path, media type and body of the part that is sent: a small one, one of several writes, and one larger than the gateway buffers. */
const PARTS: ReadonlyArray<readonly [string, string, string]> = [
  ['/stream/1', 'text/event-stream', EVENT],
  ['/stream/1', 'text/event-stream', EVENT.repeat(150_000)],
  ['/write/1', 'text/plain', 'half of'],
  ['/write/1', 'text/plain', 'half of'.repeat(20_000)],
  ['/write/1', 'text/plain', 'half of'.repeat(400_000)]
]

let site: TestSite
let breakOff = ENDS[0]![1]
let part = PARTS[0]!

/** Uploads a long body; returns how the caller sees the answer. */
async function upload (path: string, length: OutgoingHttpHeaders): Promise<'whole' | 'broken' | number> {
  const headers = { host: 'a.example', 'attempt-id': 'r1', 'deadline-ms': '3000', authorization: 'Bearer k1', ...length }
  return await new Promise(resolve => {
    const req = request({ port: site.port, host: '127.0.0.1', method: 'POST', path, headers, agent: false }, res => {
      res.on('end', () => resolve(res.statusCode === 200 ? 'whole' : res.statusCode ?? 0)).on('error', () => resolve('broken')).resume()
    })
    req.on('error', () => resolve('broken'))
    for (let at = 0; at < UPLOAD.length; at += UPLOAD_PIECE_BYTES) req.write(UPLOAD.subarray(at, at + UPLOAD_PIECE_BYTES))
    req.end()
  })
}

beforeEach(async () => {
  const config = createConfig(7) as { readonly limits: object }
  const options = { config: { ...config, limits: { ...config.limits, max_body_bytes: UPLOAD.length } }, answersEarly: true }
  site = await startRawSite(1, ({ id, socket }) => {
    const [, type, body] = part
    breakOff(socket, `HTTP/1.1 200 OK\r\nAttempt-Id: ${id}\r\nServer-Signature: s\r\nContent-Type: ${type}\r\n\r\n${body}`)
  }, options)
})

afterEach(() => site.stop())

// A caller got the part of an answer without length that an endpoint sent before it broke off a long upload, as if it were whole.
describe('an answer without length to a long upload', () => {
  for (const [how, end] of ENDS) {
    it(`is reported as broken when its connection is ${how}`, async () => {
      breakOff = end
      const ends = []
      for (part of PARTS) {
        ends.push(await upload(part[0], { 'content-length': UPLOAD.length }), await upload(part[0], { 'transfer-encoding': 'chunked' }))
      }
      expect(ends.filter(e => e !== 502 && e !== 'broken')).toEqual([])
    })
  }
})
