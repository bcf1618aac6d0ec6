import { pino } from 'pino'
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest'
import type { Endpoint, Prompt } from '../common/routing/Types.js'
import { SeededRandom } from '../common/SeededRandom.js'
import type { ProbeResult } from '../router/engines/ConnectProbe.js'
import { PermitTask, type Permit } from './PermitTask.js'
import { PromptGuard } from './PromptGuard.js'
import { FakePeerNetwork } from './TestUtils.test.js'

const GATEWAYS = 20
const SPREAD_MS = 200 // a few network round trips and delays of news
const CRASH_INTERVAL_MS = 700
const SEED = 4

const endpoint = (id: string): Endpoint => ({
  id, service: 'engines', address: '10.0.0.1', port: 80, dataCentre: 'dc', slots: 8, leaving: false, startedAtMs: 1, warmUpMs: 0
})
const prompt = (...ids: string[]): Prompt => ({ parts: [...ids, 'own'].map(id => ({ id, tokens: 10 })), promptTokens: 100, maxAnswerTokens: 10 })
const FATAL = prompt('template', 'fatal')
const clock = { nowMs: () => performance.now(), wallMs: () => performance.now() }

const ALWAYS: Permit = { granted: true, waitMs: 0 }

/** Guards of gateways that exchange datagrams in memory. */
class GuardedFleet {
  readonly network = new FakePeerNetwork()
  readonly random = new SeededRandom(SEED)
  readonly guards = new Map<string, PromptGuard>()
  /** Endpoints that still accept connections. */
  readonly alive = new Set<string>()

  constructor (size = GATEWAYS) {
    for (let i = 0; i < size; i++) this.start(`g${i}`)
  }

  start (id: string): PromptGuard {
    this.guards.get(id)?.dispose()
    const peers = this.network.join(id)
    const log = pino({ level: 'silent' })
    const probe = async (e: { readonly id: string }): Promise<ProbeResult> => await Promise.resolve(this.alive.has(e.id) ? 'accepted' : 'refused')
    const guard: PromptGuard = new PromptGuard(peers, clock, this.random, log, part => permits.take('part', part), probe, part => permits.release('part', part))
    const issuers = { part: (part: number, now: number) => guard.issueTrial(part, now), endpoint: () => ALWAYS, cold: () => ALWAYS }
    const permits = new PermitTask(peers, clock, issuers, { part: part => guard.endLease(part) })
    this.guards.set(id, guard)
    guard.start()
    return guard
  }

  guard (i: number): PromptGuard {
    return this.guards.get(`g${i}`)!
  }

  /** One engine after the other ends when it answers the prompt, each seen by another gateway. */
  async crashEngines (ids: readonly string[], firstGateway = 0): Promise<void> {
    for (const [i, id] of ids.entries()) {
      this.guard(firstGateway + i).recordClose(endpoint(id), FATAL)
      await vi.advanceTimersByTimeAsync(CRASH_INTERVAL_MS)
    }
  }

  /** Number of gateways that may send the prompt now. */
  async countSenders (asked: Prompt): Promise<number> {
    const checks = Promise.all([...this.guards.values()].map(async guard => await guard.check(asked, 'r')))
    await vi.advanceTimersByTimeAsync(50)
    return (await checks).filter(refusal => refusal === undefined).length
  }

  dispose (): void {
    for (const guard of this.guards.values()) guard.dispose()
  }
}

let fleet: GuardedFleet
beforeEach(() => {
  vi.useFakeTimers()
  fleet = new GuardedFleet()
})
afterEach(() => {
  fleet.dispose()
  vi.useRealTimers()
})

