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
import type { IHolderPeers } from './HolderTask.js'
import { LIST_TOPIC } from './PeerTask.js'

const NEWS_INTERVAL_MS = 250
const NEWS_FANOUT = 3
const URGENT_FANOUT = 6 // a change is pushed on by each that learns of it
const SPREAD_INTERVAL_MS = 100
const WORTH_SPREADING_MS = 200 // by which a view became newer
const MAX_SPREAD = 64 // peers told directly of a read; the others hear from those
const UNKNOWN_AGE_MS = 3_600_000 // an age that can be sent where there is none

/** What the task tells and asks of the gateway. */
export interface INewsHost {
  viewAge (): ViewVersion
  freshLoads (): GossipDatagram['loads']
  told (peer: string, loads: GossipDatagram['loads']): void
  confirmConfig (ageMs: number): void
  confirmList (revision: number, ageMs: number): void
  /** Fetches a part that the peer has newer. */
  fetch (part: 'config' | 'endpoints', from: InstanceAddress, ageMs: number): void
}

/** What the task uses of the talk between gateways. */
export interface INewsPeers extends IHolderPeers {
  /** Peers heard of, including those that are leaving or dead. */
  readonly members: readonly Member[]
  usable (dataCentre?: string): readonly string[]
  /** True when this instance reads `topic` for its data centre. */
  reads (topic: string): boolean
}

export class NewsTask extends Disposable {
  readonly #peers: INewsPeers
  readonly #clock: IClock
  readonly #random: IRandom
  readonly #log: Log
  readonly #host: INewsHost
  #nextSpreadAt = 0

  constructor (peers: INewsPeers, clock: IClock, random: IRandom, log: Log, host: INewsHost) {
    super()
    this.#peers = peers
    this.#clock = clock
    this.#random = random
    this.#log = log
    this.#host = host
    this.own(peers.onDatagram(d => { if ('kind' in d && d.kind === 'news') this.#onNews(d) }))
  }

  /** Begins to tell at an interval; the peers' socket must be bound. */
  start (): void {
    const timer = setInterval(() => this.#sendNews(NEWS_FANOUT), NEWS_INTERVAL_MS)
    this.own(toDisposable(() => clearInterval(timer)))
  }

  /** Pushes a change at once. */
  announce (): void {
    this.#sendNews(URGENT_FANOUT)
  }

  /** Tells that the list was just read: a reader its data centre and the other readers, any other a few peers. */
  tellRead (): void {
    if (this.#peers.reads(LIST_TOPIC)) this.#spread(true)
    else this.#sendNews(NEWS_FANOUT)
  }

  /** Sends the news to the own data centre, and to the readers of the others when this instance read by itself. */
  #spread (toReaders: boolean): void {
    const now = this.#clock.nowMs()
    if (now < this.#nextSpreadAt) return
    this.#nextSpreadAt = now + SPREAD_INTERVAL_MS
    const near = this.#peers.usable(this.#peers.self.dataCentre).filter(id => id !== this.#peers.self.id)
    const news = this.#news()
    for (const id of [...this.#some(near, MAX_SPREAD), ...toReaders ? this.#farReaders() : []]) this.#sendTo(id, news)
  }

  /** Readers of the list in the other data centres. */
  #farReaders (): readonly string[] {
    const dataCentres = new Set(this.#peers.members.map(m => m.dataCentre))
    dataCentres.delete(this.#peers.self.dataCentre)
    return [...dataCentres].map(dc => readerOf(LIST_TOPIC, this.#peers.usable(dc))).filter(id => id !== undefined)
  }

  #news (): GossipDatagram {
    const { configRevision, configAgeMs, listRevision, listDigest, listAgeMs } = this.#host.viewAge()
    const ages = { configAgeMs: finite(configAgeMs), listAgeMs: finite(listAgeMs) }
    return { kind: 'news', id: this.#peers.self.id, configRevision, listRevision, listDigest, ...ages, loads: this.#host.freshLoads() }
  }

  /** Tells some peers, including those that are leaving: they serve on for a while. */
  #sendNews (fanout: number): void {
    const peers = this.#peers.members.filter(m => m.state !== 'dead').map(m => m.id)
    const news = this.#news()
    for (const id of this.#some(peers, fanout)) this.#sendTo(id, news)
  }

  /** So many of `ids` at random. */
  #some (ids: readonly string[], count: number): readonly string[] {
    if (ids.length <= count) return ids
    const left = [...ids]
    return Array.from({ length: count }, () => left.splice(Math.floor(this.#random.next() * left.length), 1)[0]!)
  }

  #sendTo (id: string, news: GossipDatagram): void {
    const peer = this.#peers.address(id)
    if (peer !== undefined) this.#peers.send(peer, news)
  }

  #onNews (news: GossipDatagram): void {
    this.#host.told(news.id, news.loads)
    const own = this.#host.viewAge()
    const peer = this.#peers.address(news.id)
    const config = compareConfig(own, news)
    if (config === 'confirm') this.#host.confirmConfig(news.configAgeMs)
    else if (config === 'fetch' && peer !== undefined) this.#host.fetch('config', peer, news.configAgeMs)
    const list = compareList(own, news)
    if (list === 'confirm') this.#confirmList(news, own)
    else if (list === 'fetch' && peer !== undefined) this.#host.fetch('endpoints', peer, news.listAgeMs)
    if (config === 'fetch' || list === 'fetch') this.#log.debug({ step: 'peers', peer: news.id, config, list }, 'peer knows more')
  }

  /** A reader passes what another data centre's reader read on to its own data centre. */
  #confirmList (news: GossipDatagram, own: ViewVersion): void {
    this.#host.confirmList(news.listRevision, news.listAgeMs)
    const far = this.#peers.address(news.id)?.dataCentre !== this.#peers.self.dataCentre
    if (far && own.listAgeMs - news.listAgeMs > WORTH_SPREADING_MS && this.#peers.reads(LIST_TOPIC)) this.#spread(false)
  }
}

function finite (ageMs: number): number {
  return Math.round(Math.min(UNKNOWN_AGE_MS, Math.max(0, ageMs)))
}
