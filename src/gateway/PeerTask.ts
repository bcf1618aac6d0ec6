/**
 * Task that owns this gateway's talk with its peers: who lives, how new their view of the platform is, which loads
 * endpoints stated to them. Parts that a peer has newer are fetched from it.
 */
import { Disposable, toDisposable } from '../common/Disposable.js'
import type { NewsDatagram, PeerDatagram } from '../common/generated/PeerDatagram.js'
import { hashString } from '../common/Hash.js'
import { Membership, type Outgoing } from '../common/membership/Membership.js'
import { judgeConfig, judgeList, type ViewAge } from '../common/peers/News.js'
import { readerOf } from '../common/peers/ReadDuty.js'
import type { IClock, IEvent, IRandom } from '../common/Services.js'
import type { InstanceAddress } from '../common/Types.js'
import { DatagramCodec } from '../router/fleet/DatagramCodec.js'
import type { Log } from '../router/telemetry/Log.js'
import type { IHolderPeers } from './HolderTask.js'
import { PeerSocket, type IControlCounter } from '../router/fleet/PeerSocket.js'

const TICK_MS = 100
const NEWS_INTERVAL_MS = 250
const NEWS_FANOUT = 3
const FAILURE_NEWS_INTERVAL_MS = 100
const URGENT_FANOUT = 6 // a change is pushed on by each that learns of it
const SPREAD_INTERVAL_MS = 100
const WORTH_SPREADING_MS = 200 // by which a view became newer
const MAX_SPREAD = 64 // peers told directly of a read; the others hear from those
const UNKNOWN_AGE_MS = 3_600_000 // an age that can be sent where there is none

/** Topics of read duty. */
export const CONFIG_TOPIC = 'config'
export const LIST_TOPIC = 'endpoints'

/** What the task tells and asks of the gateway. */
export interface IPeerHost {
  viewAge (): ViewAge
  freshLoads (): NewsDatagram['loads']
  told (loads: NewsDatagram['loads']): void
  confirmConfig (ageMs: number): void
  confirmList (revision: number, ageMs: number): void
  /** Fetches a part that the peer has newer. */
  fetch (part: 'config' | 'endpoints', from: InstanceAddress, ageMs: number): void
}

export class PeerTask extends Disposable implements IHolderPeers {
  readonly self: InstanceAddress
  readonly #clock: IClock
  readonly #random: IRandom
  readonly #log: Log
  readonly #host: IPeerHost
  readonly #socket: PeerSocket
  readonly #membership: Membership
  #nextNewsAt = 0
  #nextFailureNewsAt = 0
  #nextSpreadAt = 0

