/**
 * Failure detection and membership by gossip, after SWIM. In each interval one member is probed, alternately the next one
 * on the hash ring and a random one. A probe without an answer is repeated indirectly through other members, and a member
 * is suspected before it is declared dead; it refutes a suspicion by a higher incarnation number. The cost for an
 * instance does not grow with the fleet. No I/O: datagrams and the time are passed in, datagrams to send are returned.
 */
import { DEAD_PROBE_INTERVAL_MS, DEAD_RETENTION_MS, PROBE_INTERVAL_MS, PROBE_TIMEOUT_MS, SUSPEND_DETECT_MS, SUSPECT_TIMEOUT_MS } from '../Constants.js'
import { Emitter } from '../Emitter.js'
import type { InstanceDigest, MemberRumour, ProbeDatagram } from '../generated/PeerDatagram.js'
import type { RendezvousList } from '../RendezvousList.js'
import type { IRandom } from '../Services.js'
import type { InstanceAddress, MemberState } from '../Types.js'
import { MemberTable, type Member } from './MemberTable.js'
import { MAX_RUMOURS, overrides, RumourQueue } from './RumourQueue.js'

const INDIRECT_PROBES = 2
const URGENT_FANOUT = 3 // a failure is gossiped at once, so that it spreads within few intervals

/** A datagram to send. */
export interface Outgoing {
  readonly to: InstanceAddress
  readonly datagram: ProbeDatagram
}

/** Digest of this instance for the next datagram; `id`, `members` and `incarnation` are added here. */
export type DigestSource = () => Pick<InstanceDigest, 'configRevision' | 'configDigest' | 'loads'>

interface Pending {
  readonly target: string
  readonly sentAt: number
  indirect: boolean
}

/** View of the fleet's members, held by one instance. */
export class Membership {
  readonly #self: InstanceAddress
  readonly #random: IRandom
  readonly #digest: DigestSource
  readonly #members: MemberTable
  readonly #rumours = new RumourQueue()
  readonly #pending = new Map<number, Pending>()
  readonly #relayedProbes = new Map<number, { readonly to: InstanceAddress, readonly seq: number, readonly at: number }>()
  readonly #outbox: Outgoing[] = []
  readonly #changed = new Emitter<Member>()
  #incarnation: number
  #leaving = false
  #seq = 0
  #probeOrder: string[] = []
  #nextProbeAt = 0
  #nextDeadProbeAt = 0
  #lastTickAt = -Infinity
  #probeRing = false

  /** Fires when a member's state changes. */
  readonly onChange = this.#changed.event

  constructor (self: InstanceAddress, incarnation: number, random: IRandom, digest: DigestSource) {
    this.#self = self
    this.#incarnation = incarnation
    this.#members = new MemberTable(self)
    this.#random = random
    this.#digest = digest
    this.#rumours.add(this.#selfRumour('alive'))
  }

  get incarnation (): number {
    return this.#incarnation
  }

  /** All known members except this instance. */
  get members (): readonly Member[] {
    return this.#members.all()
  }

  member (id: string): Member | undefined {
    return this.#members.get(id)
  }

  /** True when a message of this member has arrived here, or at a peer that told of it, and it isn't dead. */
  hasHeardOf (id: string): boolean {
    const m = this.#members.get(id)
    return m !== undefined && m.incarnation > 0 && m.state !== 'dead'
  }

  /** Ids that may be given work, including this instance unless it is leaving. Suspects count until declared dead. */
  usable (dataCentre?: string): readonly string[] {
    return this.rankable(dataCentre).items
  }

  /** The ids of `usable`, for choices among them by rendezvous hashing. */
  rankable (dataCentre?: string): RendezvousList<string> {
    return this.#members.usable(dataCentre)
  }

  /** Names of the members' data centres. */
  dataCentres (): ReadonlySet<string> {
    return this.#members.dataCentres()
  }

  /** Ids of all members that aren't dead. */
  contactable (): readonly string[] {
    return this.#members.contactable()
  }

