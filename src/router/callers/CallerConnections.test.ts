import { createServer, type Server } from 'node:http'
import { connect, type AddressInfo } from 'node:net'
import { pino } from 'pino'
import { afterEach, describe, expect, it } from 'vitest'
import { connectionLimits } from '../../common/limits/ConnectionLimits.js'
import { CallerConnections } from './CallerConnections.js'
import { sendError } from './HttpUtils.js'
import { readBody } from './RequestBody.js'

const MAX_BODY_BYTES = 1_000
const UPLOAD_BYTES = 5_000_000
const UPLOADS = 20

let server: Server | undefined
afterEach(() => {
  server?.close()
  server?.closeAllConnections()
})

/** A server that reads bodies as the product's own interface does; returns its port. */
async function startServer (): Promise<number> {
  const limits = connectionLimits({ memoryBytes: 1e9, heapBytes: 1e9, maxDescriptors: 1_000 })
  const connections = new CallerConnections(pino({ enabled: false }), limits, () => {})
  const started = server = createServer()
  connections.attach(started, (req, res) => {
    readBody(req, MAX_BODY_BYTES).then(body => {
      if (body.isErr()) sendError(res, body.error)
      else res.end()
    }, () => res.destroy())
  })
  await new Promise<void>(resolve => started.listen(0, '127.0.0.1', resolve))
  return (started.address() as AddressInfo).port
}

/** Sends an upload as a whole and then reads; returns the status line, and the error if there was one. */
async function upload (port: number): Promise<string> {
  return await new Promise(resolve => {
    let text = ''
    const socket = connect(port, '127.0.0.1').pause()
    socket.on('data', chunk => { text += String(chunk) })
    socket.on('error', e => { text = e.message })
    socket.once('close', () => resolve(text.slice(0, 12)))
    socket.write(`POST / HTTP/1.1\r\nHost: a\r\nContent-Length: ${UPLOAD_BYTES}\r\n\r\n`)
    socket.write('x'.repeat(UPLOAD_BYTES), () => socket.resume())
  })
}

describe('CallerConnections', () => {
  // The connection was closed with the rest of the body unread, which reset it: a caller saw EPIPE in place of the status.
  it('lets a caller read the error for a body that is too large', async () => {
    const port = await startServer()
    const answers = []
    for (let i = 0; i < UPLOADS; i++) answers.push(await upload(port))
    expect(answers).toEqual(Array(UPLOADS).fill('HTTP/1.1 413'))
  })
})
