import { pino } from 'pino'
import { afterEach, describe, expect, it, vi } from 'vitest'
import type { GossipedLoad } from '../common/generated/PeerDatagram.js'
import { hashString } from '../common/Hash.js'
import { EndpointHealth } from '../common/routing/EndpointHealth.js'
import { EndpointState } from '../common/routing/EndpointState.js'
import { HolderDirectory } from '../common/routing/HolderDirectory.js'
import { placeCall } from '../common/routing/CallPlacement.js'
import { placePrompt } from '../common/routing/PromptPlacement.js'
import type { Endpoint } from '../common/routing/Types.js'
import { FakeClock } from '../common/TestUtils.test.js'
import { EndpointPool, type PooledEndpoint } from './EndpointPool.js'

const SIZES = [300, 2_300]
const NOW = 1_000

function endpoint (i: number, more: Partial<Endpoint> = {}): Endpoint {
  return {
    id: `e${i}`, service: 'engines', address: '10.0.0.1', port: 1_000 + i, dataCentre: `dc${i % 5}`, slots: 8, leaving: false, startedAtMs: 1, warmUpMs: 0, ...more
  }
}

function createPool (count: number): EndpointPool {
  const pool = new EndpointPool(new FakeClock(), pino({ level: 'silent' }))
  pool.update({ version: { epoch: 1, revision: 1 }, endpoints: Array.from({ length: count }, (_, i) => endpoint(i)) }, 0)
  return pool
}

const report = (i: number, more: Partial<GossipedLoad> = {}): GossipedLoad => ({ endpoint: hashString(`e${i}`), requests: 2, ageMs: 100, failed: 0, ended: 1, ...more })
const stateOf = (pool: EndpointPool, i: number): PooledEndpoint => pool.getReachable(hashString(`e${i}`))!

/** Number of times that the state of an endpoint is read while `action` runs. */
function countReads (action: () => void): number {
  const spies = [
    vi.spyOn(EndpointState.prototype, 'load'),
    vi.spyOn(EndpointHealth.prototype, 'failureRate'),
    vi.spyOn(EndpointHealth.prototype, 'isAvailable'),
    vi.spyOn(EndpointHealth.prototype, 'outcomes'),
    vi.spyOn(EndpointHealth.prototype, 'localOutcomes')
  ]
  action()
  const reads = spies.reduce((sum, spy) => sum + spy.mock.calls.length, 0)
  for (const spy of spies) spy.mockRestore()
  return reads
}

afterEach(() => { vi.restoreAllMocks() })