  /** Adds instances from the platform's list or the settings; they count as alive until probes of them fail. */
  addInstances (rows: readonly InstanceAddress[], now: number): void {
    for (const row of rows) {
      if (row.id === this.#self.id || this.#members.get(row.id) !== undefined) continue
      this.#apply({ id: row.id, dataCentre: row.dataCentre, address: row.address, peerPort: row.peerPort, incarnation: 0, state: 'alive' }, now)
    }
  }

  /** Marks a member as leaving, according to the platform. */
  markLeaving (id: string, now: number): void {
    const m = this.#members.get(id)
    if (m !== undefined && (m.state === 'alive' || m.state === 'suspect')) this.#apply(rumourOf(m, 'leaving'), now)
  }

  /** Sends this instance's digest to a few members at once, for changes that should spread fast. */
  announce (now: number): Outgoing[] {
    this.#nextProbeAt = Math.min(this.#nextProbeAt, now)
    this.#gossipNow()
    return this.#drainOutbox()
  }

  /** Announces that this instance is leaving. */
  leave (): Outgoing[] {
    this.#leaving = true
    this.#members.excludeSelf()
    this.#rumours.add(this.#selfRumour('leaving'))
    this.#gossipNow()
    return this.#drainOutbox()
  }

  /** Time from which `tick` has something to do: the next probe, or the timeout of a probe or a suspicion. */
  get nextTickAt (): number {
    let at = Math.min(this.#nextProbeAt, this.#nextDeadProbeAt)
    for (const probe of this.#pending.values()) at = Math.min(at, probe.sentAt + (probe.indirect ? PROBE_TIMEOUT_MS : PROBE_TIMEOUT_MS / 2))
    for (const m of this.#members.notAlive()) {
      if (m.state === 'suspect') at = Math.min(at, m.since + SUSPECT_TIMEOUT_MS)
    }
    return at
  }

  /** Advances the time to `now`: times out probes and suspicions, sends the next probes. */
  tick (now: number): Outgoing[] {
    if (now - this.#lastTickAt > SUSPEND_DETECT_MS && this.#lastTickAt > 0) this.#handleResume(now)
    this.#lastTickAt = now
    this.#expire(now)
    if (now >= this.#nextProbeAt) {
      this.#nextProbeAt = now + PROBE_INTERVAL_MS
      this.#probeNext(now)
    }
    if (now >= this.#nextDeadProbeAt) {
      this.#nextDeadProbeAt = now + DEAD_PROBE_INTERVAL_MS
      this.#probeDead(now)
    }
    return this.#drainOutbox()
  }

  /** Handles a received datagram; returns the datagrams to send. */
  receive (datagram: ProbeDatagram, now: number): Outgoing[] {
    const before = this.#members.get(datagram.from.id)
    for (const row of datagram.rumours) this.#apply(row, now)
    this.#recordContact(datagram.from, now)
    const sender = this.#members.get(datagram.from.id)
    if (sender !== undefined) {
      if (datagram.kind === 'ping') this.#send(sender, 'ack', datagram.seq, before === undefined || datagram.from.members !== this.#members.hash())
      if (datagram.kind === 'pingReq') this.#relayProbe(datagram, sender, now)
      if (datagram.kind === 'ack') this.#handleAck(datagram.seq)
    }
    return this.#drainOutbox()
  }

  /** After a suspension of this process, drops probes in flight, as their timeouts prove nothing, and restarts the suspicion timeouts. */
  #handleResume (now: number): void {
    this.#pending.clear()
    for (const m of this.#members.notAlive()) {
      if (m.state === 'suspect') this.#members.set({ ...m, since: now })
    }
  }

  #recordContact (digest: InstanceDigest, now: number): void {
    const m = this.#members.get(digest.id)
    if (m === undefined) return
    const newer = digest.incarnation > m.incarnation
    if (newer || (digest.incarnation === m.incarnation && m.state === 'suspect')) {
      // a datagram from the member itself proves that it is alive and refutes older rumours
      if (m.state !== 'leaving' || newer) this.#set({ ...m, incarnation: digest.incarnation, state: 'alive', since: now, digest, lastContactAt: now })
      return
    }
    this.#members.set({ ...m, digest, lastContactAt: now })
  }

  #apply (row: MemberRumour, now: number): void {
    if (row.id === this.#self.id) {
      this.#refute(row)
      return
    }
    const known = this.#members.get(row.id)
    if (known !== undefined && !overrides(row, known)) return
    if (known === undefined && row.state === 'dead') return
    const m: Member = {
      id: row.id,
      dataCentre: row.dataCentre,
      address: row.address,
      peerPort: row.peerPort,
      incarnation: row.incarnation,
      state: row.state,
      since: now,
      digest: known?.digest,
      lastContactAt: known?.lastContactAt ?? now
    }
    this.#set(m)
    if (row.state !== 'alive') this.#gossipNow()
  }

  #refute (row: MemberRumour): void {
    if (row.incarnation < this.#incarnation || row.state === 'alive') return
    if (row.state === 'leaving' && this.#leaving) return
    this.#incarnation = row.incarnation + 1
    this.#rumours.add(this.#selfRumour(this.#leaving ? 'leaving' : 'alive'))
    this.#gossipNow()
  }

  #set (m: Member): void {
    const old = this.#members.get(m.id)
    this.#members.set(m)
    if (old?.state === m.state && old.incarnation === m.incarnation) return
    this.#rumours.add(rumourOf(m, m.state))
    if (old?.state !== m.state) this.#changed.fire(m)
  }

  #expire (now: number): void {
    for (const [seq, probe] of this.#pending) {
      const age = now - probe.sentAt
      if (!probe.indirect && age >= PROBE_TIMEOUT_MS / 2) this.#probeIndirectly(seq, probe)
      if (age < PROBE_TIMEOUT_MS) continue
      this.#pending.delete(seq)
      const m = this.#members.get(probe.target)
      if (m?.state === 'alive') this.#apply(rumourOf(m, 'suspect'), now)
    }
    for (const m of this.#members.notAlive()) {
      if (m.state === 'suspect' && now - m.since >= SUSPECT_TIMEOUT_MS) this.#apply(rumourOf(m, 'dead'), now)
      if ((m.state === 'dead' || m.state === 'leaving') && now - m.since > DEAD_RETENTION_MS) {
        this.#members.delete(m.id)
        this.#rumours.delete(m.id)
      }
    }
    for (const [seq, relay] of this.#relayedProbes) {
      if (now - relay.at > PROBE_TIMEOUT_MS * 2) this.#relayedProbes.delete(seq)
    }
  }

