/** Owns the socket for datagrams between gateways and tracks which peers are alive and which of them read from the platform. */
import { Disposable, toDisposable } from '../common/Disposable.js'
import { Emitter } from '../common/Emitter.js'
import type { PeerDatagram } from '../common/generated/PeerDatagram.js'
import { FleetCount } from '../common/membership/FleetCount.js'
import { Membership, type Outgoing } from '../common/membership/Membership.js'
import { readerOf } from '../common/peers/ReaderElection.js'
import type { RendezvousList } from '../common/RendezvousList.js'
import type { IClock, IEvent, IRandom } from '../common/Services.js'
import type { InstanceAddress } from '../common/Types.js'
import { DatagramCodec } from '../router/fleet/DatagramCodec.js'
import { PeerSocket, type IControlCounter } from '../router/fleet/PeerSocket.js'
import type { Log } from '../router/telemetry/Log.js'
import { TOPICS, type IGossipPeers } from './Peers.js'

const MIN_TICK_MS = 20 // lets timeouts that are close together share one wake-up
const TIMER_ROUNDING_MS = 1 // timers may fire up to this much early

export class MembershipTask extends Disposable implements IGossipPeers {
  readonly self: InstanceAddress
  readonly #clock: IClock
  readonly #socket: PeerSocket
  readonly #membership: Membership
  readonly #log: Log
  readonly #seeds: readonly string[]
  /** The fleet as this instance counts it. */
  readonly fleet: FleetCount
  readonly #readerChanged = this.own(new Emitter<void>())
  #tickTimer: NodeJS.Timeout | undefined
  #membersChanged = false
  #topicsRead = ''

  /** Fires when this instance becomes or ceases to be the reader of a topic. */
  readonly onReaderChange = this.#readerChanged.event

  /** @param seeds addresses at which instances may listen, perhaps this one's too; the whole fleet has the same ones. */
  constructor (
    self: InstanceAddress, seeds: readonly string[], clock: IClock, random: IRandom, counter: IControlCounter, log: Log, configRevision: () => number
  ) {
    super()
    this.self = self
    this.#clock = clock
    this.#log = log
    this.#seeds = seeds
    this.fleet = new FleetCount(seeds.length)
    this.#socket = this.own(new PeerSocket(new DatagramCodec(''), { passes: () => true }, counter))
    this.#membership = new Membership(self, Math.floor(clock.wallMs()), random, () => ({ configRevision: configRevision(), configDigest: '', loads: [] }))
    this.own(this.#membership.onChange(m => {
      this.#membersChanged = true
      log.info({ step: 'peers', peer: m.id, dataCentre: m.dataCentre, state: m.state, incarnation: m.incarnation }, 'peer')
    }))
    this.own(toDisposable(() => clearTimeout(this.#tickTimer)))
    this.own(this.#socket.onDatagram(d => this.#receive(d)))
  }

  /** Binds the socket and starts the membership protocol. */
  async start (): Promise<void> {
    const { address, peerPort } = this.self
    await this.#socket.bind(address, peerPort)
    this.#membership.addInstances(this.#seeds.map(ip => ({ id: ip, dataCentre: '', address: ip, peerPort })), this.#clock.nowMs())
    this.#tick()
  }

  /** True when this instance reads `topic` from the platform for its data centre. */
  isReader (topic: string): boolean {
    return readerOf(topic, this.usable(this.self.dataCentre)) === this.self.id
  }

  get onDatagram (): IEvent<PeerDatagram> {
    return this.#socket.onDatagram
  }

  get dataCentres (): ReadonlySet<string> {
    return this.#membership.dataCentres()
  }

  contactable (): readonly string[] {
    return this.#membership.contactable()
  }

  usable (dataCentre?: string): RendezvousList<string> {
    return this.#membership.rankable(dataCentre)
  }

  address (id: string): InstanceAddress | undefined {
    return this.#membership.member(id)
  }

  send (to: InstanceAddress, datagram: PeerDatagram): void {
    this.#socket.send(to, datagram)
  }

  sendAll (to: readonly InstanceAddress[], datagram: PeerDatagram): void {
    this.#socket.sendAll(to, datagram)
  }

  /** Announces to the peers that this instance is leaving. */
  leave (): void {
    this.#send(this.#membership.leave())
  }

  #tick (): void {
    const now = this.#clock.nowMs()
    this.#send(this.#membership.tick(now))
    this.#countFleet(now)
    this.#checkTopicsRead()
    this.#tickTimer = setTimeout(() => this.#tick(), Math.max(MIN_TICK_MS, this.#membership.nextTickAt - now + TIMER_ROUNDING_MS))
  }

  #countFleet (now: number): void {
    const live = this.usable().items.length
    const seedsHeard = this.#seeds.filter(id => id === this.self.id || this.#membership.hasHeardOf(id)).length
    if (!this.fleet.record(live, seedsHeard, now)) return
    this.#log.info({ step: 'peers', live, seedsHeard, seeds: this.#seeds.length, knownMs: Math.round(this.fleet.knownMs(now)) }, 'fleet counted')
  }

  #checkTopicsRead (): void {
    if (!this.#membersChanged) return
    this.#membersChanged = false
    const topics = TOPICS.filter(topic => this.isReader(topic)).join()
    if (topics === this.#topicsRead) return
    this.#topicsRead = topics
    this.#readerChanged.fire()
  }

  #receive (datagram: PeerDatagram): void {
    if ('from' in datagram) this.#send(this.#membership.receive(datagram, this.#clock.nowMs()))
  }

  #send (out: readonly Outgoing[]): void {
    for (const o of out) this.#socket.send(o.to, o.datagram)
  }
}