describe('PromptGuard, in a fleet where requests with a fatal part come at any gateway', () => {
  it('sends a suspect prompt from one gateway at a time, and a blocked one from none', async () => {
    await fleet.crashEngines(['e1', 'e2'])
    const suspects = await fleet.countSenders(FATAL)
    await fleet.crashEngines(['e3'], 5)
    expect([suspects, await fleet.countSenders(FATAL), await fleet.countSenders(prompt('template', 'other'))]).toEqual([1, 0, 1])
  })

  // A trial that reached no engine, or was taken back, kept its lease for 4 s: all prompts with the part were refused meanwhile.
  it('sends the next suspect prompt once a trial has ended without a broken answer, not before the evidence of a broken one', async () => {
    await fleet.crashEngines(['e1', 'e2'])
    const trials = [prompt('template', 'fatal'), prompt('template', 'fatal')]
    const granted: boolean[] = []
    for (const [i, wasBrokenOff] of [false, true].entries()) {
      const [refusal] = await Promise.all([fleet.guard(i).check(trials[i]!, 'r'), vi.advanceTimersByTimeAsync(SPREAD_MS)])
      granted.push(refusal === undefined)
      fleet.guard(i).endTrial(trials[i]!, wasBrokenOff)
      await vi.advanceTimersByTimeAsync(SPREAD_MS)
    }
    expect([granted, await fleet.countSenders(FATAL)]).toEqual([[true, true], 0])
  })

  it('sends prompts that share a part with the fatal one once an answer to one of them was whole', async () => {
    await fleet.crashEngines(['e1', 'e2', 'e3'])
    fleet.guard(9).recordSound(prompt('template', 'other'))
    await vi.advanceTimersByTimeAsync(SPREAD_MS)
    expect([await fleet.countSenders(prompt('template', 'other')), await fleet.countSenders(FATAL)]).toEqual([GATEWAYS, 0])
  })

  it('holds nothing against a prompt when the endpoints that closed its connections live on', async () => {
    for (const id of ['e1', 'e2', 'e3', 'e4']) fleet.alive.add(id)
    await fleet.crashEngines(['e1', 'e2', 'e3', 'e4'])
    expect(await fleet.countSenders(FATAL)).toBe(GATEWAYS)
  })

  it('counts an endpoint that is gone from the list as ended, though its address accepts connections again', async () => {
    for (const id of ['e1', 'e2', 'e3']) fleet.alive.add(id)
    await fleet.crashEngines(['e1', 'e2', 'e3'])
    for (const guard of fleet.guards.values()) ['e1', 'e2', 'e3'].forEach(id => guard.recordGone(endpoint(id)))
    await vi.advanceTimersByTimeAsync(SPREAD_MS)
    expect(await fleet.countSenders(FATAL)).toBe(0)
  })

  // A parent that held the listening socket accepted connections for the engine that had ended, and the list was seconds late.
  it('counts an endpoint as ended that closed all connections, of one gateway or of two at the same time, though it accepts others', async () => {
    const closed = { connectionsAt: () => ({ ended: 2, left: 0 }) }
    const single = { connectionsAt: () => ({ ended: 1, left: 0 }) }
    for (const id of ['e1', 'e2', 'e3']) fleet.alive.add(id)
    fleet.guard(0).recordClose(endpoint('e1'), FATAL, closed)
    await vi.advanceTimersByTimeAsync(CRASH_INTERVAL_MS)
    for (const id of ['e2', 'e3']) {
      fleet.guard(1).recordClose(endpoint(id), FATAL, single)
      await vi.advanceTimersByTimeAsync(5)
      fleet.guard(2).recordClose(endpoint(id), prompt('template', 'other'), single)
      await vi.advanceTimersByTimeAsync(CRASH_INTERVAL_MS)
    }
    expect(await fleet.countSenders(FATAL)).toBe(0)
  })

  it('holds nothing against a prompt when endpoints reset connections of two gateways at the same time, and others stay open', async () => {
    const partly = { connectionsAt: () => ({ ended: 1, left: 1 }) }
    for (const id of ['e1', 'e2', 'e3', 'e4']) {
      fleet.alive.add(id)
      for (const i of [1, 2]) fleet.guard(i).recordClose(endpoint(id), FATAL, partly)
      await vi.advanceTimersByTimeAsync(CRASH_INTERVAL_MS)
    }
    expect(await fleet.countSenders(FATAL)).toBe(GATEWAYS)
  })

  it('counts endpoints as ended whose end the list tells seconds later, or before the close of the connection', async () => {
    for (const id of ['e1', 'e2', 'e3']) fleet.alive.add(id)
    fleet.guard(3).recordGone(endpoint('e3'))
    await fleet.crashEngines(['e1', 'e2', 'e3'], 1)
    await vi.advanceTimersByTimeAsync(7_000)
    for (const guard of fleet.guards.values()) ['e1', 'e2'].forEach(id => guard.recordGone(endpoint(id)))
    await vi.advanceTimersByTimeAsync(SPREAD_MS)
    expect(await fleet.countSenders(FATAL)).toBe(0)
  })

  // An answer without length or chunks that the end of its engine cut off counted as whole, which cleared the fatal part.
  it('counts answers without a marked end when their endpoint has ended, not when it lives on or leaves', async () => {
    const ids = ['e1', 'e2', 'e3']
    const alone = { connectionsAt: () => ({ ended: 0, left: 0 }) }
    const record = async (asked: Prompt): Promise<void> => {
      for (const id of ids) {
        fleet.guard(1).recordUnmarkedEnd(endpoint(id), asked, alone)
        await vi.advanceTimersByTimeAsync(CRASH_INTERVAL_MS)
      }
    }
    await record(prompt('template', 'other'))
    fleet.network.sent.clear()
    for (const id of ids) fleet.guard(1).recordGone({ ...endpoint(id), leaving: true })
    await vi.advanceTimersByTimeAsync(SPREAD_MS)
    const afterLeaving = [fleet.network.sent.size, await fleet.countSenders(FATAL)]
    await record(FATAL)
    for (const id of ids) fleet.guard(1).recordGone(endpoint(id))
    await vi.advanceTimersByTimeAsync(SPREAD_MS)
    expect([...afterLeaving, await fleet.countSenders(FATAL)]).toEqual([0, GATEWAYS, 0])
  })

  // Eight gateways of the record had restarted between the crashes, and sent the part on again.
  it('is ready after a start only with the evidence of its peers, also when others start at the same time', async () => {
    await fleet.crashEngines(['e1', 'e2', 'e3'])
    const started = Array.from({ length: 8 }, (_, i) => fleet.start(`g${i}`))
    expect(started.map(guard => guard.isReady)).toEqual(started.map(() => false))
    while (!started.every(guard => guard.isReady)) await vi.advanceTimersByTimeAsync(1)
    expect(await fleet.countSenders(FATAL)).toBe(0)
  })

  // A gateway that started while its peers were slow to answer was ready after 500 ms, and sent the part on.
  it('waits for peers that are slow to answer, and is ready without them when they stay silent', async () => {
    await fleet.crashEngines(['e1', 'e2', 'e3'])
    fleet.network.loses = () => true
    const slow = fleet.start('g0')
    await vi.advanceTimersByTimeAsync(1_500)
    const early = slow.isReady
    fleet.network.loses = () => false
    await vi.advanceTimersByTimeAsync(SPREAD_MS)
    const later = [slow.isReady, await fleet.countSenders(FATAL)]
    fleet.network.loses = () => true
    const cutOff = fleet.start('g1')
    await vi.advanceTimersByTimeAsync(4_000)
    expect([early, ...later, cutOff.isReady]).toEqual([false, true, 0, true])
  })

  it('is ready soon when it has no peers, or its only peer has just started as well', async () => {
    const [alone, pair] = [new GuardedFleet(1), new GuardedFleet(2)]
    await vi.advanceTimersByTimeAsync(600)
    const ready = [...alone.guards.values(), ...pair.guards.values()].map(guard => guard.isReady)
    alone.dispose()
    pair.dispose()
    expect(ready).toEqual([true, true, true])
  })

  it('joins the evidence of both sides of a cut when it heals', async () => {
    for (let i = 10; i < GATEWAYS; i++) fleet.network.cutOff.add(`g${i}`)
    await fleet.crashEngines(['e1', 'e2'])
    await fleet.crashEngines(['e3'], 15)
    const before = await fleet.countSenders(FATAL)
    fleet.network.cutOff.clear()
    await vi.advanceTimersByTimeAsync(10_000)
    expect([before, await fleet.countSenders(FATAL)]).toEqual([11, 0])
  })

  it('reaches all gateways though a fifth of the datagrams is lost', async () => {
    fleet.network.loses = () => fleet.random.next() < 0.2
    await fleet.crashEngines(['e1', 'e2', 'e3'])
    await vi.advanceTimersByTimeAsync(5_000)
    expect(await fleet.countSenders(FATAL)).toBe(0)
  })

  it('tells gateways whose requests wait for their answer when a part is blocked', async () => {
    const told: boolean[] = []
    for (const guard of fleet.guards.values()) guard.onBlocked(parts => told.push(guard.hasPartOf(FATAL, parts)))
    await fleet.crashEngines(['e1', 'e2', 'e3'])
    expect(told).toEqual(Array.from({ length: GATEWAYS }, () => true))
  })

  // A prompt that was under way as a trial was taken back each time that another part was blocked.
  it('tells them of the parts that were not blocked before', async () => {
    const other = prompt('another', 'bad')
    await fleet.crashEngines(['e1', 'e2', 'e3'])
    const told: boolean[] = []
    for (const guard of fleet.guards.values()) guard.onBlocked(parts => told.push(guard.hasPartOf(FATAL, parts)))
    for (const id of ['e4', 'e5', 'e6']) {
      fleet.guard(2).recordClose(endpoint(id), other)
      await vi.advanceTimersByTimeAsync(CRASH_INTERVAL_MS)
    }
    expect(told).toEqual(Array.from({ length: GATEWAYS }, () => false))
  })

  // What one gateway had dropped for room came back as news from another one, and went round the fleet again without end.
  it('comes to rest when there is more evidence than gateways keep', async () => {
    for (let i = 0; i < 40; i++) {
      const parts = Array.from({ length: 30 }, (_, k) => `part${i}-${k}`)
      fleet.guard(i % GATEWAYS).recordClose(endpoint(`e${i}`), prompt('template', ...parts))
      await vi.advanceTimersByTimeAsync(200)
    }
    await vi.advanceTimersByTimeAsync(15_000)
    fleet.network.sent.clear()
    await vi.advanceTimersByTimeAsync(5_000)
    expect(fleet.network.sent.get('tellCrashes')).toBeLessThanOrEqual(5 * 2 * GATEWAYS) // the slow exchange alone
  })

  it('sends nothing and looks at nothing while no engine has ended', async () => {
    await vi.advanceTimersByTimeAsync(2_000)
    fleet.network.sent.clear()
    fleet.guard(0).recordSound(FATAL)
    await vi.advanceTimersByTimeAsync(5_000)
    expect([...fleet.network.sent]).toEqual([])
  })
})
