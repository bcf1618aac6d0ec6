/** What gateways read from the store when some of them lose it, in virtual time. */
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest'
import { latestNoticeMs } from '../common/routing/EvacuationSet.js'
import type { OperatorBounds } from '../gateway/ConfigReads.js'
import { LIST_TOPIC } from '../gateway/Peers.js'
import { DATA_CENTRES, DRAIN_MS, FakeFleet, latenessOf, type FleetOptions } from './ReaderFleetFixture.test.js'

const BOUNDS_MS = [2_000, 3_000] // config_apply_ms of deployments; the rule's limit
const EVACUATION_MS = 5_000
const QUIET_MS = 4_000
const RUN_MS = 4_000
const MINUTE_MS = 60_000
const PHASES = 15 // of the watches, at which the store is lost
const PHASE_STEP_MS = 100
const AFTER_LOSS_MS = 50
const CHANGES = 12
const CHANGE_GAP_MS = 600

/** Which gateways lose the store, and how. */
interface Trouble {
  readonly name: string
  readonly lose: (fleet: FakeFleet) => readonly string[]
  readonly how: 'cutOff' | 'turnedAway'
}

const TROUBLES: readonly Trouble[] = [
  { name: 'all that watch are cut off from the store', lose: fleet => fleet.readers(1), how: 'cutOff' },
  { name: 'all that watch are turned away by the store', lose: fleet => fleet.readers(1), how: 'turnedAway' },
  { name: 'all that watch and their first standbys are cut off', lose: fleet => fleet.readers(2), how: 'cutOff' },
  { name: 'all that watch and all standbys are cut off', lose: fleet => fleet.readers(3), how: 'cutOff' },
  { name: 'the one that watches in one data centre is cut off', lose: fleet => fleet.readers(1).slice(0, 1), how: 'cutOff' },
  { name: 'two data centres and the watch of the third are cut off', lose: f => [...f.of('a'), ...f.of('b'), f.readers(1)[2]!], how: 'cutOff' }
]

const WATCHES_CUT = TROUBLES[0]!
const LIST_TROUBLES: readonly Trouble[] = [
  { name: 'all that read it are cut off from the store', lose: fleet => fleet.readers(1, LIST_TOPIC), how: 'cutOff' },
  { name: 'all that read it are turned away by the store', lose: fleet => fleet.readers(1, LIST_TOPIC), how: 'turnedAway' },
  { name: 'all that read it, and would read it next, are cut off', lose: fleet => fleet.readers(3, LIST_TOPIC), how: 'cutOff' }
]

/** A run of a fleet: its trouble, and what is written to the store during it. */
interface Run {
  readonly trouble: Trouble
  readonly bounds: OperatorBounds
  readonly options?: FleetOptions
  /** Writes to the store, and returns how late, in ms, a gateway learned of it; waits for nothing but the time between writes. */
  readonly write: (fleet: FakeFleet) => Promise<(gateway: FakeFleet['gateways'][number]) => number>
}

/** Lets gateways lose the store after a quiet time; returns how late the last of the others learned what was written then. */
async function lateness ({ trouble: { lose, how }, bounds, options, write }: Run, phase: number): Promise<number> {
  const fleet = new FakeFleet(phase, bounds, options)
  await vi.advanceTimersByTimeAsync(QUIET_MS + phase * PHASE_STEP_MS)
  const lost = lose(fleet)
  lost.forEach(id => fleet.store[how].add(id))
  await vi.advanceTimersByTimeAsync(AFTER_LOSS_MS)
  const latenessAt = await write(fleet)
  await vi.advanceTimersByTimeAsync(RUN_MS)
  await fleet.stop()
  return Math.max(...fleet.gateways.filter(g => !lost.includes(g.id)).map(latenessAt))
}

/** The greatest lateness over the phases of the watches. */
async function worstLateness (run: Run): Promise<number> {
  const late: number[] = []
  for (let phase = 0; phase < PHASES; phase++) late.push(Math.round(await lateness(run, phase)))
  return Math.max(...late)
}

