/**
 * Gossips the revision and age of this gateway's configuration and list of endpoints, the loads that endpoints reported and
 * the outcomes of requests there, and merges what peers send. A newer configuration or list is fetched from the peer that has it.
 * The set of evacuated data centres is sent whole, where there can be one.
 */
import { Disposable, toDisposable } from '../common/Disposable.js'
import type { EvacuationReport, GossipDatagram, ListVersion } from '../common/generated/PeerDatagram.js'
import { READER_RANKS } from '../common/peers/ConfigSchedule.js'
import { InputDelay } from '../common/peers/InputDelay.js'
import { readerOf, readersOf } from '../common/peers/ReaderElection.js'
import { compareConfig, compareList, type ViewVersion } from '../common/peers/ViewVersion.js'
import type { IClock, IRandom } from '../common/Services.js'
import type { InstanceAddress } from '../common/Types.js'
import type { Log } from '../router/telemetry/Log.js'
import { CONFIG_TOPIC, LIST_TOPIC, type IGossipPeers } from './Peers.js'
import { sample } from './PeerSample.js'

const GOSSIP_INTERVAL_MS = 250
const GOSSIP_FANOUT = 3
const CHANGE_FANOUT = 6 // each gateway that learns of a change forwards it
const MIN_BROADCAST_INTERVAL_MS = 100
const MIN_AGE_GAIN_MS = 200 // a list whose age improved by less isn't broadcast
const MAX_BROADCAST_PEERS = 64 // peers that get a read directly; the others get it from them by gossip
const MAX_SENT_AGE_MS = 3_600_000 // finite age that is sent when the age is unknown

/** State of the gateway that the task reads and updates. */
export interface IGossipHost {
  viewVersion (): ViewVersion
  loadReports (): GossipDatagram['loads']
  mergeLoadReports (peer: string, reports: GossipDatagram['loads']): void
  limitReports (): GossipDatagram['limits']
  mergeLimitReports (reports: GossipDatagram['limits']): void
  /** The evacuations that this gateway knows; undefined where there are never any. */
  evacuationReport (): EvacuationReport | undefined
  /** Joins the set of a peer. Returns false when that leaves this gateway without what the peer's reads of the configuration brought with them. */
  mergeEvacuations (peer: string, report: EvacuationReport | undefined): boolean
  confirmConfig (ageMs: number): void
  confirmList (version: ListVersion, ageMs: number): void
  /** Fetches the configuration or the list from a peer that has a newer one. @param ageMs age of the peer's copy. */
  fetch (kind: 'config' | 'endpoints', from: InstanceAddress, ageMs: number): void
}

export class GossipTask extends Disposable {
  readonly #peers: IGossipPeers
  readonly #clock: IClock
  readonly #random: IRandom
  readonly #log: Log
  readonly #host: IGossipHost
  readonly #inputDelay = new InputDelay(GOSSIP_INTERVAL_MS)
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

  /** Starts to gossip at an interval; the peers' socket must be bound. */
  start (): void {
    this.#tick()
    const timer = setInterval(() => {
      this.#tick()
      this.#gossip(GOSSIP_FANOUT, this.#host.loadReports())
    }, GOSSIP_INTERVAL_MS)
    this.own(toDisposable(() => clearInterval(timer)))
  }

  /** Gossips a change at once, without loads, to more peers than the interval does. */
  gossipChange (): void {
    this.#gossip(CHANGE_FANOUT, [])
  }

