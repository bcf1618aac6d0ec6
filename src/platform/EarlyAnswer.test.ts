/** End-to-end tests on loopback of answers that are sent while the request's body is still on its way. */
import { connect, type Socket } from 'node:net'
import { afterEach, beforeEach, describe, expect, it } from 'vitest'
import { sleep, startSite, type TestSite } from './TestUtils.test.js'

const GRACE_MS = 2_000
const ACCEPT_MS = GRACE_MS / 2
const UPLOADS = 20
const UPLOAD_BYTES = 5_000_000 // more than the gateway allows, and more than the connection holds
const CHUNK = `1000\r\n${'x'.repeat(4_096)}\r\n`
const CHUNK_INTERVAL_MS = 5
const CHUNKS = 40

let site: TestSite
const sockets: Socket[] = []

const head = (length: string): string => `POST /write/1 HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: r1\r\nDeadline-Ms: 3000\r\nAuthorization: Bearer k1\r\n${length}\r\n\r\n`

/** A caller's connection that reads only once it has sent everything, as many callers do. */
async function connectCaller (): Promise<{ readonly socket: Socket, readonly read: () => Promise<string> }> {
  const socket = connect(site.port, '127.0.0.1').pause()
  sockets.push(socket)
  let failure = ''
  socket.on('error', e => { failure = ` ${(e as NodeJS.ErrnoException).code ?? ''}` })
  await new Promise<void>(resolve => { socket.once('connect', () => resolve()) })
  const read = async (): Promise<string> => await new Promise(resolve => {
    let text = ''
    const finish = (): void => resolve(text.slice(0, 12) + failure)
    socket.on('data', chunk => { text += String(chunk) })
    socket.once('close', finish)
    if (socket.closed) finish()
    else socket.resume()
  })
  return { socket, read }
}

beforeEach(async () => {
  site = await startSite({ workers: 1, settings: { graceMs: GRACE_MS } })
})

afterEach(() => {
  sockets.splice(0).forEach(socket => socket.destroy())
  site.stop()
})

// The connection was closed at once after an early answer; the rest of the body turned that into a reset, which destroyed the answer.
describe('an answer that is sent before the body has been read', () => {
  for (const [what, length] of [['a length', `Content-Length: ${UPLOAD_BYTES}`], ['chunks', 'Transfer-Encoding: chunked']] as const) {
    it(`reaches a caller whose body with ${what} is too large`, async () => {
      const answers = []
      for (let i = 0; i < UPLOADS; i++) {
        const { socket, read } = await connectCaller()
        socket.write(head(length))
        await new Promise(resolve => socket.write(length.startsWith('T') ? CHUNK.repeat(UPLOAD_BYTES / 4_096) + '0\r\n\r\n' : 'x'.repeat(UPLOAD_BYTES), resolve))
        answers.push(await read())
      }
      expect(answers).toEqual(Array(UPLOADS).fill('HTTP/1.1 413'))
    })
  }

  it('reaches a caller that goes on sending chunks to a gateway which stops', async () => {
    const callers = await Promise.all(Array.from({ length: UPLOADS }, connectCaller))
    const stopped = site.gateway.stop()
    await sleep(ACCEPT_MS + 50)
    const answers = await Promise.all(callers.map(async ({ socket, read }) => {
      socket.write(head('Transfer-Encoding: chunked'))
      for (let i = 0; i < CHUNKS; i++) {
        socket.write(CHUNK)
        await sleep(CHUNK_INTERVAL_MS)
      }
      socket.write('0\r\n\r\n')
      return await read()
    }))
    await stopped
    expect(answers).toEqual(Array(UPLOADS).fill('HTTP/1.1 503'))
    expect(site.workers[0]!.executedIds).toEqual([])
  })

  it('reaches a caller whose body doesn\'t come to its end before the gateway\'s', async () => {
    const { socket, read } = await connectCaller()
    socket.write(head('Transfer-Encoding: chunked') + CHUNK.slice(0, 100))
    await sleep(50)
    const answer = read()
    await site.gateway.stop()
    expect([await answer, site.workers[0]!.executedIds]).toEqual(['HTTP/1.1 503', []])
  })
})
