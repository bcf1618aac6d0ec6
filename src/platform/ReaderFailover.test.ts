/**
 * Readers of the configuration in virtual time, without a network: gateways of three data centres, some of which lose the store but not
 * their peers. Reads, decisions and gossip are the product's; membership and the transfer between gateways are not.
 */
import { err, ok, type Result } from 'neverthrow'
import { pino } from 'pino'
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest'
import { Emitter } from '../common/Emitter.js'
import type { PeerDatagram } from '../common/generated/PeerDatagram.js'
import type { WatchTimes } from '../common/peers/ConfigSchedule.js'
import { readerOf, readersOf } from '../common/peers/ReaderElection.js'
import type { IClock } from '../common/Services.js'
import { SeededRandom } from '../common/SeededRandom.js'
import { listOf } from '../common/TestUtils.test.js'
import type { InstanceAddress } from '../common/Types.js'
import { ConfigHolder } from '../gateway/ConfigHolder.js'
import { ConfigReads } from '../gateway/ConfigReads.js'
import { GossipTask } from '../gateway/GossipTask.js'
import { CONFIG_TOPIC, type IGossipPeers } from '../gateway/Peers.js'
import { CONFIG_KEY } from './Records.js'
import type { IStoreReads, StoreError, StoreRead } from './StoreClient.js'
import { ConfigReader } from './StoreReaders.js'
import { createConfig } from './TestUtils.test.js'

const DATA_CENTRES = ['a', 'b', 'c']
const GATEWAYS_A_DATA_CENTRE = 8
const BOUNDS_MS = [2_000, 3_000] // config_apply_ms of deployments; the rule's limit
const CALL_MS = 4
const DATAGRAM_MS = 1
const READ_TIMEOUT_MS = 800
const QUIET_MS = 4_000
const RUN_MS = 4_000
const MINUTE_MS = 60_000
const PHASES = 15 // of the watches, at which the store is lost
const PHASE_STEP_MS = 100
const CHANGES = 12
const CHANGE_GAP_MS = 600
const NO_LIST = { listVersion: { epoch: 0, revision: 0 }, listDigest: 0, listAgeMs: Infinity }

const clock: IClock = { nowMs: () => performance.now(), wallMs: () => performance.now() }
const silent = pino({ level: 'silent' })
const sleep = async (ms: number): Promise<void> => { await new Promise(resolve => setTimeout(resolve, ms)) }

/** The store: its configuration's revision, and the gateways that don't reach it or that it turns away. */
class FakeStore {
  revision = 1
  calls = 0
  readonly cutOff = new Set<string>()
  readonly turnedAway = new Set<string>()
  readonly #changed = new Emitter<void>()

  publish (): void {
    this.revision++
    this.#changed.fire()
  }

  readsOf (gateway: string): IStoreReads {
    const read = async (): Promise<Result<StoreRead, StoreError>> => await this.#read(gateway)
    return { key: read, range: read, watch: async (_key, revision, times) => await this.#watch(gateway, revision, times) }
  }

  async #read (gateway: string): Promise<Result<StoreRead, StoreError>> {
    this.calls++
    if (this.turnedAway.has(gateway)) return await this.#fail(CALL_MS, 'refused')
    if (this.cutOff.has(gateway)) return await this.#fail(READ_TIMEOUT_MS, 'unreachable')
    await sleep(CALL_MS)
    return ok(this.#answer(true))
  }

  /** A watch whose gateway is cut off while it waits gets no answer any more. */
  async #watch (gateway: string, revision: number, { waitMs, timeoutMs }: WatchTimes): Promise<Result<StoreRead, StoreError>> {
    this.calls++
    if (this.turnedAway.has(gateway)) return await this.#fail(CALL_MS, 'refused')
    const changed = new Promise<void>(resolve => {
      if (this.revision > revision) resolve()
      else this.#changed.event(() => resolve())
    })
    const startedAt = performance.now()
    await Promise.race([changed, sleep(waitMs)])
    if (this.cutOff.has(gateway)) return await this.#fail(startedAt + timeoutMs - performance.now(), 'unreachable')
    await sleep(CALL_MS)
    return ok(this.#answer(this.revision > revision))
  }

  async #fail (ms: number, kind: StoreError['kind']): Promise<Result<StoreRead, StoreError>> {
    await sleep(ms)
    return err({ step: 'store', peer: 'store', kind, reason: kind })
  }

  #answer (changed: boolean): StoreRead {
    const value = Buffer.from(JSON.stringify(createConfig(this.revision)))
    return { version: { epoch: 1, revision: this.revision }, items: changed ? [{ key: CONFIG_KEY, value }] : [] }
  }
}

const addressOf = (id: string): InstanceAddress => ({ id, dataCentre: id[0]!, address: id, peerPort: 1 })