  /** Every second probe goes to the next member on the ring, so that none goes unprobed for long; the others go to random members. */
  #probeNext (now: number): void {
    this.#probeRing = !this.#probeRing
    const next = this.#probeRing ? this.#members.ringSuccessor() : undefined
    if (next !== undefined) {
      this.#probe(next, now)
      return
    }
    while (this.#probeOrder.length > 0) {
      const m = this.#members.get(this.#probeOrder.pop()!)
      if (m === undefined || m.state === 'dead') continue
      this.#probe(m, now)
      return
    }
    this.#probeOrder = this.#shuffled([...this.contactable()])
    const first = this.#members.get(this.#probeOrder.pop() ?? '')
    if (first !== undefined) this.#probe(first, now)
  }

  /** Probes a random dead member, to find the other side again after a partition. */
  #probeDead (now: number): void {
    const dead = this.#members.notAlive().filter(m => m.state === 'dead')
    const m = dead[Math.floor(this.#random.next() * dead.length)]
    if (m !== undefined) this.#probe(m, now)
  }

  #probe (m: Member, now: number): void {
    const seq = ++this.#seq
    this.#pending.set(seq, { target: m.id, sentAt: now, indirect: false })
    this.#send(m, 'ping', seq, m.state === 'dead')
  }

  #probeIndirectly (seq: number, probe: Pending): void {
    probe.indirect = true
    const helpers = this.#shuffled(this.usable().filter(id => id !== this.#self.id && id !== probe.target)).slice(0, INDIRECT_PROBES)
    for (const id of helpers) {
      const helper = this.#members.get(id)
      if (helper !== undefined) this.#send(helper, 'pingReq', seq, false, probe.target)
    }
  }

  #relayProbe (datagram: ProbeDatagram, requester: Member, now: number): void {
    const target = this.#members.get(datagram.target ?? '')
    if (target === undefined) return
    const seq = ++this.#seq
    this.#relayedProbes.set(seq, { to: requester, seq: datagram.seq, at: now })
    this.#send(target, 'ping', seq, false)
  }

  #handleAck (seq: number): void {
    this.#pending.delete(seq)
    const relay = this.#relayedProbes.get(seq)
    if (relay === undefined) return
    this.#relayedProbes.delete(seq)
    this.#send(relay.to, 'ack', relay.seq, false)
  }

  #send (to: InstanceAddress, kind: ProbeDatagram['kind'], seq: number, full: boolean, target = ''): void {
    const rumours = full ? this.#sampleView() : this.#rumours.nextBatch(this.#members.size + 1)
    const known = this.#members.get(to.id)
    if (known !== undefined && known.state !== 'alive') rumours.push(rumourOf(known, known.state)) // allows it to refute
    const from = { id: this.#self.id, incarnation: this.#incarnation, members: this.#members.hash(), ...this.#digest() }
    this.#outbox.push({ to, datagram: { kind, seq, target, from, rumours } })
  }

  /** Rumours for a peer with a different view: this instance, then random members. */
  #sampleView (): MemberRumour[] {
    const rows = this.#shuffled(this.#members.all()).slice(0, MAX_RUMOURS - 1).map(m => rumourOf(m, m.state))
    return [this.#selfRumour(this.#leaving ? 'leaving' : 'alive'), ...rows]
  }

  #gossipNow (): void {
    const targets = this.#shuffled(this.usable().filter(id => id !== this.#self.id)).slice(0, URGENT_FANOUT)
    for (const id of targets) {
      const m = this.#members.get(id)
      if (m !== undefined) this.#send(m, 'ping', ++this.#seq, false)
    }
  }

  #selfRumour (state: MemberState): MemberRumour {
    return { ...rumourOf({ ...this.#self, incarnation: this.#incarnation }, state) }
  }

  #shuffled<T> (items: T[]): T[] {
    for (let i = items.length - 1; i > 0; i--) {
      const j = Math.floor(this.#random.next() * (i + 1))
      const item = items[i]!
      items[i] = items[j]!
      items[j] = item
    }
    return items
  }

  #drainOutbox (): Outgoing[] {
    return this.#outbox.splice(0)
  }
}

function rumourOf (m: InstanceAddress & { readonly incarnation: number }, state: MemberState): MemberRumour {
  return { id: m.id, dataCentre: m.dataCentre, address: m.address, peerPort: m.peerPort, incarnation: m.incarnation, state }
}
