import { createServer } from 'node:net'
import type { AddressInfo, Server, Socket } from 'node:net'
import { afterEach, describe, expect, it } from 'vitest'
import { EndpointAgent } from './EndpointAgent.js'
import { EndpointExchange, type ExchangeFailure } from './EndpointExchange.js'

interface Outcome {
  readonly result: 'whole' | ExchangeFailure
  readonly status: number
  readonly body: string
  readonly sent: boolean
}

let server: Server | undefined
afterEach(() => server?.close())

/** Listens on loopback and hands each connection that got its first bytes to `serve`. */
async function endpoint (serve: (socket: Socket, connection: number) => void): Promise<number> {
  let connections = 0
  server = createServer(socket => {
    const connection = ++connections
    socket.on('error', () => {})
    socket.on('data', () => serve(socket, connection))
  })
  await new Promise<void>(resolve => server!.listen(0, '127.0.0.1', resolve))
  return (server.address() as AddressInfo).port
}

async function exchange (agent: EndpointAgent, port: number): Promise<Outcome> {
  return await new Promise(resolve => {
    let status = 0
    let body = ''
    const call = { address: '127.0.0.1', port, method: 'GET', target: '/', headers: ['Host', 'a'], body: Buffer.alloc(0), connectTimeoutMs: 1_000 }
    const sink = {
      onHead: (code: number) => { status = code },
      onData: (chunk: Buffer) => { body += chunk.toString() },
      onEnd: () => resolve({ result: 'whole', status, body, sent: true }),
      onError: (end: ExchangeFailure, sent: boolean) => resolve({ result: end, status, body, sent })
    }
    const started = new EndpointExchange(agent, call, sink)
    expect(started.sent).toBe(false)
  })
}

const LENGTH_DELIMITED = 'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok'
const CLOSE_DELIMITED = 'HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhal'

describe('EndpointExchange', () => {
  it('takes an answer without a length as whole when its connection ends in order', async () => {
    const port = await endpoint(socket => socket.end(CLOSE_DELIMITED))
    expect(await exchange(new EndpointAgent(), port)).toEqual({ end: 'whole', status: 200, body: 'hal', sent: true })
  })

  it('takes an answer without a length as broken when its connection is reset', async () => {
    const port = await endpoint(socket => {
      socket.write(CLOSE_DELIMITED)
      setTimeout(() => socket.resetAndDestroy(), 20)
    })
    expect(await exchange(new EndpointAgent(), port)).toEqual({ end: 'reset', status: 200, body: 'hal', sent: true })
  })

  it('takes an answer without a length as broken when the reset comes right behind its bytes', async () => {
    const port = await endpoint(socket => socket.write(CLOSE_DELIMITED, () => socket.resetAndDestroy()))
    expect(await exchange(new EndpointAgent(), port)).toMatchObject({ end: 'reset', status: 200 })
  })

  it('knows that nothing was sent when no connection came about', async () => {
    const port = await endpoint(() => {})
    server!.close()
    expect(await exchange(new EndpointAgent(), port)).toEqual({ end: 'connect', status: 0, body: '', sent: false })
  })

  it('takes a framed answer that ends early as broken', async () => {
    const port = await endpoint(socket => socket.end(LENGTH_DELIMITED.replace('Content-Length: 2', 'Content-Length: 5')))
    expect(await exchange(new EndpointAgent(), port)).toMatchObject({ end: 'reset', body: 'ok' })
  })

  it('drops a connection on which bytes came that no request asked for', async () => {
    const port = await endpoint((socket, connection) => {
      socket.write(LENGTH_DELIMITED.replace('ok', `c${connection}`))
      setTimeout(() => socket.write(LENGTH_DELIMITED.replace('ok', 'xx')), 20)
    })
    const agent = new EndpointAgent()
    const first = await exchange(agent, port)
    await new Promise(resolve => setTimeout(resolve, 60))
    const second = await exchange(agent, port)
    expect([first.body, second.body]).toEqual(['c1', 'c2'])
  })

  it('keeps a connection for the next request', async () => {
    const port = await endpoint((socket, connection) => socket.write(LENGTH_DELIMITED.replace('ok', `c${connection}`)))
    const agent = new EndpointAgent()
    const bodies = [await exchange(agent, port), await exchange(agent, port)].map(o => o.body)
    expect(bodies).toEqual(['c1', 'c1'])
  })
})