/** Publishes configurations, one after the other. */
const publish = (changes: number): Run['write'] => async ({ store }) => {
  const publishedAt = new Map<number, number>()
  for (let i = 0; i < changes; i++) {
    if (i > 0) await vi.advanceTimersByTimeAsync(CHANGE_GAP_MS)
    store.publish()
    publishedAt.set(store.revision, performance.now())
  }
  return gateway => Math.max(...[...publishedAt].map(([revision, at]) => latenessOf(gateway.learnedAt, revision, at)))
}

const publishFirst: Run['write'] = async fleet => {
  fleet.store.isPublished = true
  return await publish(1)(fleet)
}

const changeList: Run['write'] = async ({ store }) => {
  store.publish()
  const [revision, at] = [store.revision, performance.now()]
  return await Promise.resolve(gateway => latenessOf(gateway.listLearnedAt, revision, at))
}

const evacuate: Run['write'] = async ({ store }) => {
  store.isEvacuated = true
  store.publish()
  const at = performance.now()
  return await Promise.resolve(gateway => gateway.evacuationHeardAt - at)
}

beforeEach(() => { vi.useFakeTimers({ toFake: ['setTimeout', 'clearTimeout', 'setInterval', 'clearInterval', 'performance'] }) })

afterEach(() => { vi.useRealTimers() })

// A sound fleet must not pay for the standbys.
it.each(BOUNDS_MS)('only those that watch call the store while all are sound, once in six tenths of %i ms', async boundMs => {
  const fleet = new FakeFleet(1, { configApplyMs: boundMs })
  await vi.advanceTimersByTimeAsync(QUIET_MS)
  const before = fleet.store.configCalls
  await vi.advanceTimersByTimeAsync(MINUTE_MS)
  const calls = fleet.store.configCalls - before
  await fleet.stop()
  expect(calls).toBeLessThanOrEqual(Math.ceil(DATA_CENTRES.length * (MINUTE_MS / (0.6 * boundMs) + 1)))
})

// Gateways waited for up to 2.9 s, whatever the bound, for a confirmation by those that watch the store, who stayed its readers without reaching it.
describe.each(BOUNDS_MS)('a new configuration is in force within %i ms at all gateways that reach the store, when', boundMs => {
  it.each(TROUBLES)('$name', async trouble => {
    expect(await worstLateness({ trouble, bounds: { configApplyMs: boundMs }, write: publish(1) })).toBeLessThanOrEqual(boundMs)
  })

  it('all that watch are cut off from the store while configurations follow each other', async () => {
    expect(await worstLateness({ trouble: WATCHES_CUT, bounds: { configApplyMs: boundMs }, write: publish(CHANGES) })).toBeLessThanOrEqual(boundMs)
  })

  // All others asked every 2.5 s for a configuration that had not been there yet, and so for as long at the same time.
  it('it is the first one, and all that ask for it are cut off from the store', async () => {
    const run = { trouble: WATCHES_CUT, bounds: { configApplyMs: boundMs }, options: { isPublished: false }, write: publishFirst }
    expect(await worstLateness(run)).toBeLessThanOrEqual(boundMs)
  })
})

// Evacuations are read with the configuration, and were as late as it.
it.each(TROUBLES)('an evacuation is heard of in time at all gateways that reach the store, when $name', async trouble => {
  const run = { trouble, bounds: { configApplyMs: 2 * EVACUATION_MS, evacuationMs: EVACUATION_MS }, write: evacuate }
  expect(await worstLateness(run)).toBeLessThanOrEqual(latestNoticeMs(EVACUATION_MS))
})

// The list has readers of its own, whose loss must not delay what is known of leaving endpoints beyond their bound.
it.each(LIST_TROUBLES)('a change of the list of endpoints is known in time at all gateways that reach the store, when $name', async trouble => {
  const run = { trouble, bounds: { configApplyMs: BOUNDS_MS[0]! }, options: { followsList: true }, write: changeList }
  expect(await worstLateness(run)).toBeLessThanOrEqual(DRAIN_MS)
})
