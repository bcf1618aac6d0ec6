import { createServer, type AddressInfo, type Server, type Socket } from 'node:net'
import { afterEach, describe, expect, it } from 'vitest'
import type { EndpointInfo } from '../../common/config/VotedConfig.js'
import type { ServiceCallMessage } from '../Types.js'
import { ServiceRunner, type ServiceRunnerDependencies } from './ServiceRunner.js'

const HEAD = 'HTTP/1.1 200 OK\r\n'
const MOMENT_MS = 20
const UPLOAD = new Uint8Array(16_000_000) // more than the buffers of a connection hold
const CALL: ServiceCallMessage = {
  requestId: 'call~1', service: 'books', method: 'POST', path: '/entry', headers: {}, neverRepeat: false, account: 'a', timeoutMs: 2_000
}

let server: Server | undefined
let runner: ServiceRunner | undefined
afterEach(() => {
  server?.close()
  runner?.dispose()
})

/** Dependencies that know one worker, which is idle and reachable. */
function dependenciesOf (worker: EndpointInfo): ServiceRunnerDependencies {
  const load = { begin: () => 1, end: () => {}, recordFailure: () => {}, recordSuccess: () => {} }
  return {
    config: () => ({ workersOf: () => [worker] }),
    fleet: { self: { id: 'self', dataCentre: 'a' } },
    endpoints: { load: async () => await Promise.resolve(load), work: () => 0 },
    clock: { nowMs: () => performance.now() },
    links: { passes: () => true },
    metrics: { retries: { inc: () => {} } },
    keys: undefined
  } as unknown as ServiceRunnerDependencies
}

/** How a worker ends its connection after its answer; the last three leave the rest of the request unread. */
type WorkerEnd = 'normal' | 'reset' | 'reset unread' | 'reset unread later' | 'end unread'

const END_ACTIONS: Readonly<Record<WorkerEnd, (socket: Socket) => void>> = {
  normal: socket => { socket.end() },
  reset: socket => { socket.resetAndDestroy() },
  'reset unread': socket => { socket.resetAndDestroy() },
  'reset unread later': socket => { setTimeout(() => socket.resetAndDestroy(), MOMENT_MS) },
  'end unread': socket => { socket.end(() => setTimeout(() => socket.destroy(), MOMENT_MS)) }
}

/** Calls a worker that sends `bytes` and then ends its connection; returns the answer's text or the error's code. */
async function callWorker (bytes: string, end: WorkerEnd, body = new Uint8Array()): Promise<string> {
  server = createServer(socket => {
    socket.on('error', () => {})
    socket.once('data', () => {
      if (end.includes('unread')) socket.pause()
      socket.write(bytes, () => END_ACTIONS[end](socket))
    })
  })
  await new Promise<void>(resolve => server!.listen(0, '127.0.0.1', resolve))
  const address = `127.0.0.1:${(server.address() as AddressInfo).port}`
  runner = new ServiceRunner(dependenciesOf({ id: 'w1', address, dataCentre: 'a', hash: 1 } as unknown as EndpointInfo))
  const result = await runner.run(CALL, body)
  server.close()
  runner.dispose()
  return result.match(answer => Buffer.from(answer.body).toString(), error => error.code)
}

describe('an answer of a plain service', () => {
  // A service that crashed, or was reset, within such an answer gave the caller half of it as whole, and its key kept that half.
  it('is lost when nothing marks its end, as a part of it looks the same', async () => {
    const ends = [await callWorker(`${HEAD}\r\nhalf of`, 'normal'), await callWorker(`${HEAD}\r\nhalf of`, 'reset'), await callWorker(`${HEAD}Connection: close\r\n\r\nhalf of`, 'normal')]
    expect(ends).toEqual(['response_lost', 'response_lost', 'response_lost'])
  })

  // The gateway took the part that was sent before for the whole answer.
  it.each(['reset unread', 'reset unread later', 'end unread'] as const)('is lost when it is broken off while the request is being written: %s', async end => {
    const ends = []
    for (const part of ['half of', 'half of'.repeat(100_000)]) {
      ends.push(await callWorker(`${HEAD}\r\n${part}`, end, UPLOAD), await callWorker(`${HEAD}Content-Length: 9000000\r\n\r\n${part}`, end, UPLOAD))
    }
    expect(ends).toEqual(Array(4).fill('response_lost'))
  })

  // Such an answer was passed on, or taken as the service's word that the call didn't run.
  it('is lost when its status isn\'t one of a final answer', async () => {
    const codes = []
    for (const status of ['000', '099', '600', '999', '0']) {
      codes.push(await callWorker(`HTTP/1.1 ${status} Odd\r\nContent-Length: 2\r\n\r\nok`, 'normal'))
      codes.push(await callWorker(`HTTP/1.1 ${status} Odd\r\nX-Not-Run: 1\r\nContent-Length: 2\r\n\r\nok`, 'normal'))
    }
    expect(codes).toEqual(Array(10).fill('response_lost'))
  })

  it('is whole after an interim one, and lost when only that comes', async () => {
    const interim = 'HTTP/1.1 103 Early Hints\r\nX-Not-Run: 1\r\n\r\n'
    const ends = [await callWorker(`${interim}${HEAD}Content-Length: 2\r\n\r\nok`, 'normal'), await callWorker(interim, 'normal')]
    expect(ends).toEqual(['ok', 'response_lost'])
  })

  it('is whole with a length or chunks, and refused where the service says so', async () => {
    const ends = [
      await callWorker(`${HEAD}Content-Length: 2\r\n\r\nok`, 'normal'),
      await callWorker(`${HEAD}Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n`, 'normal'),
      await callWorker('HTTP/1.1 503 Busy\r\nX-Not-Run: 1\r\n\r\n', 'normal')
    ]
    expect(ends).toEqual(['ok', 'ok', 'endpoint_refused'])
  })
})