/** A gateway as far as its configuration is concerned. */
class FakeGateway {
  readonly id: string
  readonly dataCentre: string
  readonly config = new ConfigHolder(clock)
  readonly reads: ConfigReads
  readonly reader: ConfigReader
  readonly gossip: GossipTask
  readonly received = new Emitter<PeerDatagram>()
  /** When each revision came into force. */
  readonly learnedAt = new Map<number, number>()

  constructor (id: string, fleet: FakeFleet, seed: number, boundMs: number) {
    this.id = id
    this.dataCentre = id[0]!
    const peers = fleet.peersOf(this)
    this.gossip = new GossipTask(peers, clock, new SeededRandom(seed), silent, {
      viewVersion: () => ({ configRevision: this.config.revision, configAgeMs: this.config.ageMs, ...NO_LIST }),
      loadReports: () => [],
      mergeLoadReports: () => {},
      limitReports: () => [],
      mergeLimitReports: () => {},
      evacuationReport: () => undefined,
      mergeEvacuations: () => true,
      confirmConfig: ageMs => this.config.confirm(ageMs),
      confirmList: () => {},
      fetch: (_kind, from, ageMs) => { fleet.transfer(from.id, this, ageMs) }
    })
    this.reads = new ConfigReads(this.config, peers, this.gossip, boundMs)
    this.config.onChange(({ table }) => {
      this.learnedAt.set(table.config.revision, performance.now())
      this.gossip.gossipChange()
    })
    const { reads, config } = this
    const receiver = {
      get isConfigReader () { return reads.isReader },
      get configAgeMs () { return config.ageMs },
      get configWatch () { return reads.watch },
      onReaderChange: new Emitter<void>().event,
      configWaitMs: () => reads.waitMs,
      listWaitMs: () => Infinity,
      followsEvacuations: false,
      updateEvacuations: () => {},
      addEvacuations: () => {},
      updateConfig: (value: Parameters<ConfigReads['update']>[0], ageMs: number) => reads.update(value, ageMs),
      confirmConfig: (ageMs: number) => reads.confirm(ageMs),
      updateEndpoints: () => false,
      endpointReadFailed: () => {}
    }
    this.reader = new ConfigReader(fleet.store.readsOf(id), new SeededRandom(seed), silent, receiver, async ms => await sleep(ms))
  }

  /** Time from the publication of a revision until this or a later one was in force; Infinity for never. */
  lateness (revision: number, publishedAt: number): number {
    const times = [...this.learnedAt].filter(([learned]) => learned >= revision).map(([, at]) => at - publishedAt)
    return Math.max(0, Math.min(...times))
  }
}

class FakeFleet {
  readonly store = new FakeStore()
  readonly gateways: readonly FakeGateway[]
  readonly #byId: ReadonlyMap<string, FakeGateway>
  readonly #ids = DATA_CENTRES.flatMap(dataCentre => Array.from({ length: GATEWAYS_A_DATA_CENTRE }, (_, i) => `${dataCentre}${i}`))
  readonly #lists = new Map([undefined, ...DATA_CENTRES].map(of => [of, listOf(this.#ids.filter(id => of === undefined || id.startsWith(of)))]))
  readonly #runs: ReadonlyArray<Promise<void>>

  constructor (seed: number, boundMs: number) {
    this.gateways = this.#ids.map((id, i) => new FakeGateway(id, this, 1_000 * seed + i, boundMs))
    this.#byId = new Map(this.gateways.map(g => [g.id, g]))
    this.gateways.forEach(g => g.gossip.start())
    this.#runs = this.gateways.map(async g => await g.reader.run())
  }

