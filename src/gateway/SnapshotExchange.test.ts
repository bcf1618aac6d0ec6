import { createServer, type Server } from 'node:http'
import type { AddressInfo } from 'node:net'
import { pino } from 'pino'
import { afterEach, describe, expect, it } from 'vitest'
import { FakeClock } from '../common/TestUtils.test.js'
import { SnapshotExchange } from './SnapshotExchange.js'

const DATAGRAM_INTERVAL_MS = 20
const COUNTED_MS = 2_000
const MAX_FETCHES = 5 // two a second, and the first

let peer: Server | undefined
let exchange: SnapshotExchange | undefined
afterEach(() => {
  peer?.close()
  exchange?.dispose()
})

/** Fetches that reach a peer, which answers with `body`, in two seconds of gossip that asks for one with each datagram. */
async function countFetches (body: string): Promise<number> {
  let fetches = 0
  peer = createServer((_req, res) => {
    fetches++
    res.end(body)
  })
  await new Promise<void>(resolve => peer!.listen(0, '127.0.0.1', resolve))
  const clock = new FakeClock()
  const endpoints = { version: { epoch: 1, revision: 1 }, endpoints: [] }
  const source = { config: undefined, endpoints, updateConfig: () => false, updateEndpoints: () => false }
  exchange = new SnapshotExchange(source, clock, pino({ level: 'silent' }))
  const from = { id: 'p', dataCentre: 'a', address: '127.0.0.1', peerPort: (peer.address() as AddressInfo).port }
  for (let ms = 0; ms < COUNTED_MS; ms += DATAGRAM_INTERVAL_MS) {
    await exchange.fetch('endpoints', from, 0)
    clock.advance(DATAGRAM_INTERVAL_MS)
  }
  exchange.dispose()
  peer.close()
  return fetches
}

describe('SnapshotExchange, with peers that gossip a newer list many times a second', () => {
  // Each datagram brought another fetch of the whole list as long as none was of use.
  it('pauses after a snapshot that is malformed or not newer', async () => {
    const fetches = [await countFetches('{'), await countFetches('{}')]
    expect(fetches.map(n => n > 0 && n <= MAX_FETCHES)).toEqual([true, true])
  })
})
