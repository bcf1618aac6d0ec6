/** Tests without a network of the bound on the requests that a cold endpoint gets from all gateways together. */
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest'
import { hashString } from '../common/Hash.js'
import { FleetCount } from '../common/membership/FleetCount.js'
import { EndpointState } from '../common/routing/EndpointState.js'
import { SeededRandom } from '../common/SeededRandom.js'
import { listOf } from '../common/TestUtils.test.js'
import { EndpointLimiter, shareOf, type FleetShare } from './EndpointLimiter.js'
import type { IPeerTransport } from './Peers.js'
import { PermitTask } from './PermitTask.js'
import { FakePeerNetwork } from './TestUtils.test.js'

const COLD_PER_SEC = 12
const BOUND = COLD_PER_SEC * 1.5 + 5 // requests that the users allow in any second
const DEMAND_PER_SEC = 400
const MAX_DELAY_MS = 30 // between an admission and the arrival at the endpoint
const DETECTION_MS = 1_500 // until gateways notice that another is gone
const clock = { nowMs: () => performance.now(), wallMs: () => performance.now() }
const GRANTED = { granted: true, waitMs: 0 }

interface ColdGateway {
  /** Undefined while the gateway has not read a list. */
  state: EndpointState | undefined
  readonly limiter: EndpointLimiter
}

/** Gateways that send requests to one cold endpoint. */
class ColdFleet {
  readonly network = new FakePeerNetwork()
  readonly random = new SeededRandom(11)
  readonly gateways = new Map<string, ColdGateway>()
  readonly arrivals: number[] = []
  refused = 0
  /** Gateways that each gateway takes for live; undefined for those that it can reach. */
  believed: ((id: string) => readonly string[]) | undefined
  /** How much of the fleet a gateway sees; undefined for what it takes for live. */
  share: FleetShare | undefined

  constructor (count: number) {
    for (let i = 0; i < count; i++) this.start(`g${i}`)
  }

  /** Starts a gateway, in place of the one with this id. */
  start (id: string, knowsList = true): void {
    const joined = this.network.join(id)
    const usable = (): ReturnType<IPeerTransport['usable']> => this.believed === undefined ? joined.usable() : listOf(this.believed(id))
    const peers = { ...joined, usable }
    const fleet = (): FleetShare => this.share ?? { gateways: this.gateways.size, reachable: usable().items.length / this.gateways.size }
    const limiter: EndpointLimiter = new EndpointLimiter(clock, (endpoint, scope) => permits.take(scope, endpoint), fleet, hashString(id))
    const gateway: ColdGateway = { state: knowsList ? createState() : undefined, limiter }
    const permits: PermitTask = new PermitTask(peers, clock, {
      part: () => GRANTED, endpoint: (_, now) => limiter.issue(gateway.state, now), cold: (_, now) => limiter.issueCold(gateway.state, now)
    })
    this.gateways.set(id, gateway)
  }

  get ids (): string[] {
    return [...this.gateways.keys()]
  }

  /** The gateway that gives out the admissions among these. */
  ownerOf (ids: readonly string[] = this.ids): string {
    return listOf(ids).first(hashString('e1'))!
  }

  /** Requests come at random gateways at random times. */
  async run (ms: number): Promise<void> {
    const { ids } = this
    for (let at = 0; at < ms; at += 10) {
      for (let i = 0; i < DEMAND_PER_SEC / 100; i++) this.#send(ids[Math.floor(this.random.next() * ids.length)]!).catch(() => {})
      await vi.advanceTimersByTimeAsync(10)
    }
  }

  async #send (id: string): Promise<void> {
    const { state, limiter } = this.gateways.get(id)!
    if (state === undefined) return
    if (limiter.isLimited(state) && (state.isDeferred(clock.nowMs()) || !await limiter.admit(state))) this.refused++
    else this.arrivals.push(clock.nowMs() + this.random.next() * MAX_DELAY_MS)
  }

  /** Most arrivals in any second, and in all. */
  get most (): number {
    const times = [...this.arrivals].sort((a, b) => a - b)
    return Math.max(0, ...times.map((from, i) => times.slice(i).findIndex(at => at >= from + 1_000)).map((n, i) => n < 0 ? times.length - i : n))
  }
}

/** State of an endpoint that is cold for a long time. */
function createState (): EndpointState {
  const state = new EndpointState({ id: 'e1', service: 's', address: '10.0.0.1', port: 80, dataCentre: 'dc', slots: 8, leaving: false, startedAtMs: 1, warmUpMs: 3_600_000 })
  state.warmUp.limit = { durationMs: 3_000, requestsPerSec: COLD_PER_SEC }
  state.warmUp.recordEntry(3_600_000, clock.nowMs(), clock.nowMs())
  return state
}

let fleet: ColdFleet
beforeEach(() => {
  vi.useFakeTimers()
  fleet = new ColdFleet(20)
})
afterEach(() => { vi.useRealTimers() })

