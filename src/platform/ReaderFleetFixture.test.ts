/**
 * Fixture of the tests of the store's readers in virtual time, without a network: gateways of three data centres, some of which lose the
 * store but not their peers. Reads, decisions and gossip are the product's; membership and the transfer between gateways are not.
 */
import { err, ok, type Result } from 'neverthrow'
import { pino } from 'pino'
import { vi } from 'vitest'
import { Emitter } from '../common/Emitter.js'
import type { PeerDatagram } from '../common/generated/PeerDatagram.js'
import type { WatchTimes } from '../common/peers/ConfigSchedule.js'
import { instanceJitter, readerOf, readersOf, readWaitMs } from '../common/peers/ReaderElection.js'
import type { IClock } from '../common/Services.js'
import { SeededRandom } from '../common/SeededRandom.js'
import { listOf } from '../common/TestUtils.test.js'
import type { InstanceAddress } from '../common/Types.js'
import { ConfigHolder } from '../gateway/ConfigHolder.js'
import { ConfigReads, type OperatorBounds } from '../gateway/ConfigReads.js'
import { EvacuationHolder } from '../gateway/EvacuationHolder.js'
import { GossipTask } from '../gateway/GossipTask.js'
import { CONFIG_TOPIC, LIST_TOPIC, type IGossipPeers } from '../gateway/Peers.js'
import { CONFIG_KEY } from './Records.js'
import type { IStoreReads, StoreError, StoreRead } from './StoreClient.js'
import { ConfigReader, EndpointReader } from './StoreReaders.js'
import { createConfig } from './TestUtils.test.js'

export const DATA_CENTRES = ['a', 'b', 'c']
/** Bound of the list of endpoints. */
export const DRAIN_MS = 2_000
/** Longer than any call that is under way. */
const CALLS_END_MS = 4_000
const GATEWAYS_A_DATA_CENTRE = 8
const CALL_MS = 4
const DATAGRAM_MS = 1
const READ_TIMEOUT_MS = 800
const LIST_INTERVAL_MS = 0.33 * DRAIN_MS
const EVACUATION_KEY = 'op/evacuate/a'

const clock: IClock = { nowMs: () => performance.now(), wallMs: () => performance.now() }
const silent = pino({ level: 'silent' })
const sleep = async (ms: number): Promise<void> => { await new Promise(resolve => setTimeout(resolve, ms)) }

/** The store: its revision, which is that of its configuration and its list, too, and the gateways that don't reach it or that it turns away. */
export class FakeStore {
  revision = 1
  isPublished = true
  isEvacuated = false
  /** Reads of the key and watches. */
  configCalls = 0
  readonly cutOff = new Set<string>()
  readonly turnedAway = new Set<string>()
  readonly #changed = new Emitter<void>()

  publish (): void {
    this.revision++
    this.#changed.fire()
  }

  readsOf (gateway: string): IStoreReads {
    return {
      key: async () => {
        this.configCalls++
        return await this.#read(gateway, !this.isPublished)
      },
      range: async () => await this.#read(gateway, false),
      watch: async (_key, revision, times) => await this.#watch(gateway, revision, times)
    }
  }

  async #read (gateway: string, isMissing: boolean): Promise<Result<StoreRead, StoreError>> {
    if (this.turnedAway.has(gateway)) return await this.#fail(CALL_MS, 'refused')
    if (this.cutOff.has(gateway)) return await this.#fail(READ_TIMEOUT_MS, 'unreachable')
    if (isMissing) return await this.#fail(CALL_MS, 'not-found')
    await sleep(CALL_MS)
    return ok(this.#answer(true))
  }

