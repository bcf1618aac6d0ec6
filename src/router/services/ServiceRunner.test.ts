import { createServer, type AddressInfo, type Server } from 'node:net'
import { afterEach, describe, expect, it } from 'vitest'
import type { EndpointInfo } from '../../common/config/VotedConfig.js'
import type { ServiceCallMessage } from '../Types.js'
import { ServiceRunner, type ServiceRunnerDependencies } from './ServiceRunner.js'

const HEAD = 'HTTP/1.1 200 OK\r\n'
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

/** Calls a worker that sends `bytes` and ends the connection, or resets it; returns the answer's text or the error's code. */
async function callWorker (bytes: string, end: 'normal' | 'reset'): Promise<string> {
  server = createServer(socket => {
    socket.on('error', () => {})
    socket.once('data', () => socket.write(bytes, () => end === 'reset' ? socket.resetAndDestroy() : socket.end()))
  })
  await new Promise<void>(resolve => server!.listen(0, '127.0.0.1', resolve))
  const address = `127.0.0.1:${(server.address() as AddressInfo).port}`
  runner = new ServiceRunner(dependenciesOf({ id: 'w1', address, dataCentre: 'a', hash: 1 } as unknown as EndpointInfo))
  const result = await runner.run(CALL, new Uint8Array())
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

  it('is whole with a length or chunks, and refused where the service says so', async () => {
    const ends = [
      await callWorker(`${HEAD}Content-Length: 2\r\n\r\nok`, 'normal'),
      await callWorker(`${HEAD}Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n`, 'normal'),
      await callWorker('HTTP/1.1 503 Busy\r\nX-Not-Run: 1\r\n\r\n', 'normal')
    ]
    expect(ends).toEqual(['ok', 'ok', 'endpoint_refused'])
  })
})