describe('EndpointPool, in a fleet where each of many instances uses every endpoint', () => {
  it('merges reports of peers at a cost that depends on the reports only', () => {
    const reads = SIZES.map(size => {
      const pool = createPool(size)
      const reports = Array.from({ length: 48 }, (_, i) => report(i, { failed: i % 4 === 0 ? 1 : 0, ended: 3 }))
      return countReads(() => pool.mergeLoadReports('peer', reports))
    })
    expect(reads[1]).toBe(reads[0])
    expect(reads[0]).toBeLessThan(6 * 48)
  })

  it('records an outcome at the same cost at any size', () => {
    const reads = SIZES.map(size => {
      const pool = createPool(size)
      const state = stateOf(pool, 3)
      return countReads(() => pool.recordOutcome(state, 'failed', 'r'))
    })
    expect(reads[1]).toBe(reads[0])
    expect(reads[0]).toBeLessThan(10)
  })

  it('places a request after looking at few endpoints', () => {
    const reads = SIZES.map(size => {
      const pool = createPool(size)
      const key = { session: hashString('s'), template: 5, templateTokens: 100, sessionTokens: 800 }
      const holder = hashString('e7')
      return [
        countReads(() => placePrompt(key.session, holder, pool.candidates('engines'), NOW)),
        countReads(() => placePrompt(key.session, undefined, pool.candidates('engines'), NOW)),
        countReads(() => new HolderDirectory().choose(key, pool.candidates('engines'), NOW)),
        countReads(() => placeCall('r', 'dc1', pool.candidates('engines'), NOW))
      ]
    })
    for (const [withHolder, withoutHolder, newSession, call] of reads) {
      expect(withHolder).toBeLessThanOrEqual(3)
      expect(Math.max(withoutHolder!, newSession!, call!)).toBeLessThan(300)
    }
  })

  it('avoids endpoints whose address another one has taken over, without suspecting their data centre', () => {
    const pool = createPool(20)
    const gone = [stateOf(pool, 0), stateOf(pool, 5)] // of the same data centre
    for (const state of gone) pool.recordOutcome(state, 'misdirected', 'r')
    expect(gone.map(state => state.health.isAvailable(NOW + 4_900))).toEqual([false, false])
    expect(pool.getReachable(hashString('e10'))?.endpoint.dataCentre).toBe('dc0')
  })

  it('offers the endpoints of one data centre while it has any left, for an instance that is cut off with them', () => {
    const pool = createPool(20)
    const tried = new Set<string>()
    const placed = Array.from({ length: 6 }, (_, session) => {
      const { endpoint } = placePrompt(session, undefined, pool.candidates('engines', { tried, only: 'dc1' }), NOW)!.state
      tried.add(endpoint.id)
      return endpoint.dataCentre
    })
    expect([placed.slice(0, 4), placed.slice(4).includes('dc1')]).toEqual([['dc1', 'dc1', 'dc1', 'dc1'], false])
  })

  it('selects the reports to send from the latest changes: failures first, then the most recent loads', () => {
    const pool = createPool(2_300)
    for (let i = 0; i < 200; i++) pool.mergeLoadReports('peer', [report(i, { ageMs: 300 - i })])
    pool.recordOutcome(stateOf(pool, 1_000), 'failed', 'r')
    let reports: GossipedLoad[] = []
    const reads = countReads(() => { reports = pool.loadReports() })
    expect(reads).toBeLessThan(100)
    expect(reports.map(r => r.endpoint)).toEqual([1_000, ...Array.from({ length: 47 }, (_, i) => 199 - i)].map(i => hashString(`e${i}`)))
  })

  it('forgets an incarnation when the endpoint restarts under the same id', () => {
    const pool = createPool(3)
    const before = stateOf(pool, 1)
    const closeIdle = vi.spyOn(before.agent, 'closeIdle')
    pool.recordOutcome(before, 'unreachable', 'r')
    closeIdle.mockClear()
    pool.update({ version: { epoch: 1, revision: 2 }, endpoints: [endpoint(0), endpoint(1, { startedAtMs: 2 }), endpoint(2)] }, 0)
    expect([closeIdle.mock.calls.length, stateOf(pool, 1) === before, stateOf(pool, 1).health.isAvailable(NOW)]).toEqual([1, false, true])
  })
})

describe('EndpointPool, when endpoints name limits', () => {
  it('takes a limit from a peer, and drops it with the incarnation that named it', () => {
    const pool = createPool(2)
    const named = { endpoint: hashString('e1'), startedAtMs: 1, requestsPerSec: 2.2, ageMs: 300 }
    const limit = (): number | undefined => pool.get(named.endpoint)!.limitPerSec(NOW)
    pool.mergeLimitReports([named])
    const before = [limit(), pool.limitReports()]
    pool.update({ version: { epoch: 1, revision: 2 }, endpoints: [endpoint(0), endpoint(1, { startedAtMs: 7 })] }, 0)
    pool.mergeLimitReports([named])
    expect([before, limit(), pool.limitReports()]).toEqual([[2.2, [named]], undefined, []])
  })

  it('lets the later answer count, from whichever instance it is heard first', () => {
    const pool = createPool(1)
    const named = { endpoint: hashString('e0'), startedAtMs: 1, requestsPerSec: 2.2, ageMs: 300 }
    pool.mergeLimitReports([{ ...named, requestsPerSec: -1, ageMs: 100 }, named])
    expect(stateOf(pool, 0).limitPerSec(NOW)).toBeUndefined()
  })
})
