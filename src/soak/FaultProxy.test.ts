import { createServer, type AddressInfo, connect, type Server } from 'node:net'
import { afterEach, beforeEach, describe, expect, it } from 'vitest'
import { FaultProxy, type ProxyMode } from './FaultProxy.js'

const WAIT_MS = 60

let echoServer: Server
let proxy: FaultProxy
let port: number

beforeEach(async () => {
  echoServer = createServer(socket => {
    socket.on('error', () => {})
    socket.pipe(socket)
  })
  await new Promise<void>(resolve => echoServer.listen(0, '127.0.0.1', resolve))
  proxy = new FaultProxy(() => ({ host: '127.0.0.1', port: (echoServer.address() as AddressInfo).port }))
  port = await proxy.listen()
})

afterEach(() => {
  proxy.dispose()
  echoServer.close()
})

/** Sends a message and returns the echo, `silence` after 60 ms without one, or `reset`. */
async function exchange (message: string): Promise<string> {
  return await new Promise(resolve => {
    const socket = connect({ port, host: '127.0.0.1' })
    const timer = setTimeout(() => {
      socket.destroy()
      resolve('silence')
    }, WAIT_MS)
    const settle = (answer: string): void => {
      clearTimeout(timer)
      socket.destroy()
      resolve(answer)
    }
    socket.on('data', data => settle(String(data)))
    socket.on('error', () => settle('reset'))
    socket.write(message)
  })
}

describe('FaultProxy', () => {
  it('forwards, resets or drops new connections as its mode says, and forwards again afterwards', async () => {
    const results: string[] = []
    for (const mode of ['forward', 'reset', 'drop-to-target', 'drop-to-client', 'drop-all', 'forward'] as ProxyMode[]) {
      proxy.mode = mode
      results.push(await exchange('hello'))
    }
    expect(results).toEqual(['hello', 'reset', 'silence', 'silence', 'silence', 'hello'])
  })

  it('keeps the order of bytes when the delay is lifted', async () => {
    proxy.delayMs = WAIT_MS
    const socket = connect({ port, host: '127.0.0.1' })
    const received = new Promise<string>(resolve => {
      let text = ''
      socket.on('data', data => {
        text += String(data)
        if (text.length === 2) resolve(text)
      })
    })
    socket.write('1')
    setTimeout(() => {
      proxy.delayMs = 0
      socket.write('2')
    }, WAIT_MS / 2)
    expect(await received).toBe('12')
    socket.destroy()
  })

  it('resets open connections', async () => {
    const socket = connect({ port, host: '127.0.0.1' })
    const closed = new Promise<string>(resolve => {
      socket.on('error', (e: NodeJS.ErrnoException) => resolve(e.code ?? ''))
    })
    await new Promise<void>(resolve => {
      socket.once('data', () => resolve())
      socket.write('x')
    })
    proxy.reset()
    expect(await closed).toBe('ECONNRESET')
  })
})
