/**
 * Task that tells peers how new this gateway's view of the platform is, what endpoints stated and how requests ended
 * there, and takes in what peers tell. Parts that a peer has newer are fetched from it.
 */
import { Disposable, toDisposable } from '../common/Disposable.js'
import type { GossipDatagram } from '../common/generated/PeerDatagram.js'
import type { Member } from '../common/membership/Membership.js'
import { compareConfig, compareList, type ViewVersion } from '../common/peers/ViewVersion.js'
import { readerOf } from '../common/peers/ReaderElection.js'
import type { IClock, IRandom } from '../common/Services.js'
import type { InstanceAddress } from '../common/Types.js'
import type { Log } from '../router/telemetry/Log.js'
import type { IPeerTransport } from './SessionAffinityTask.js'
import { LIST_TOPIC } from './MembershipTask.js'

const GOSSIP_INTERVAL_MS = 250
const GOSSIP_FANOUT = 3
const CHANGE_FANOUT = 6 // a change is pushed on by each that learns of it
const MIN_BROADCAST_INTERVAL_MS = 100
const MIN_AGE_GAIN_MS = 200 // by which a view became newer
const MAX_BROADCAST_PEERS = 64 // peers told directly of a read; the others hear from those
const MAX_SENT_AGE_MS = 3_600_000 // an age that can be sent where there is none

/** What the task tells and asks of the gateway. */
export interface IGossipHost {
  viewAge (): ViewVersion
  loadReports (): GossipDatagram['loads']
  mergeLoadReports (peer: string, reports: GossipDatagram['loads']): void
  confirmConfig (ageMs: number): void
  confirmList (revision: number, ageMs: number): void
  /** Fetches a part that the peer has newer. */
  fetch (part: 'config' | 'endpoints', from: InstanceAddress, ageMs: number): void
}

/** What the task uses of the talk between gateways. */
export interface IGossipPeers extends IPeerTransport {
  /** Peers heard of, including those that are leaving or dead. */
  readonly members: readonly Member[]
  usable (dataCentre?: string): readonly string[]
  /** True when this instance reads `topic` for its data centre. */
  isReader (topic: string): boolean
}

export class GossipTask extends Disposable {
  readonly #peers: IGossipPeers
  readonly #clock: IClock
  readonly #random: IRandom
  readonly #log: Log
  readonly #host: IGossipHost
  #nextBroadcastAt = 0

  constructor (peers: IGossipPeers, clock: IClock, random: IRandom, log: Log, host: IGossipHost) {
    super()
    this.#peers = peers
    this.#clock = clock
    this.#random = random
    this.#log = log
    this.#host = host
    this.own(peers.onDatagram(d => { if ('kind' in d && d.kind === 'news') this.#receive(d) }))
  }

  /** Begins to tell at an interval; the peers' socket must be bound. */
  start (): void {
    const timer = setInterval(() => this.#gossip(GOSSIP_FANOUT), GOSSIP_INTERVAL_MS)
    this.own(toDisposable(() => clearInterval(timer)))
  }

  /** Pushes a change at once. */
  gossipChange (): void {
    this.#gossip(CHANGE_FANOUT)
  }

  /** Tells that the list was just read: a reader its data centre and the other readers, any other a few peers. */
  broadcastListRead (): void {
    if (this.#peers.isReader(LIST_TOPIC)) this.#broadcast(true)
    else this.#gossip(GOSSIP_FANOUT)
  }

  /** Sends the news to the own data centre, and to the readers of the others when this instance read by itself. */
  #broadcast (toReaders: boolean): void {
    const now = this.#clock.nowMs()
    if (now < this.#nextBroadcastAt) return
    this.#nextBroadcastAt = now + MIN_BROADCAST_INTERVAL_MS
    const local = this.#peers.usable(this.#peers.self.dataCentre).filter(id => id !== this.#peers.self.id)
    const message = this.#createMessage()
    for (const id of [...this.#sample(local, MAX_BROADCAST_PEERS), ...toReaders ? this.#remoteReaders() : []]) this.#sendTo(id, message)
  }

  /** Readers of the list in the other data centres. */
  #remoteReaders (): readonly string[] {
    const dataCentres = new Set(this.#peers.members.map(m => m.dataCentre))
    dataCentres.delete(this.#peers.self.dataCentre)
    return [...dataCentres].map(dc => readerOf(LIST_TOPIC, this.#peers.usable(dc))).filter(id => id !== undefined)
  }

  #createMessage (): GossipDatagram {
    const { configRevision, configAgeMs, listRevision, listDigest, listAgeMs } = this.#host.viewAge()
    const ages = { configAgeMs: clampAge(configAgeMs), listAgeMs: clampAge(listAgeMs) }
    return { kind: 'news', id: this.#peers.self.id, configRevision, listRevision, listDigest, ...ages, loads: this.#host.loadReports() }
  }

  /** Tells some peers, including those that are leaving: they serve on for a while. */
  #gossip (fanout: number): void {
    const peers = this.#peers.members.filter(m => m.state !== 'dead').map(m => m.id)
    const message = this.#createMessage()
    for (const id of this.#sample(peers, fanout)) this.#sendTo(id, message)
  }

  /** So many of `ids` at random. */
  #sample (ids: readonly string[], count: number): readonly string[] {
    if (ids.length <= count) return ids
    const remaining = [...ids]
    return Array.from({ length: count }, () => remaining.splice(Math.floor(this.#random.next() * remaining.length), 1)[0]!)
  }

  #sendTo (id: string, message: GossipDatagram): void {
    const peer = this.#peers.address(id)
    if (peer !== undefined) this.#peers.send(peer, message)
  }

  #receive (message: GossipDatagram): void {
    this.#host.mergeLoadReports(message.id, message.loads)
    const own = this.#host.viewAge()
    const peer = this.#peers.address(message.id)
    const config = compareConfig(own, message)
    if (config === 'confirm') this.#host.confirmConfig(message.configAgeMs)
    else if (config === 'fetch' && peer !== undefined) this.#host.fetch('config', peer, message.configAgeMs)
    const list = compareList(own, message)
    if (list === 'confirm') this.#confirmList(message, own)
    else if (list === 'fetch' && peer !== undefined) this.#host.fetch('endpoints', peer, message.listAgeMs)
    if (config === 'fetch' || list === 'fetch') this.#log.debug({ step: 'peers', peer: message.id, config, list }, 'peer knows more')
  }

  /** A reader passes what another data centre's reader read on to its own data centre. */
  #confirmList (message: GossipDatagram, own: ViewVersion): void {
    this.#host.confirmList(message.listRevision, message.listAgeMs)
    const remote = this.#peers.address(message.id)?.dataCentre !== this.#peers.self.dataCentre
    if (remote && own.listAgeMs - message.listAgeMs > MIN_AGE_GAIN_MS && this.#peers.isReader(LIST_TOPIC)) this.#broadcast(false)
  }
}

function clampAge (ageMs: number): number {
  return Math.round(Math.min(MAX_SENT_AGE_MS, Math.max(0, ageMs)))
}