  /** Reports a list that was just read: a reader sends to its data centre and to the other readers, any other instance to a few peers. */
  broadcastListRead (): void {
    if (this.#peers.isReader(LIST_TOPIC)) this.#broadcast(true)
    else this.#gossip(GOSSIP_FANOUT, [])
  }

  /** Reports a read of the configuration that found nothing newer to the data centre, above all to the readers, whose own reads depend on it. */
  broadcastConfigRead (): void {
    const local = this.#peers.usable(this.#peers.self.dataCentre)
    const readers = readersOf(CONFIG_TOPIC, local, READER_RANKS)
    const others = local.items.filter(id => !readers.includes(id))
    this.#send([...readers, ...sample(others, MAX_BROADCAST_PEERS, this.#random)].filter(id => id !== this.#peers.self.id), [])
  }

  /** Sends the ages alone to this data centre and, for a read of this instance's own (`toReaders`), to the readers of the other data centres. */
  #broadcast (toReaders: boolean): void {
    const now = this.#clock.nowMs()
    if (now < this.#nextBroadcastAt) return
    this.#nextBroadcastAt = now + MIN_BROADCAST_INTERVAL_MS
    const local = this.#peers.usable(this.#peers.self.dataCentre).items.filter(id => id !== this.#peers.self.id)
    this.#send([...sample(local, MAX_BROADCAST_PEERS, this.#random), ...toReaders ? this.#remoteReaders() : []], [])
  }

  /** Readers of the list in the other data centres. */
  #remoteReaders (): readonly string[] {
    const remote = [...this.#peers.dataCentres].filter(dc => dc !== this.#peers.self.dataCentre)
    return remote.map(dc => readerOf(LIST_TOPIC, this.#peers.usable(dc))).filter(id => id !== undefined)
  }

  #createMessage (loads: GossipDatagram['loads']): GossipDatagram {
    const { configRevision, configAgeMs, listVersion, listDigest, listAgeMs } = this.#host.viewVersion()
    const ages = { configAgeMs: clampAge(configAgeMs), listAgeMs: clampAge(listAgeMs) }
    const report = this.#host.evacuationReport()
    const evacuations = report === undefined ? {} : { evacuations: report }
    return { kind: 'news', id: this.#peers.self.id, configRevision, listVersion, listDigest, ...ages, loads, limits: this.#host.limitReports(), ...evacuations }
  }

  #tick (): void {
    const pausedMs = this.#inputDelay.tick(this.#clock.nowMs())
    if (pausedMs > 0) this.#log.info({ step: 'peers', pausedMs: Math.round(pausedMs) }, 'process was paused, what peers sent meanwhile counts as that old')
  }

  /** A message with the ages that its content may have by now. */
  #aged (message: GossipDatagram): GossipDatagram {
    const delayMs = this.#inputDelay.delayMs(this.#clock.nowMs())
    return delayMs === 0 ? message : { ...message, configAgeMs: message.configAgeMs + delayMs, listAgeMs: message.listAgeMs + delayMs }
  }

  /** Sends to some peers, including those that are leaving, as they continue to serve for a while. */
  #gossip (fanout: number, loads: GossipDatagram['loads']): void {
    this.#send(sample(this.#peers.contactable(), fanout, this.#random), loads)
  }

  #send (ids: readonly string[], loads: GossipDatagram['loads']): void {
    const peers = ids.map(id => this.#peers.address(id)).filter(peer => peer !== undefined)
    if (peers.length > 0) this.#peers.sendAll(peers, this.#createMessage(loads))
  }

  #receive (received: GossipDatagram): void {
    const message = this.#aged(received)
    this.#host.mergeLoadReports(message.id, message.loads)
    this.#host.mergeLimitReports(message.limits)
    const hasEvacuations = this.#host.mergeEvacuations(message.id, message.evacuations)
    const own = this.#host.viewVersion()
    const peer = this.#peers.address(message.id)
    const config = compareConfig(own, message)
    if (config === 'confirm' && hasEvacuations) this.#host.confirmConfig(message.configAgeMs)
    else if (config === 'fetch' && peer !== undefined) this.#host.fetch('config', peer, hasEvacuations ? message.configAgeMs : Infinity)
    const list = compareList(own, message)
    if (list === 'confirm') this.#confirmList(message, own)
    else if (list === 'fetch' && peer !== undefined) this.#host.fetch('endpoints', peer, message.listAgeMs)
    if (config === 'fetch' || list === 'fetch') this.#log.debug({ step: 'peers', peer: message.id, config, list }, 'peer has a newer revision')
  }

  /** Confirms the list; a reader forwards a read made in another data centre to its own data centre. */
  #confirmList (message: GossipDatagram, own: ViewVersion): void {
    this.#host.confirmList(message.listVersion, message.listAgeMs)
    const remote = this.#peers.address(message.id)?.dataCentre !== this.#peers.self.dataCentre
    if (remote && own.listAgeMs - message.listAgeMs > MIN_AGE_GAIN_MS && this.#peers.isReader(LIST_TOPIC)) this.#broadcast(false)
  }
}

function clampAge (ageMs: number): number {
  return Math.round(Math.min(MAX_SENT_AGE_MS, Math.max(0, ageMs)))
}