  peersOf ({ id, dataCentre, received }: Pick<FakeGateway, 'id' | 'dataCentre' | 'received'>): IGossipPeers {
    const usable: IGossipPeers['usable'] = of => this.#lists.get(of)!
    const send = (to: InstanceAddress, datagram: PeerDatagram): void => { setTimeout(() => this.#byId.get(to.id)?.received.fire(datagram), DATAGRAM_MS) }
    return {
      self: addressOf(id),
      onDatagram: received.event,
      usable,
      address: addressOf,
      send,
      sendAll: (to, datagram) => to.forEach(peer => send(peer, datagram)),
      contactable: () => this.#ids.filter(peer => peer !== id),
      dataCentres: new Set(DATA_CENTRES),
      isReader: topic => readerOf(topic, usable(dataCentre)) === id
    }
  }

  /** Transfers a configuration between gateways. */
  transfer (from: string, to: FakeGateway, ageMs: number): void {
    setTimeout(() => {
      const config = this.#byId.get(from)?.config.table?.config
      if (config !== undefined) to.config.update(config, from, ageMs + CALL_MS)
    }, CALL_MS)
  }

  /** The first gateways among the readers of each data centre. */
  readers (count: number): string[] {
    return DATA_CENTRES.flatMap(dataCentre => readersOf(CONFIG_TOPIC, this.#lists.get(dataCentre)!, count))
  }

  async stop (): Promise<void> {
    this.gateways.forEach(g => {
      g.reader.dispose()
      g.gossip.dispose()
    })
    await vi.advanceTimersByTimeAsync(RUN_MS)
    await Promise.all(this.#runs)
  }
}

/** Which gateways lose the store, and how. */
interface Trouble {
  readonly name: string
  readonly lose: (fleet: FakeFleet) => readonly string[]
  readonly how: 'cutOff' | 'turnedAway'
}

const dataCentreOf = (ids: readonly string[], dataCentre: string): readonly string[] => ids.filter(id => id.startsWith(dataCentre))
const TROUBLES: readonly Trouble[] = [
  { name: 'all that watch are cut off from the store', lose: fleet => fleet.readers(1), how: 'cutOff' },
  { name: 'all that watch are turned away by the store', lose: fleet => fleet.readers(1), how: 'turnedAway' },
  { name: 'all that watch and their first standbys are cut off', lose: fleet => fleet.readers(2), how: 'cutOff' },
  { name: 'all that watch and all standbys are cut off', lose: fleet => fleet.readers(3), how: 'cutOff' },
  { name: 'the one that watches in one data centre is cut off', lose: fleet => fleet.readers(1).slice(0, 1), how: 'cutOff' },
  { name: 'two data centres and the watch of the third are cut off', lose: fleet => [...fleet.gateways.map(g => g.id).filter(id => !id.startsWith('c')), ...dataCentreOf(fleet.readers(1), 'c')], how: 'cutOff' }
]

/** Lets gateways lose the store after a quiet time and publishes changes; returns how late, in ms, the last of the others learned of one. */
async function lateness ({ lose, how }: Trouble, boundMs: number, seed: number, changes: number): Promise<number> {
  const fleet = new FakeFleet(seed, boundMs)
  await vi.advanceTimersByTimeAsync(QUIET_MS + seed * PHASE_STEP_MS)
  const lost = lose(fleet)
  lost.forEach(id => fleet.store[how].add(id))
  await vi.advanceTimersByTimeAsync(50)
  const publishedAt = new Map<number, number>()
  for (let i = 0; i < changes; i++) {
    fleet.store.publish()
    publishedAt.set(fleet.store.revision, performance.now())
    await vi.advanceTimersByTimeAsync(CHANGE_GAP_MS)
  }
  await vi.advanceTimersByTimeAsync(RUN_MS)
  const inTouch = fleet.gateways.filter(g => !lost.includes(g.id))
  await fleet.stop()
  return Math.max(...inTouch.flatMap(g => [...publishedAt].map(([revision, at]) => g.lateness(revision, at))))
}

/** The greatest lateness over the phases of the watches. */
async function worstLateness (trouble: Trouble, boundMs: number, changes: number): Promise<number> {
  const late: number[] = []
  for (let seed = 0; seed < PHASES; seed++) late.push(Math.round(await lateness(trouble, boundMs, seed, changes)))
  return Math.max(...late)
}

beforeEach(() => { vi.useFakeTimers({ toFake: ['setTimeout', 'clearTimeout', 'setInterval', 'clearInterval', 'performance'] }) })

afterEach(() => { vi.useRealTimers() })

// A sound fleet must not pay for the standbys.
it.each(BOUNDS_MS)('only those that watch call the store while all are sound, once in six tenths of %i ms', async boundMs => {
  const fleet = new FakeFleet(1, boundMs)
  await vi.advanceTimersByTimeAsync(QUIET_MS)
  const before = fleet.store.calls
  await vi.advanceTimersByTimeAsync(MINUTE_MS)
  const calls = fleet.store.calls - before
  await fleet.stop()
  expect(calls).toBeLessThanOrEqual(Math.ceil(DATA_CENTRES.length * (MINUTE_MS / (0.6 * boundMs) + 1)))
})

// Gateways waited for up to 2.9 s, whatever the bound, for a confirmation by those that watch the store, who stayed its readers without reaching it.
describe.each(BOUNDS_MS)('a new configuration is in force within %i ms at all gateways that reach the store, when', boundMs => {
  it.each(TROUBLES)('$name', async trouble => {
    expect(await worstLateness(trouble, boundMs, 1)).toBeLessThanOrEqual(boundMs)
  })

  it('all that watch are cut off from the store while configurations follow each other', async () => {
    expect(await worstLateness(TROUBLES[0]!, boundMs, CHANGES)).toBeLessThanOrEqual(boundMs)
  })
})
