import { createServer, type AddressInfo, type Server } from 'node:net'
import { afterEach, describe, expect, it } from 'vitest'
import { EndpointAgent } from './EndpointAgent.js'
import { httpGet } from './HttpCall.js'

const TIMEOUT_MS = 5_000
const MAX_BYTES = 8_388_608
const PIECE = 'x'.repeat(65_536)

let server: Server | undefined
afterEach(() => server?.close())

/** A peer that writes `piece` until its caller closes the connection; returns its port and how many bytes it got rid of. */
async function endlessPeer (head: string, piece: string): Promise<{ readonly port: number, readonly sent: () => number }> {
  let sent = 0
  server = createServer(socket => {
    const write = (): void => {
      while (!socket.destroyed && socket.write(piece)) sent += piece.length
      if (!socket.destroyed) socket.once('drain', write)
    }
    socket.on('error', () => {})
    socket.once('data', () => {
      socket.write(head)
      write()
    })
  })
  await new Promise<void>(resolve => server!.listen(0, '127.0.0.1', resolve))
  return { port: (server.address() as AddressInfo).port, sent: () => sent }
}

describe('httpGet, of the platform\'s store or another instance', () => {
  // An answer without end was kept until the timeout, as fast as its sender could make it.
  it('gives an answer up that is longer than any may be', async () => {
    const { port, sent } = await endlessPeer('HTTP/1.1 200 OK\r\n\r\n', PIECE)
    const result = await httpGet({ agent: new EndpointAgent(), address: '127.0.0.1', port }, '/', TIMEOUT_MS)
    expect(result._unsafeUnwrapErr()).toMatchObject({ step: 'read', reason: `more than ${MAX_BYTES} bytes` })
    expect(sent()).toBeLessThan(4 * MAX_BYTES)
  })
})
