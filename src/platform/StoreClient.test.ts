import { createServer, type Server } from 'node:http'
import type { AddressInfo } from 'node:net'
import { afterEach, describe, expect, it } from 'vitest'
import { GatewayMetrics } from '../gateway/GatewayMetrics.js'
import { StoreClient } from './StoreClient.js'

const WATCH = { waitMs: 1, timeoutMs: 701 }

let server: Server | undefined
afterEach(() => server?.close())

/** A client of a store that gives these answers in turn, each with its epoch. */
async function clientOf (...answers: ReadonlyArray<{ readonly epoch: string, readonly body: unknown }>): Promise<StoreClient> {
  let call = 0
  server = createServer((_req, res) => {
    const { epoch, body } = answers[call++ % answers.length]!
    res.writeHead(200, { 'store-era': epoch }).end(JSON.stringify(body))
  })
  await new Promise<void>(resolve => server!.listen(0, '127.0.0.1', resolve))
  return new StoreClient('127.0.0.1', (server.address() as AddressInfo).port, new GatewayMetrics())
}

const item = (key: string): object => ({ key, value: 'e30=' })

describe('StoreClient', () => {
  // An answer without a list of items was an empty list, for which all endpoints are gone; one with a null in it ended the reader for good.
  it('rejects an answer without its items, and leaves out items that can\'t be read', async () => {
    const client = await clientOf({ epoch: '1', body: { at: 5 } }, { epoch: '1', body: { at: 5, items: 7, events: 7 } }, { epoch: 'x', body: { at: 5, items: [] } })
    const kinds = []
    for (let i = 0; i < 3; i++) kinds.push((await client.range('a')).match(() => 'ok', e => e.kind))
    for (let i = 0; i < 2; i++) kinds.push((await client.watch('a', 1, WATCH)).match(() => 'ok', e => e.kind))
    client.close()
    server!.close()
    const other = await clientOf({ epoch: '1', body: { at: 5, items: [null, 3, item('a')] } })
    const read = await other.range('a')
    other.close()
    expect([kinds, read.unwrapOr(undefined)?.items.map(i => i.key)]).toEqual([['malformed', 'malformed', 'malformed', 'malformed', 'malformed'], ['a']])
  })

  it('takes no list whose pages are of two epochs, and reads the version of an answer from its header and body', async () => {
    const client = await clientOf(
      { epoch: '2', body: { at: 5, items: [item('a')], has_more: true } }, { epoch: '3', body: { at: 4, items: [] } }, { epoch: '3', body: { at: 4, events: [] } }
    )
    const list = (await client.range('a')).match(() => 'ok', e => e.kind)
    const watched = (await client.watch('a', 1, WATCH)).unwrapOr(undefined)
    client.close()
    expect([list, watched]).toEqual(['history-gone', { items: [], version: { epoch: 3, revision: 4 } }])
  })

  // Deletions were dropped, an entry that can't be read made a key look deleted.
  it('tells deletions where they are asked for, the last change of each key, and that entries are missing', async () => {
    const written = (key: string, revision: number): object => ({ ...item(key), revision })
    const deleted = (key: string, revision: number): object => ({ key, revision, deleted: true })
    const events = [deleted('a', 7), written('a', 6), written('b', 9), deleted('b', 8), deleted('c', 5)]
    const client = await clientOf(
      { epoch: '1', body: { at: 9, events } }, { epoch: '1', body: { at: 9, events: [null, deleted('a', 7)] } }, { epoch: '1', body: { at: 9, items: [null, item('a')] } }
    )
    const reads = [await client.watch('', 1, WATCH, true), await client.watch('', 1, WATCH, true), await client.range('')].map(read => read._unsafeUnwrap())
    client.close()
    expect(reads.map(({ items, deleted: gone, isPartial }) => [items.map(i => i.key), gone, isPartial])).toEqual([[['b'], ['c', 'a'], undefined], [[], ['a'], true], [['a'], undefined, true]])
  })
})
