import { describe, expect, it } from 'vitest'
import type { ListVersion } from '../generated/PeerDatagram.js'
import { EndpointTable } from './EndpointTable.js'
import type { Endpoint, EndpointList } from './Types.js'

function endpoint (id: string, extra: Partial<Endpoint> = {}): Endpoint {
  return { id, service: 'pool', address: '10.0.0.1', port: 80, dataCentre: 'dc-a', slots: 8, leaving: false, startedAtMs: 0, warmUpMs: 0, ...extra }
}

const version = (revision: number, epoch = 1): ListVersion => ({ epoch, revision })

const list = (revision: number, ...ids: string[]): EndpointList => ({ version: version(revision), endpoints: ids.map(id => endpoint(id)) })

describe('EndpointTable', () => {
  it('removes an endpoint that is no longer listed, at once while the list is readable', () => {
    const table = new EndpointTable()
    const changes: string[] = []
    table.onChange(c => changes.push(`${c.kind} ${c.endpoint.id}`))
    table.update(list(1, 'a', 'b'), 0, 0)
    table.update(list(2, 'a'), 1_000, 1_000)
    expect([changes, table.usable('pool').map(e => e.id)]).toEqual([['joined a', 'joined b', 'gone b'], ['a']])
  })

  it('retains entries that expired during an outage of the list for 2 s after its recovery, but not leaving ones', () => {
    const table = new EndpointTable()
    table.update({ version: version(1), endpoints: [endpoint('a'), endpoint('b'), endpoint('c', { leaving: true })] }, 0, 0)
    table.recordReadFailure(1_000)
    table.update(list(2), 6_000, 6_000)
    const atReturn = table.usable('pool').map(e => e.id)
    table.update(list(3, 'a'), 7_000, 7_000)
    const soonAfter = table.usable('pool').map(e => e.id)
    table.update(list(4, 'a'), 8_300, 8_300)
    expect([atReturn, soonAfter, table.usable('pool').map(e => e.id), table.get('c')]).toEqual([['a', 'b'], ['a', 'b'], ['a'], undefined])
  })

  it('exposes the list as read, without the endpoints retained after an outage, and drops those in time even if nothing else changes', () => {
    const table = new EndpointTable()
    table.update(list(1, 'a', 'b'), 0, 0)
    table.recordReadFailure(1_000)
    table.update(list(2, 'a'), 6_000, 6_000)
    const other = new EndpointTable()
    other.update(list(2, 'a'), 6_000, 6_000)
    expect([table.list.endpoints.map(e => e.id), table.digest === other.digest, table.usable('pool').map(e => e.id)]).toEqual([['a'], true, ['a', 'b']])
    table.confirm(version(3), 7_000, 7_000)
    const soon = table.usable('pool').length
    table.confirm(version(4), 8_300, 8_300)
    expect([soon, table.usable('pool').map(e => e.id)]).toEqual([2, ['a']])
  })

  it('removes an endpoint at once when the list was only read late or one read failed, as that is no outage', () => {
    const late = new EndpointTable()
    late.update(list(1, 'a', 'b'), 0, 0)
    late.recordReadFailure(1_750)
    late.update(list(2, 'a'), 2_700, 2_700)
    expect(late.usable('pool').map(e => e.id)).toEqual(['a'])
  })

  it('ignores a list older than the last, gives leaving endpoints no work, detects equal lists by their digest', () => {
    const table = new EndpointTable()
    table.update({ version: version(5), endpoints: [endpoint('a', { leaving: true }), endpoint('b')] }, 0, 0)
    const { digest } = table
    table.update(list(4, 'a', 'b'), 100, 100)
    expect([table.usable('pool').map(e => e.id), table.digest === digest]).toEqual([['b'], true])
    table.update(list(6, 'a', 'b'), 200, 200)
    expect(table.digest === digest).toBe(false)
  })

  it('treats a restart under the same id as another endpoint', () => {
    const table = new EndpointTable()
    const changes: string[] = []
    table.onChange(c => changes.push(c.kind))
    table.update({ version: version(1), endpoints: [endpoint('a', { startedAtMs: 1 })] }, 0, 0)
    table.update({ version: version(2), endpoints: [endpoint('a', { startedAtMs: 2 })] }, 100, 100)
    expect(changes).toEqual(['joined', 'gone', 'joined'])
  })

  // After a restoration of the platform each list had a lower revision, so that none was taken until the revisions had caught up.
  it('takes a list of a later epoch whatever its revision, and none of an earlier one after it', () => {
    const table = new EndpointTable()
    table.update(list(500, 'a', 'b'), 0, 0)
    const taken = [
      table.update({ version: version(400, 2), endpoints: [endpoint('a'), endpoint('b'), endpoint('c')] }, 100, 100),
      table.update(list(501, 'a'), 200, 200)
    ]
    table.confirm(version(502), 300, 300)
    expect([taken, table.version, table.usable('pool').map(e => e.id)]).toEqual([[true, false], version(400, 2), ['a', 'b', 'c']])
  })

  // Endpoints that had registered since the copy was made were gone for a moment, and with them their work.
  it('retains endpoints that the first lists of a later epoch lack, for 2 s', () => {
    const table = new EndpointTable()
    table.update(list(500, 'a', 'b'), 0, 0)
    const restored = (revision: number): EndpointList => ({ version: version(revision, 2), endpoints: [endpoint('a')] })
    const usable = [0, 1_000, 2_300].map(ms => {
      table.update(restored(400 + ms), 100 + ms, 100 + ms)
      return table.usable('pool').map(e => e.id)
    })
    expect(usable).toEqual([['a', 'b'], ['a', 'b'], ['a']])
  })

  // A copy lists endpoints that were emptied or gone since as usable.
  it('gives no new work to endpoints that were leaving or gone before a restoration, until their entries have been written again', () => {
    const table = new EndpointTable()
    table.update(list(500, 'a', 'b', 'c'), 0, 0)
    table.update({ version: version(501), endpoints: [endpoint('a'), endpoint('b', { leaving: true })] }, 100, 100)
    table.update({ version: version(400, 2), endpoints: [endpoint('a'), endpoint('b'), endpoint('c'), endpoint('d')] }, 200, 200)
    const atReturn = table.usable('pool').map(e => e.id)
    table.update({ version: version(401, 2), endpoints: [endpoint('a'), endpoint('b', { startedAtMs: 9 }), endpoint('c')] }, 300, 300)
    const restarted = table.usable('pool').map(e => e.id)
    table.confirm(version(402, 2), 2_500, 2_500)
    expect([atReturn, restarted, table.usable('pool').map(e => e.id)]).toEqual([['a', 'd'], ['a', 'b', 'd'], ['a', 'b', 'c']])
  })

  // The other error: an endpoint whose entry had expired for a moment was held as gone long after it had registered again.
  it('gives work to endpoints that had registered again before the restoration, or left long before it', () => {
    const table = new EndpointTable()
    table.update(list(500, 'a', 'b', 'c'), 0, 0)
    table.update(list(501, 'a'), 100, 100)
    table.update(list(502, 'a', 'b'), 200, 200)
    table.update({ version: version(400, 2), endpoints: [endpoint('a'), endpoint('b'), endpoint('c')] }, 31_000, 31_000)
    expect(table.usable('pool').map(e => e.id)).toEqual(['a', 'b', 'c'])
  })

  // Gateways that read no list learn by the digest that an endpoint warms up. The remaining time changes with each heartbeat.
  it('tells an endpoint that warms up by its digest, but not its remaining time, and only where the service has a warm-up', () => {
    const digests = [['pool'], ['other']].map(services => [0, 3_000, 2_000, undefined].map(warmUpMs => {
      const table = new EndpointTable()
      table.update({ version: version(1), endpoints: [endpoint('a', { warmUpMs }), endpoint('b')] }, 0, 0)
      table.setWarmingServices(new Set(services))
      return table.digest
    }))
    const isEach = digests.map(([warm, ...cold]) => cold.map(digest => digest === warm))
    expect([isEach, digests[0]![1] === digests[0]![2], digests[0]![2] === digests[0]![3]]).toEqual([[[false, false, false], [true, true, true]], true, true])
  })

  it('has another digest when a known endpoint turns cold or warm', () => {
    const table = new EndpointTable()
    table.setWarmingServices(new Set(['pool']))
    const digests = [0, 3_000, 1_000, 0].map((warmUpMs, i) => {
      table.update({ version: version(i + 1), endpoints: [endpoint('a', { warmUpMs })] }, i, i)
      return table.digest
    })
    expect(digests.map(digest => digest === digests[0])).toEqual([true, false, false, true])
  })
})