  /** A watch whose gateway is cut off while it waits gets no answer any more. */
  async #watch (gateway: string, revision: number, { waitMs, timeoutMs }: WatchTimes): Promise<Result<StoreRead, StoreError>> {
    this.configCalls++
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
    const config = { key: CONFIG_KEY, value: Buffer.from(JSON.stringify(createConfig(this.revision))) }
    const items = [...this.isPublished ? [config] : [], ...this.isEvacuated ? [{ key: EVACUATION_KEY, value: Buffer.from('{}') }] : []]
    return { version: { epoch: 1, revision: this.revision }, items: changed ? items : [] }
  }
}

const addressOf = (id: string): InstanceAddress => ({ id, dataCentre: id[0]!, address: id, peerPort: 1 })

/** A gateway as far as what it reads from the store is concerned; the content of its list is left out. */
export class FakeGateway {
  readonly id: string
  readonly dataCentre: string
  readonly config = new ConfigHolder(clock)
  readonly evacuations: EvacuationHolder | undefined
  readonly reads: ConfigReads
  readonly readers: ReadonlyArray<ConfigReader | EndpointReader>
  readonly gossip: GossipTask
  readonly received = new Emitter<PeerDatagram>()
  /** When each revision came into force. */
  readonly learnedAt = new Map<number, number>()
  /** When each revision of the list was known. */
  readonly listLearnedAt = new Map<number, number>()
  evacuationHeardAt = Infinity
  #listRevision = 0
  #listReadAt = -Infinity

