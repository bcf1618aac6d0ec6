import { pino } from 'pino'
import { beforeEach, describe, expect, it } from 'vitest'
import { hashString } from '../common/Hash.js'
import { HolderDirectory } from '../common/routing/HolderDirectory.js'
import { placePrompt } from '../common/routing/PromptPlacement.js'
import type { Endpoint, Service } from '../common/routing/Types.js'
import { FakeClock } from '../common/TestUtils.test.js'
import { EndpointLimiter } from './EndpointLimiter.js'
import { EndpointPool, type PooledEndpoint } from './EndpointPool.js'

const SERVICES: readonly Service[] = [
  { id: 'engines', healthPath: '/', maxConnections: 9, engine: undefined, warmUp: { durationMs: 3_000, requestsPerSec: 12 } }, { id: 'plain', healthPath: '/', maxConnections: 9, engine: undefined }
]

function endpoint (id: string, warmUpMs: number | 'unstated' = 0, more: Partial<Endpoint> = {}): Endpoint {
  const entry = { id, service: 'engines', address: '10.0.0.1', port: 80, dataCentre: 'dc', slots: 8, leaving: false, startedAtMs: 1, ...more }
  return warmUpMs === 'unstated' ? entry : { ...entry, warmUpMs }
}

let clock: FakeClock
let pool: EndpointPool
let revision: number
let lines: string[]
beforeEach(() => {
  clock = new FakeClock()
  lines = []
  pool = new EndpointPool(clock, pino({ base: null }, { write: text => { lines.push(text) } }))
  revision = 0
})

const update = (endpoints: readonly Endpoint[], ageMs = 0): void => { pool.update({ version: { epoch: 1, revision: ++revision }, endpoints }, ageMs) }
const stateOf = (id: string): PooledEndpoint => pool.get(hashString(id))!
const limits = (...ids: string[]): Array<number | undefined> => ids.map(id => stateOf(id).limitPerSec(clock.nowMs()))

