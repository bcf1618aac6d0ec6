import { pino } from 'pino'
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest'
import { Emitter } from '../common/Emitter.js'
import type { GossipDatagram, PeerDatagram } from '../common/generated/PeerDatagram.js'
import type { Member } from '../common/membership/MemberTable.js'
import { readerOf } from '../common/peers/ReaderElection.js'
import type { RendezvousList } from '../common/RendezvousList.js'
import type { ViewVersion } from '../common/peers/ViewVersion.js'
import { SeededRandom } from '../common/SeededRandom.js'
import { FakeClock, listOf } from '../common/TestUtils.test.js'
import type { MemberState } from '../common/Types.js'
import { EvacuationHolder } from './EvacuationHolder.js'
import { GossipTask } from './GossipTask.js'
import { LIST_TOPIC } from './Peers.js'

const DATA_CENTRES = { a: ['a1', 'a2', 'a3'], b: ['b1', 'b2', 'b3'] }
const member = (id: string, state: MemberState = 'alive'): Member => ({
  id, dataCentre: id[0]!, address: id, peerPort: 1, incarnation: 1, state, since: 0, digest: undefined, lastContactAt: 0
})

/** Gossip of one gateway, which records where it sends and what it fetches. */
class TestGateway {
  readonly sentTo: string[] = []
  readonly sent: GossipDatagram[] = []
  readonly fetched: string[] = []
  view: ViewVersion = { configRevision: 1, configAgeMs: 0, listVersion: { epoch: 1, revision: 10 }, listDigest: 5, listAgeMs: 600 }
  /** Undefined where data centres are never evacuated. */
  readonly evacuations: EvacuationHolder | undefined
  /** Ages at which the configuration was confirmed. */
  readonly confirmedAges: number[] = []
  readonly task: GossipTask
  readonly clock = new FakeClock()
  readonly #received = new Emitter<PeerDatagram>()

  constructor (id: string, members: readonly Member[], evacuationMs?: number) {
    const silent = pino({ level: 'silent' })
    this.evacuations = evacuationMs === undefined ? undefined : new EvacuationHolder(evacuationMs, new FakeClock(), silent)
    const all = [...members, member(id)]
    const usable = (dataCentre?: string): RendezvousList<string> =>
      listOf(all.filter(m => m.state === 'alive' && (dataCentre ?? m.dataCentre) === m.dataCentre).map(m => m.id))
    const peers = {
      self: member(id),
      usable,
      contactable: () => members.filter(m => m.state !== 'dead').map(m => m.id),
      dataCentres: new Set(members.map(m => m.dataCentre)),
      onDatagram: this.#received.event,
      address: (peer: string) => members.find(m => m.id === peer),
      isReader: (topic: string) => readerOf(topic, usable(id[0])) === id,
      send: (to: { readonly id: string }) => { this.sentTo.push(to.id) },
      sendAll: (to: ReadonlyArray<{ readonly id: string }>, datagram: PeerDatagram) => {
        this.sentTo.push(...to.map(peer => peer.id))
        this.sent.push(datagram as GossipDatagram)
      }
    }
    this.task = new GossipTask(peers, this.clock, new SeededRandom(1), silent, {
      viewVersion: () => this.view,
      loadReports: () => [{ endpoint: 1, requests: 2, ageMs: 3, failed: 0, ended: 0 }],
      mergeLoadReports: () => {},
      limitReports: () => [],
      mergeLimitReports: () => {},
      evacuationReport: () => this.evacuations?.report,
      mergeEvacuations: (peer, report) => this.evacuations?.merge(peer, report) !== false,
      confirmConfig: ageMs => { this.confirmedAges.push(ageMs) },
      confirmList: (_version, listAgeMs) => { this.view = { ...this.view, listAgeMs } },
      fetch: (kind, from) => { this.fetched.push(`${kind} from ${from.id}`) }
    })
  }

  receive (from: string, more: Partial<GossipDatagram>): void {
    this.#received.fire({ kind: 'news', id: from, configRevision: 1, configAgeMs: 0, listVersion: { epoch: 1, revision: 10 }, listDigest: 5, listAgeMs: 0, loads: [], limits: [], ...more })
  }
}

const others = (id: string): Member[] => Object.values(DATA_CENTRES).flat().filter(other => other !== id).map(other => member(other))
const [readerA, readerB] = [readerOf(LIST_TOPIC, listOf(DATA_CENTRES.a))!, readerOf(LIST_TOPIC, listOf(DATA_CENTRES.b))!]
const localPeers = DATA_CENTRES.a.filter(id => id !== readerA)