  constructor (id: string, fleet: FakeFleet, seed: number, bounds: OperatorBounds, followsList: boolean) {
    const { evacuationMs } = bounds
    this.id = id
    this.dataCentre = id[0]!
    this.evacuations = evacuationMs === undefined ? undefined : new EvacuationHolder(evacuationMs, clock, silent)
    const peers = fleet.peersOf(this)
    this.gossip = new GossipTask(peers, clock, new SeededRandom(seed), silent, {
      viewVersion: () => ({
        configRevision: this.config.revision,
        configAgeMs: this.config.ageMs,
        listVersion: { epoch: 1, revision: this.#listRevision },
        listDigest: this.#listRevision,
        listAgeMs: this.#listAgeMs
      }),
      loadReports: () => [],
      mergeLoadReports: () => {},
      limitReports: () => [],
      mergeLimitReports: () => {},
      evacuationReport: () => this.evacuations?.report,
      mergeEvacuations: (peer, report) => this.evacuations?.merge(peer, report) !== false,
      confirmConfig: ageMs => this.config.confirm(ageMs),
      confirmList: ({ revision }, ageMs) => { this.takeList(revision, ageMs) },
      fetch: (kind, from, ageMs) => { fleet.transfer(kind, from.id, this, ageMs) }
    })
    this.reads = new ConfigReads(this.config, peers, this.gossip, bounds)
    this.config.onChange(({ table }) => {
      this.learnedAt.set(table.config.revision, performance.now())
      this.gossip.gossipChange()
    })
    this.evacuations?.onChange(() => {
      if (!this.evacuations!.isEmpty) this.evacuationHeardAt = Math.min(this.evacuationHeardAt, performance.now())
      this.gossip.gossipChange()
    })
    const { reads, config, evacuations } = this
    const receiver = {
      get isConfigReader () { return reads.isReader },
      get configAgeMs () { return config.ageMs },
      get configWatch () { return reads.watch },
      onReaderChange: new Emitter<void>().event,
      configWaitMs: () => reads.waitMs,
      listWaitMs: (intervalMs: number) => readWaitMs(peers.isReader(LIST_TOPIC), this.#listAgeMs, intervalMs, instanceJitter(id)),
      followsEvacuations: evacuationMs !== undefined,
      updateEvacuations: (...read: Parameters<EvacuationHolder['update']>) => { evacuations?.update(...read) },
      addEvacuations: () => {},
      updateConfig: (value: Parameters<ConfigReads['update']>[0], ageMs: number) => reads.update(value, ageMs),
      confirmConfig: (ageMs: number) => reads.confirm(ageMs),
      updateEndpoints: ({ version: { revision } }: { readonly version: { readonly revision: number } }, ageMs: number) => {
        this.takeList(revision, ageMs)
        this.gossip.broadcastListRead()
        return true
      },
      endpointReadFailed: () => {}
    }
    const [store, random, wait] = [fleet.store.readsOf(id), new SeededRandom(seed), async (ms: number) => await sleep(ms)]
    const listReaders = followsList ? [new EndpointReader(store, random, silent, receiver, LIST_INTERVAL_MS, wait)] : []
    this.readers = [new ConfigReader(store, random, silent, receiver, wait), ...listReaders]
  }

  get #listAgeMs (): number {
    return performance.now() - this.#listReadAt
  }

  get listRevision (): number {
    return this.#listRevision
  }

  takeList (revision: number, ageMs: number): void {
    if (revision > this.#listRevision) this.listLearnedAt.set(revision, performance.now())
    this.#listRevision = Math.max(this.#listRevision, revision)
    this.#listReadAt = Math.max(this.#listReadAt, performance.now() - ageMs)
  }
}

/** Time from the publication of a revision until it or a later one was known; Infinity for never. */
export function latenessOf (learnedAt: ReadonlyMap<number, number>, revision: number, publishedAt: number): number {
  const times = [...learnedAt].filter(([learned]) => learned >= revision).map(([, at]) => at - publishedAt)
  return Math.max(0, Math.min(...times))
}

/** What differs from a fleet that follows a published configuration only. */
export interface FleetOptions {
  /** False to start before the first configuration is published. */
  readonly isPublished?: boolean
  /** True to read the list of endpoints as well. */
  readonly followsList?: boolean
}

/** A running fleet; timers must be faked. */
export class FakeFleet {
  readonly store = new FakeStore()
  readonly gateways: readonly FakeGateway[]
  readonly #byId: ReadonlyMap<string, FakeGateway>
  readonly #ids = DATA_CENTRES.flatMap(dataCentre => Array.from({ length: GATEWAYS_A_DATA_CENTRE }, (_, i) => `${dataCentre}${i}`))
  readonly #lists = new Map([undefined, ...DATA_CENTRES].map(of => [of, listOf(this.#ids.filter(id => of === undefined || id.startsWith(of)))]))
  readonly #runs: ReadonlyArray<Promise<void>>

  constructor (seed: number, bounds: OperatorBounds, { isPublished = true, followsList = false }: FleetOptions = {}) {
    this.store.isPublished = isPublished
    this.gateways = this.#ids.map((id, i) => new FakeGateway(id, this, 1_000 * seed + i, bounds, followsList))
    this.#byId = new Map(this.gateways.map(g => [g.id, g]))
    this.gateways.forEach(g => g.gossip.start())
    this.#runs = this.gateways.flatMap(g => g.readers).map(async reader => await reader.run())
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

  /** Transfers a configuration or a list between gateways. */
  transfer (kind: 'config' | 'endpoints', from: string, to: FakeGateway, ageMs: number): void {
    setTimeout(() => {
      const sender = this.#byId.get(from)!
      const config = sender.config.table?.config
      if (kind === 'endpoints') to.takeList(sender.listRevision, ageMs + CALL_MS)
      else if (config !== undefined) to.config.update(config, from, ageMs + CALL_MS)
    }, CALL_MS)
  }

  /** The gateways of a data centre. */
  of (dataCentre: string): readonly string[] {
    return this.#lists.get(dataCentre)!.items
  }

  /** The first gateways among the readers of each data centre. */
  readers (count: number, topic: string = CONFIG_TOPIC): string[] {
    return DATA_CENTRES.flatMap(dataCentre => readersOf(topic, this.#lists.get(dataCentre)!, count))
  }

  async stop (): Promise<void> {
    this.gateways.forEach(g => {
      g.readers.forEach(reader => reader.dispose())
      g.gossip.dispose()
    })
    await vi.advanceTimersByTimeAsync(CALLS_END_MS)
    await Promise.all(this.#runs)
  }
}
