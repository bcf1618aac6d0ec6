/**
 * Idempotency keys that this instance owns: the lease under which it may execute keyed calls of its data centre, the
 * tickets that it issued, and the table of executed calls.
 */
import { CLOCK_SKEW_MS, KEY_RETENTION_MS, LEASE_MS, LEASE_PING_INTERVAL_MS } from '../../common/Constants.js'
import { Disposable, toDisposable } from '../../common/Disposable.js'
import type { OwnershipDatagram } from '../../common/generated/PeerDatagram.js'
import { digestOfSet } from '../../common/Hash.js'
import { decideKey, type KeyAction, type KeyTimes } from '../../common/idempotency/KeyDecision.js'
import { initialLease, keyOwnership, withConsent, withList, type KeyLease, type KeyOwnership, type LeaseTimes } from '../../common/idempotency/KeyLease.js'
import { KeyTable } from '../../common/idempotency/KeyTable.js'
import { formatTicket, mintTimeOf, parseTicket, scopedKey, type Ticket } from '../../common/idempotency/KeyFormat.js'
import { ownerOf } from '../../common/Rendezvous.js'
import type { IClock } from '../../common/Services.js'
import { randomId } from '../fleet/Crypto.js'
import type { Fleet } from '../fleet/Fleet.js'
import type { PeerSocket } from '../fleet/PeerSocket.js'

const LEASE_TIMES: LeaseTimes = { leaseMs: LEASE_MS }
const KEY_TIMES: KeyTimes = { skewMs: CLOCK_SKEW_MS, retentionMs: KEY_RETENTION_MS }
const PRUNE_INTERVAL_MS = 10_000
const TICKET_OWNED: KeyOwnership = { isOwner: true, exclusiveSince: -Infinity }
const NOT_OWNED: KeyOwnership = { isOwner: false, exclusiveSince: Infinity }

/** Renews the key lease, issues tickets and decides what to do with a keyed call. */
export class KeyOwner extends Disposable {
  readonly table = new KeyTable()
  readonly #fleet: Fleet
  readonly #clock: IClock
  readonly #socket: PeerSocket
  readonly #incarnation: number
  readonly #pingSentAt = new Map<number, number>()
  #lease: KeyLease
  #seq = 0

  constructor (fleet: Fleet, clock: IClock, socket: PeerSocket) {
    super()
    this.#fleet = fleet
    this.#clock = clock
    this.#socket = socket
    this.#incarnation = Math.floor(clock.wallMs())
    this.#lease = initialLease(fleet.self.id)
    this.own(fleet.onChange(() => this.#refresh()))
    this.own(socket.onDatagram(d => { if (d.kind === 'ownPing' || d.kind === 'ownAck') this.#onDatagram(d) }))
    const ping = setInterval(() => this.#ping(), LEASE_PING_INTERVAL_MS)
    const prune = setInterval(() => this.table.prune(clock.nowMs()), PRUNE_INTERVAL_MS)
    this.own(toDisposable(() => clearInterval(ping)))
    this.own(toDisposable(() => clearInterval(prune)))
  }

  /** Issues a single-use ticket that is valid in this process only. */
  issueTicket (account: string): string {
    const ticket = formatTicket({ instance: this.#fleet.self.id, incarnation: this.#incarnation }, randomId())
    this.table.recordTicket(scopedKey(account, ticket), this.#clock.nowMs())
    return ticket
  }

  /** This instance's ownership of the key at this moment; checked again immediately before the first byte of a request is written. */
  ownership (account: string, key: string): KeyOwnership {
    const ticket = parseTicket(key)
    if (ticket !== undefined) return this.#issuedHere(account, key, ticket) ? TICKET_OWNED : NOT_OWNED
    return keyOwnership(this.#lease, key, this.#clock.nowMs(), keyOwnerOf, LEASE_TIMES)
  }

  /** Action for a request that carries the key. */
  decide (account: string, key: string): KeyAction {
    const now = this.#clock.nowMs()
    const ownership = this.ownership(account, key)
    const state = this.table.state(scopedKey(account, key))
    if (parseTicket(key) !== undefined && state === 'unseen') return ownership.isOwner ? 'run' : 'unknown'
    const mintedWall = mintTimeOf(key)
    const mintedAt = mintedWall === undefined ? undefined : mintedWall - this.#clock.wallMs() + now
    return decideKey(state, { mintedAt, now }, ownership, KEY_TIMES)
  }

  #issuedHere (account: string, key: string, ticket: Ticket): boolean {
    return ticket.instance === this.#fleet.self.id && ticket.incarnation === this.#incarnation && this.table.wasIssued(scopedKey(account, key))
  }

  #refresh (): void {
    if (this.#fleet.list === undefined) return
    this.#lease = withList(this.#lease, this.#fleet.listedInstances(this.#fleet.self.dataCentre), this.#clock.nowMs(), LEASE_TIMES)
  }

  #listDigest (): number {
    return digestOfSet(this.#lease.list)
  }

  #ping (): void {
    const now = this.#clock.nowMs()
    const seq = ++this.#seq
    this.#pingSentAt.set(seq, now)
    for (const oldSeq of this.#pingSentAt.keys()) {
      if (oldSeq < seq - 8) this.#pingSentAt.delete(oldSeq)
    }
    for (const id of this.#lease.list) this.#send(id, { kind: 'ownPing', seq, id: this.#fleet.self.id, listDigest: this.#listDigest() })
  }

  #onDatagram (datagram: OwnershipDatagram): void {
    if (datagram.listDigest !== this.#listDigest() || !this.#lease.list.includes(datagram.id)) return
    if (datagram.kind === 'ownPing') {
      this.#send(datagram.id, { kind: 'ownAck', seq: datagram.seq, id: this.#fleet.self.id, listDigest: datagram.listDigest })
      return
    }
    const sentAt = this.#pingSentAt.get(datagram.seq)
    if (sentAt !== undefined) this.#lease = withConsent(this.#lease, datagram.id, sentAt, LEASE_TIMES)
  }

  #send (id: string, datagram: OwnershipDatagram): void {
    const to = this.#fleet.address(id)
    if (to !== undefined && id !== this.#fleet.self.id) this.#socket.send(to, datagram)
  }
}

/** Owner of a key by rendezvous hashing over a data centre's listed instances. */
export function keyOwnerOf (key: string, list: readonly string[]): string | undefined {
  return ownerOf(key, list)
}