describe('EndpointLimiter, when an endpoint is cold and far more requests come than it takes', () => {
  // The first requests were sent before any answer had named a limit.
  it('sends most of what the endpoint takes, from the first second on, and no more', async () => {
    await fleet.run(5_000)
    expect([fleet.most <= 1.2 * COLD_PER_SEC, fleet.arrivals.length >= 0.7 * COLD_PER_SEC * 5]).toEqual([true, true])
  })

  it('keeps the bound when the owner dies, before and after the others notice', async () => {
    const owner = fleet.ownerOf()
    const all = fleet.ids
    await fleet.run(2_000)
    fleet.believed = () => all
    fleet.network.cutOff.add(owner)
    await fleet.run(DETECTION_MS)
    fleet.believed = id => id === owner ? [owner] : all.filter(other => other !== owner)
    await fleet.run(3_000)
    expect([fleet.most <= BOUND, fleet.arrivals.length > 2 * COLD_PER_SEC]).toEqual([true, true])
  })

  // An owner that knew no limit granted everything.
  it('keeps the bound when the owner starts again and has not read the list', async () => {
    const owner = fleet.ownerOf()
    await fleet.run(2_000)
    fleet.start(owner, false)
    await fleet.run(1_000)
    fleet.gateways.get(owner)!.state = createState()
    await fleet.run(3_000)
    expect(fleet.most).toBeLessThanOrEqual(BOUND)
  })

  it('keeps the bound when a gateway joins as the owner and half of the others still ask the old one', async () => {
    const owner = fleet.ownerOf()
    const old = fleet.ids.filter(id => id !== owner)
    fleet.believed = () => old
    await fleet.run(2_000)
    fleet.believed = id => id === owner || Number(id.slice(1)) % 2 === 0 ? fleet.ids : old
    await fleet.run(3_000)
    fleet.believed = undefined
    await fleet.run(3_000)
    expect(fleet.most).toBeLessThanOrEqual(BOUND)
  })

  it('keeps the bound on both sides of a cut together, before and after they notice, and when it heals', async () => {
    const all = fleet.ids
    await fleet.run(2_000)
    for (let i = 0; i < 10; i++) fleet.network.cutOff.add(`g${i}`)
    fleet.believed = () => all
    await fleet.run(DETECTION_MS)
    fleet.believed = undefined
    await fleet.run(3_000)
    fleet.network.cutOff.clear()
    await fleet.run(3_000)
    expect([fleet.most <= BOUND, fleet.arrivals.length > 5 * COLD_PER_SEC]).toEqual([true, true])
  })

  it('keeps the bound when replies of the owner are lost', async () => {
    fleet.network.loses = () => fleet.random.next() < 0.5
    await fleet.run(10_000)
    expect(fleet.most).toBeLessThanOrEqual(BOUND)
  })

  // Each gateway had saved one admission of its share: many times the bound in the first second without an owner.
  it('keeps the bound when the owner falls silent for the second time, long after the first', async () => {
    const owner = fleet.ownerOf()
    const all = fleet.ids
    fleet.believed = () => all
    for (let i = 0; i < 3; i++) {
      fleet.network.cutOff.add(owner)
      await fleet.run(3_000)
      fleet.network.cutOff.clear()
      await vi.advanceTimersByTimeAsync(20_000)
    }
    expect(fleet.most).toBeLessThanOrEqual(BOUND)
  })

  it('keeps the bound in a fleet of 131 of which no gateway has heard of another', async () => {
    fleet = new ColdFleet(131)
    fleet.believed = id => [id]
    fleet.share = shareOf(new FleetCount(3), 1)
    await fleet.run(3_000)
    await vi.advanceTimersByTimeAsync(30_000)
    await fleet.run(20_000)
    expect(fleet.most).toBeLessThanOrEqual(BOUND)
  })

  it('saves up no admissions between two times in which the endpoint is cold', async () => {
    await fleet.run(1_000)
    await vi.advanceTimersByTimeAsync(20_000)
    await fleet.run(2_000)
    expect(fleet.most).toBeLessThanOrEqual(1.2 * COLD_PER_SEC)
  })

  // A gateway that had to wait for its slot still avoided the endpoint when that was warm.
  it('sends to the endpoint at once when it is warm', async () => {
    const state = createState()
    const until = clock.nowMs() + 500
    const warming = new EndpointState(state.endpoint)
    warming.warmUp.limit = state.warmUp.limit
    warming.warmUp.recordEntry(500, clock.nowMs(), clock.nowMs())
    const limiter = new EndpointLimiter(clock, async () => undefined, () => ({ gateways: 131, reachable: 1 }), 1)
    for (let i = 0; i < 3; i++) await limiter.admit(warming)
    expect([warming.opensAt <= until, warming.isDeferred(until)]).toEqual([true, false])
  })

  it('keeps a lower limit that the endpoint named', async () => {
    for (const { state } of fleet.gateways.values()) state!.recordLimit(2, clock.nowMs())
    await fleet.run(5_000)
    expect([fleet.most <= 4, fleet.arrivals.length > 5]).toEqual([true, true])
  })
})