describe('GossipTask, with many instances that rely on the reads of a few', () => {
  it('announces a read or a change in one datagram without loads, which go by the interval, and encodes it once for all peers', () => {
    vi.useFakeTimers()
    const reader = new TestGateway(readerA, others(readerA))
    reader.task.broadcastListRead()
    reader.task.gossipChange()
    reader.task.start()
    vi.advanceTimersByTime(250)
    reader.task.dispose()
    vi.useRealTimers()
    expect(reader.sent.map(d => d.loads.length)).toEqual([0, 0, 1])
  })

  it('sends its own reads to the data centre and the other readers, and forwards reads of theirs to the data centre only', () => {
    const reader = new TestGateway(readerA, others(readerA))
    reader.task.broadcastListRead()
    const afterOwnRead = reader.sentTo.splice(0).sort()
    const receiver = new TestGateway(readerA, others(readerA))
    receiver.receive(readerB, { listVersion: { epoch: 1, revision: 12 } })
    expect([afterOwnRead, receiver.sentTo.sort()]).toEqual([[...localPeers, readerB].sort(), localPeers.sort()])
  })

  it('sends the reads of a non-reader to a few peers, including leaving ones, excluding dead ones', () => {
    const members = [member('a2', 'leaving'), member('b1', 'dead')]
    const nonReader = new TestGateway(localPeers[0]!, [...members, member(readerA), member('b2')].filter(m => m.id !== localPeers[0]))
    nonReader.task.broadcastListRead()
    expect(nonReader.sentTo).not.toContain('b1')
    expect(nonReader.sentTo).toContain(members.find(m => m.id !== localPeers[0])!.id)
  })

  it('fetches only what a peer has in a newer revision', () => {
    const gateway = new TestGateway('a1', others('a1'))
    gateway.receive('b1', { configRevision: 2, listAgeMs: 700 })
    gateway.receive('b2', { listVersion: { epoch: 1, revision: 11 }, listDigest: 6 })
    gateway.receive('b3', { listVersion: { epoch: 1, revision: 9 }, listDigest: 7 })
    expect(gateway.fetched).toEqual(['config from b1', 'endpoints from b2'])
  })

  // A gateway that took a peer's word for the configuration without its evacuations read neither of them, and sent on to an evacuated data centre.
  it('takes the word of a peer on the configuration only with its evacuations, and joins these first', () => {
    const evacuations = { known: true, version: { epoch: 1, revision: 12 }, dataCentres: [{ name: 'b', ageMs: 40, maxAgeMs: 90 }] }
    const gateway = new TestGateway('a1', others('a1'), 5_000)
    gateway.view = { ...gateway.view, configAgeMs: 900 }
    gateway.receive('b1', { configAgeMs: 10 })
    gateway.receive('b2', { configAgeMs: 20, evacuations: { ...evacuations, known: false, dataCentres: [] } })
    gateway.receive('b3', { configAgeMs: 30, evacuations })
    expect([gateway.confirmedAges, gateway.evacuations!.ages]).toEqual([[30], [{ dataCentre: 'b', ageMs: 40 }]])
  })

  // Where data centres are never evacuated, datagrams and confirmations must be as before.
  it('sends the whole set where there can be one, and no field elsewhere', () => {
    const evacuations = { known: true, version: { epoch: 1, revision: 12 }, dataCentres: [{ name: 'b', ageMs: 40, maxAgeMs: 90 }] }
    const [gateway, without] = [new TestGateway('a1', others('a1'), 5_000), new TestGateway('a1', others('a1'))]
    for (const g of [gateway, without]) {
      g.view = { ...g.view, configAgeMs: 900 }
      g.receive('b3', { evacuations })
      g.task.gossipChange()
    }
    expect([gateway.sent.map(d => d.evacuations), 'evacuations' in without.sent[0]!, without.confirmedAges]).toEqual([[evacuations], false, [0]])
  })
})

describe('GossipTask, in a process that stood still', () => {
  const PAUSE_MS = 4_000
  const INTERVAL_MS = 250

  beforeEach(() => { vi.useFakeTimers() })

  afterEach(() => { vi.useRealTimers() })

  /** Lets the task gossip for a while. */
  function run (gateway: TestGateway, ms: number): void {
    for (let elapsedMs = 0; elapsedMs < ms; elapsedMs += INTERVAL_MS) {
      gateway.clock.advance(INTERVAL_MS)
      vi.advanceTimersByTime(INTERVAL_MS)
    }
  }

  /** Ages taken from datagrams that arrived during a pause: of the configuration, of the list. */
  function agesAfterPause (timerFirst: boolean): number[] {
    const gateway = new TestGateway('a1', others('a1'))
    gateway.view = { ...gateway.view, configAgeMs: Infinity, listAgeMs: Infinity }
    gateway.task.start()
    run(gateway, 1_000)
    gateway.clock.advance(PAUSE_MS)
    if (timerFirst) vi.advanceTimersByTime(INTERVAL_MS)
    gateway.receive('b1', { configAgeMs: 10, listAgeMs: 20 })
    run(gateway, 1_000)
    gateway.receive('b2', { configAgeMs: 10, listAgeMs: 20 })
    gateway.task.dispose()
    return [...gateway.confirmedAges, gateway.view.listAgeMs]
  }

  // What had waited in the socket since before the pause counted as fresh, and was passed on as such to peers.
  it.each([true, false])('takes what it reads after a pause as old as that may be, and later input as it says; its timer first: %s', timerFirst => {
    expect(agesAfterPause(timerFirst)).toEqual([PAUSE_MS + 10, 10, 20])
  })
})