  constructor (self: InstanceAddress, clock: IClock, random: IRandom, counter: IControlCounter, log: Log, host: IPeerHost) {
    super()
    this.self = self
    this.#clock = clock
    this.#random = random
    this.#log = log
    this.#host = host
    this.#socket = this.own(new PeerSocket(new DatagramCodec(''), { passes: () => true }, counter))
    this.#membership = new Membership(self, Math.floor(clock.wallMs()), random, () => ({ configRevision: host.viewAge().configRevision, configDigest: '', loads: [] }))
    this.own(this.#membership.onChange(m => log.info({ step: 'peers', peer: m.id, dataCentre: m.dataCentre, state: m.state, incarnation: m.incarnation }, 'peer')))
    this.own(this.#socket.onDatagram(d => this.#receive(d)))
  }

  /** Binds the socket and starts to talk. @param seeds addresses at which peers may listen. */
  async start (seeds: readonly string[]): Promise<void> {
    const { address, peerPort } = this.self
    await this.#socket.bind(address, peerPort)
    this.#membership.learn(seeds.map(ip => ({ id: ip, dataCentre: '', address: ip, peerPort })), this.#clock.nowMs())
    const timer = setInterval(() => this.#tick(), TICK_MS)
    this.own(toDisposable(() => clearInterval(timer)))
  }

  /** True when this instance reads `topic` for its data centre. */
  reads (topic: string): boolean {
    return readerOf(topic, this.#membership.usable(this.self.dataCentre)) === this.self.id
  }

  get onDatagram (): IEvent<PeerDatagram> {
    return this.#socket.onDatagram
  }

  usable (): readonly string[] {
    return this.#membership.usable()
  }

  address (id: string): InstanceAddress | undefined {
    return this.#membership.member(id)
  }

  send (to: InstanceAddress, datagram: PeerDatagram): void {
    this.#socket.send(to, datagram)
  }

  /** Pushes a change at once. */
  announce (): void {
    this.#sendNews(URGENT_FANOUT)
  }

  /** Tells the own data centre and the readers of the others that the list was just read. */
  tellRead (): void {
    this.#spread(true)
  }

  /** Pushes that a request failed at an endpoint, unless that was just done: what is told fades in seconds. */
  tellFailure (): void {
    const now = this.#clock.nowMs()
    if (now < this.#nextFailureNewsAt) return
    this.#nextFailureNewsAt = now + FAILURE_NEWS_INTERVAL_MS
    this.#sendNews(NEWS_FANOUT)
  }

  /** Tells peers that this instance leaves. */
  leave (): void {
    this.#send(this.#membership.leave())
  }

  #tick (): void {
    const now = this.#clock.nowMs()
    this.#send(this.#membership.tick(now))
    if (now < this.#nextNewsAt) return
    this.#nextNewsAt = now + NEWS_INTERVAL_MS
    this.#sendNews(NEWS_FANOUT)
  }

  /** Sends the news to the own data centre, and to the readers of the others when this instance read by itself. */
  #spread (toReaders: boolean): void {
    const now = this.#clock.nowMs()
    if (now < this.#nextSpreadAt) return
    this.#nextSpreadAt = now + SPREAD_INTERVAL_MS
    const near = this.#membership.usable(this.self.dataCentre).filter(id => id !== this.self.id)
    const news = this.#news()
    for (const id of [...this.#some(near, MAX_SPREAD), ...toReaders ? this.#farReaders() : []]) this.#sendTo(id, news)
  }

  /** Readers of the list in the other data centres. */
  #farReaders (): string[] {
    const dataCentres = new Set(this.#membership.members.map(m => m.dataCentre))
    dataCentres.delete(this.self.dataCentre)
    return [...dataCentres].map(dc => readerOf(LIST_TOPIC, this.#membership.usable(dc))).filter(id => id !== undefined)
  }

  #news (): NewsDatagram {
    const { configRevision, configAgeMs, listRevision, listDigest, listAgeMs } = this.#host.viewAge()
    const ages = { configAgeMs: finite(configAgeMs), listAgeMs: finite(listAgeMs) }
    return { kind: 'news', id: this.self.id, configRevision, listRevision, listDigest, ...ages, loads: this.#host.freshLoads() }
  }

  /** Tells some peers, those too that leave: they serve on for a while. */
  #sendNews (fanout: number): void {
    const peers = this.#membership.members.filter(m => m.state !== 'dead').map(m => m.id)
    const news = this.#news()
    for (const id of this.#some(peers, fanout)) this.#sendTo(id, news)
  }

  /** So many of `ids` at random. */
  #some (ids: string[], count: number): string[] {
    if (ids.length <= count) return ids
    return Array.from({ length: count }, () => ids.splice(Math.floor(this.#random.next() * ids.length), 1)[0]!)
  }

  #sendTo (id: string, news: NewsDatagram): void {
    const peer = this.#membership.member(id)
    if (peer !== undefined) this.#socket.send(peer, news)
  }

  #receive (datagram: PeerDatagram): void {
    if ('from' in datagram) this.#send(this.#membership.receive(datagram, this.#clock.nowMs()))
    else if (datagram.kind === 'news') this.#onNews(datagram)
  }

  #onNews (news: NewsDatagram): void {
    this.#host.told(news.loads)
    const own = this.#host.viewAge()
    const peer = this.#membership.member(news.id)
    const config = judgeConfig(own, news)
    if (config === 'confirm') this.#host.confirmConfig(news.configAgeMs)
    else if (config === 'fetch' && peer !== undefined) this.#host.fetch('config', peer, news.configAgeMs)
    const list = judgeList(own, news)
    if (list === 'confirm') this.#confirmList(news, own)
    else if (list === 'fetch' && peer !== undefined) this.#host.fetch('endpoints', peer, news.listAgeMs)
    if (config === 'fetch' || list === 'fetch') this.#log.debug({ step: 'peers', peer: news.id, config, list }, 'peer knows more')
  }

  /** A reader passes what another data centre's reader read on to its own data centre. */
  #confirmList (news: NewsDatagram, own: ViewAge): void {
    this.#host.confirmList(news.listRevision, news.listAgeMs)
    const far = this.#membership.member(news.id)?.dataCentre !== this.self.dataCentre
    if (far && own.listAgeMs - news.listAgeMs > WORTH_SPREADING_MS && this.reads(LIST_TOPIC)) this.#spread(false)
  }

  #send (out: readonly Outgoing[]): void {
    for (const o of out) this.#socket.send(o.to, o.datagram)
  }
}

function finite (ageMs: number): number {
  return Math.round(Math.min(UNKNOWN_AGE_MS, Math.max(0, ageMs)))
}

/** Fixed number from 0 to 1 for an instance, to spread what instances do. */
export function unitOf (id: string): number {
  return hashString(id, 0x7f4a7c15) / 4_294_967_296
}