describe('EndpointPool, when endpoints warm up', () => {
  // The configuration may come before the list, after it, or change.
  it('applies the warm-up of the configuration in force to known and new endpoints', () => {
    update([endpoint('a', 3_000), endpoint('b', 3_000, { service: 'plain' })])
    const before = limits('a', 'b')
    pool.updateServices(SERVICES)
    const first = limits('a', 'b')
    update([endpoint('a', 2_900), endpoint('b', 2_900, { service: 'plain' }), endpoint('c', 3_000)])
    const later = limits('a', 'b', 'c')
    pool.updateServices(SERVICES.map(s => ({ ...s, warmUp: s.warmUp && { ...s.warmUp, requestsPerSec: 5 } })))
    const changed = limits('a', 'b', 'c')
    pool.updateServices(SERVICES.map(s => ({ ...s, warmUp: undefined })))
    const none = [undefined, undefined]
    expect([before, first, later, changed, limits('a', 'b', 'c')]).toEqual([none, [12, undefined], [12, undefined, 12], [5, undefined, 5], [...none, undefined]])
  })

  // The state of a known endpoint came from its first entry only.
  it('takes a known endpoint as cold again when a new list says so', () => {
    pool.updateServices(SERVICES)
    update([endpoint('a')])
    const warm = limits('a')
    clock.advance(5_000)
    update([endpoint('a', 3_000)], 1_000)
    const cold = limits('a')
    clock.advance(2_000)
    expect([warm, cold, limits('a')]).toEqual([[undefined], [12], [undefined]])
  })

  it('takes the first list at its word, an unstated time as unknown, and a later incarnation as just started', () => {
    pool.updateServices(SERVICES)
    update([endpoint('a'), endpoint('b', 'unstated'), endpoint('c')])
    clock.advance(2_000)
    update([endpoint('a'), endpoint('b', 'unstated'), endpoint('c', 0, { startedAtMs: 2 }), endpoint('d')], 1_500)
    const atOnce = limits('a', 'b', 'c', 'd')
    clock.advance(1_000)
    const then = limits('a', 'b', 'c', 'd')
    clock.advance(2_000)
    expect([atOnce, then, limits('a', 'b', 'c', 'd')]).toEqual([[undefined, 12, 12, 12], [undefined, undefined, 12, 12], [undefined, undefined, undefined, undefined]])
  })

  // A data centre whose entries had lapsed came back as if all its endpoints had just started, and got a few requests a second for seconds.
  it('doesn\'t take an incarnation that was missing for a while as just started, unless its remaining time is unknown', () => {
    pool.updateServices(SERVICES)
    update([endpoint('a'), endpoint('b', 'unstated'), endpoint('c')])
    clock.advance(5_000)
    update([])
    clock.advance(1_000)
    update([endpoint('a'), endpoint('b', 'unstated'), endpoint('c', 0, { startedAtMs: 2 })])
    expect(limits('a', 'b', 'c')).toEqual([undefined, 12, 12])
  })

  // An endpoint stayed closed for up to 10 s after its limit had ended, when the owner's refusal came after that.
  it('admits a request whose limit ended while its admission was asked for', async () => {
    update([endpoint('a')])
    const state = stateOf('a')
    state.recordLimit(2, clock.nowMs())
    const limiter = new EndpointLimiter(clock, async () => {
      clock.advance(1)
      state.recordLimit(undefined, clock.nowMs())
      return await Promise.resolve({ granted: false, waitMs: 5_000 })
    }, () => ({ gateways: 1, reachable: 1 }), 1)
    expect([await limiter.admit(state), state.isDeferred(clock.nowMs())]).toEqual([true, false])
  })

  // Peers tell that the list is the same; the remaining times in it may have grown.
  it('takes an endpoint as cold while peers confirm a list that has it as cold', () => {
    pool.updateServices(SERVICES)
    update([endpoint('a', 1_000), endpoint('b', 'unstated')])
    for (let i = 0; i < 4; i++) {
      clock.advance(1_000)
      pool.confirm({ epoch: 1, revision: ++revision }, 200)
    }
    const confirmed = limits('a', 'b')
    update([endpoint('a'), endpoint('b', 'unstated')])
    expect([confirmed, limits('a')]).toEqual([[12, undefined], [undefined]])
  })

  it('does not take back that an endpoint is cold when a list comes late', () => {
    pool.updateServices(SERVICES)
    update([endpoint('a', 3_000)])
    clock.advance(1_000)
    pool.readFailed(500)
    clock.advance(1_900)
    const late = limits('a')
    clock.advance(200)
    expect([late, limits('a')]).toEqual([[12], [undefined]])
  })

  it('logs each endpoint once when it becomes cold and once when it is warm, and counts the cold ones', () => {
    pool.updateServices(SERVICES)
    const counts = [[3_000, 0], [2_000, 0], [1_000, 3_000], [0, 1_000], [0, 0]].map(([a, b]) => {
      update([endpoint('a', a), endpoint('b', b), endpoint('c', 3_000, { service: 'plain' })])
      clock.advance(1_500)
      return pool.coldEndpoints
    })
    const changes = lines.map(line => JSON.parse(line) as Record<string, unknown>).filter(line => line.coldMs !== undefined)
    expect([counts, changes.map(line => `${String(line.msg)} ${String(line.endpoint)} ${String(line.coldMs)}`)]).toEqual([
      [1, 1, 2, 1, 0], ['endpoint is cold a 3000', 'endpoint is cold b 3000', 'endpoint is warm a 0', 'endpoint is warm b 0']
    ])
  })

  // A limit from the configuration was gossiped as one that the endpoint had named.
  it('gossips no warm-up rate as a named limit', () => {
    pool.updateServices(SERVICES)
    update([endpoint('a', 60_000)])
    const silent = pool.limitReports()
    pool.recordLimit(stateOf('a'), 2, 'r')
    const named = pool.limitReports().map(r => r.requestsPerSec)
    clock.advance(31_000)
    expect([silent, named, pool.limitReports(), limits('a')]).toEqual([[], [2], [], [12]])
  })

  // Answers without a named limit ended the time for which a cold endpoint was at its limit.
  it('keeps a cold endpoint at its limit closed when it answers earlier requests', () => {
    pool.updateServices(SERVICES)
    update([endpoint('a', 3_000)])
    stateOf('a').deferredUntil = clock.nowMs() + 80
    pool.recordLimit(stateOf('a'), undefined, 'r')
    expect(stateOf('a').isDeferred(clock.nowMs())).toBe(true)
  })

  it('serves sessions elsewhere while their engine, which turned cold again, is at its limit, and says when all are', async () => {
    pool.updateServices(SERVICES)
    update([endpoint('a'), endpoint('b')])
    const limiter = new EndpointLimiter(clock, async () => ({ granted: false, waitMs: 80 }), () => ({ gateways: 4, reachable: 1 }), 1)
    const place = (): string | undefined => placePrompt(7, hashString('a'), pool.candidates('engines'), clock.nowMs())?.state.endpoint.id
    const held = place()
    update([endpoint('a', 3_000), endpoint('b')])
    await limiter.admit(stateOf('a'))
    const spilled = [place(), new HolderDirectory().choose({ session: 7, template: 1, templateTokens: 9, sessionTokens: 9 }, pool.candidates('engines'), clock.nowMs())?.endpoint.id]
    update([endpoint('a', 3_000), endpoint('b', 3_000)])
    await limiter.admit(stateOf('b'))
    const atLimit = [place(), pool.candidates('engines').openWaitMs()]
    clock.advance(80)
    expect([held, spilled, atLimit, place()]).toEqual(['a', ['b', 'b'], [undefined, 80], 'a'])
  })
})
