/** This instance's view of the fleet: membership, the platform's list, home nodes of endpoints and gossiped load samples. */
import { Disposable, toDisposable } from '../../common/Disposable.js'
import { Emitter } from '../../common/Emitter.js'
import type { VotedConfig } from '../../common/config/VotedConfig.js'
import type { InstanceDigest, PeerDatagram } from '../../common/generated/PeerDatagram.js'
import { hashString } from '../../common/Hash.js'
import { Membership, type Outgoing } from '../../common/membership/Membership.js'
import type { Member } from '../../common/membership/MemberTable.js'
import { LoadView } from '../../common/placement/LoadView.js'
import { rankTop, type RendezvousCandidate } from '../../common/Rendezvous.js'
import type { IClock, IRandom } from '../../common/Services.js'
import type { InstanceAddress, PlatformList } from '../../common/Types.js'
import type { PeerSocket } from './PeerSocket.js'

const TICK_MS = 100
const UNREACHABLE_TTL_MS = 2_500 // failure detection has declared a dead instance by then
const HOME_CANDIDATES = 3 // the home node and its successors

/** Sources of the contents of this instance's gossip digest. */
export interface DigestSources {
  readonly config: () => VotedConfig | undefined
  readonly loads: () => InstanceDigest['loads']
}

interface InstanceCandidate extends RendezvousCandidate {
  readonly id: string
}

/** Runs the membership protocol and assigns endpoints to home nodes. */
export class Fleet extends Disposable {
  readonly self: InstanceAddress
  readonly loads = new LoadView()
  readonly #clock: IClock
  readonly #socket: PeerSocket
  readonly #membership: Membership
  readonly #digestSources: DigestSources
  readonly #changed = this.own(new Emitter<void>())
  readonly #digestReceived = this.own(new Emitter<InstanceDigest>())
  readonly #instanceDead = this.own(new Emitter<string>())
  #list: PlatformList | undefined
  #homes = new Map<string, readonly string[]>()
  #homesStale = true
  readonly #unreachable = new Map<string, number>()

  /** Fires when the membership, the platform's list or the configuration changed. */
  readonly onChange = this.#changed.event
  /** Fires for each digest received from a peer. */
  readonly onDigest = this.#digestReceived.event
  /** Fires with the id of an instance that was declared dead. */
  readonly onInstanceDead = this.#instanceDead.event

  constructor (self: InstanceAddress, clock: IClock, random: IRandom, socket: PeerSocket, digestSources: DigestSources) {
    super()
    this.self = self
    this.#clock = clock
    this.#socket = socket
    this.#digestSources = digestSources
    this.#membership = new Membership(self, Math.floor(clock.wallMs()), random, () => this.#digest())
    this.own(this.#membership.onChange(m => this.#onMember(m)))
    this.own(socket.onDatagram(d => this.#onDatagram(d)))
    const timer = setInterval(() => this.#tick(), TICK_MS)
    this.own(toDisposable(() => clearInterval(timer)))
  }

  /** Incarnation number of this instance in the membership protocol. */
  get incarnation (): number {
    return this.#membership.incarnation
  }

  /** Known members other than this instance. */
  get members (): readonly Member[] {
    return this.#membership.members
  }

  /** The newest platform list. */
  get list (): PlatformList | undefined {
    return this.#list
  }

  /** Ids of the instances that may be given work, of one data centre or of the fleet. */
  usableInstances (dataCentre?: string): readonly string[] {
    return this.#membership.usable(dataCentre)
  }

  /** Address of an instance; undefined when the instance is unknown. */
  address (id: string): InstanceAddress | undefined {
    return id === this.self.id ? this.self : this.#membership.member(id)
  }

  /** Ids of a data centre's instances on the platform's list, including leaving ones. */
  listedInstances (dataCentre: string): string[] {
    return (this.#list?.instances ?? []).filter(i => i.dataCentre === dataCentre).map(i => i.id)
  }

  /** Adds peers that the platform's list or a seed has named. */
  addPeers (peers: readonly InstanceAddress[]): void {
    this.#membership.addInstances(peers, this.#clock.nowMs())
    this.#homesStale = true
  }

  /** Applies a platform list, unless one of the same or a newer revision has been applied. */
  applyList (list: PlatformList): void {
    if (this.#list !== undefined && list.revision <= this.#list.revision) return
    this.#list = list
    this.addPeers(list.instances)
    for (const instance of list.instances) {
      if (instance.state === 'leaving') this.#membership.markLeaving(instance.id, this.#clock.nowMs())
    }
    this.#invalidate()
  }

  /** Id of an endpoint's home node, the instance that dispatches to it; undefined when none in its data centre is reachable. */
  homeOf (endpointId: string): string | undefined {
    if (this.#homesStale) this.#rebuildHomes()
    const homes = this.#homes.get(endpointId)
    if (this.#unreachable.size === 0) return homes?.[0]
    const now = this.#clock.nowMs()
    return homes?.find(id => now >= (this.#unreachable.get(id) ?? 0))
  }

  /** Records a failed connection: the successors replace the instance as home node until a digest from it arrives, or for UNREACHABLE_TTL_MS. */
  markUnreachable (id: string): void {
    if (id !== this.self.id) this.#unreachable.set(id, this.#clock.nowMs() + UNREACHABLE_TTL_MS)
  }

  /** Recomputes everything that depends on the active configuration, and announces its revision. */
  configChanged (): void {
    this.#invalidate()
    this.announce()
  }

  /** Sends this instance's digest to a few peers immediately. */
  announce (): void {
    this.#send(this.#membership.announce(this.#clock.nowMs()))
  }

  /** Announces to peers that this instance is leaving. */
  leave (): void {
    this.#send(this.#membership.leave())
    this.#invalidate()
  }

  #digest (): Pick<InstanceDigest, 'configRevision' | 'configDigest' | 'loads'> {
    const version = this.#digestSources.config()?.version
    return { configRevision: version?.revision ?? 0, configDigest: version?.digest.slice(0, 16) ?? '', loads: this.#digestSources.loads() }
  }

  #onDatagram (datagram: PeerDatagram): void {
    if (!('from' in datagram)) return
    const now = this.#clock.nowMs()
    this.#send(this.#membership.receive(datagram, now))
    for (const load of datagram.from.loads) this.loads.record(load.endpoint, load.work, now)
    this.#unreachable.delete(datagram.from.id)
    this.#digestReceived.fire(datagram.from)
  }

  #tick (): void {
    const now = this.#clock.nowMs()
    this.#send(this.#membership.tick(now))
    this.loads.prune(now)
  }

  #send (out: readonly Outgoing[]): void {
    for (const o of out) this.#socket.send(o.to, o.datagram)
  }

  #onMember (m: Member): void {
    this.#invalidate()
    if (m.state === 'dead') this.#instanceDead.fire(m.id)
  }

  #invalidate (): void {
    this.#homesStale = true
    this.#changed.fire()
  }

  #rebuildHomes (): void {
    this.#homesStale = false
    const homes = new Map<string, readonly string[]>()
    const byDataCentre = new Map<string, InstanceCandidate[]>()
    for (const endpoint of this.#digestSources.config()?.endpoints ?? []) {
      let instances = byDataCentre.get(endpoint.dataCentre)
      if (instances === undefined) {
        instances = this.usableInstances(endpoint.dataCentre).map(id => ({ id, hash: hashString(id), weight: 1 }))
        byDataCentre.set(endpoint.dataCentre, instances)
      }
      homes.set(endpoint.id, rankTop(endpoint.hash, instances, HOME_CANDIDATES).map(i => i.id))
    }
    this.#homes = homes
  }
}
