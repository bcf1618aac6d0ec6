/** The members that one instance knows, and the lists of them that decisions use. A list is kept until a member's state changes. */
import type { InstanceDigest } from '../generated/PeerDatagram.js'
import { digestOfSet, hashString } from '../Hash.js'
import { RendezvousList } from '../RendezvousList.js'
import type { InstanceAddress, MemberState } from '../Types.js'
import { successorOf } from './Ring.js'

/** A member with the last digest that it sent. */
export interface Member extends InstanceAddress {
  readonly incarnation: number
  readonly state: MemberState
  readonly since: number
  readonly digest: InstanceDigest | undefined
  /** When a datagram was last received from the member itself. */
  readonly lastContactAt: number
}

/** Lists derived from the members; undefined until asked for. */
interface Views {
  /** Usable members by data centre, undefined for all. */
  readonly usable: Map<string | undefined, RendezvousList<string>>
  contactable?: readonly string[]
  dataCentres?: ReadonlySet<string>
  hash?: number
  successor?: string
}

export class MemberTable {
  readonly #self: InstanceAddress
  readonly #members = new Map<string, Member>()
  /** Ids of the members that aren't alive. */
  readonly #notAlive = new Set<string>()
  #selfUsable = true
  #views: Views = { usable: new Map() }

  constructor (self: InstanceAddress) {
    this.#self = self
  }

  get size (): number {
    return this.#members.size
  }

  get (id: string): Member | undefined {
    return this.#members.get(id)
  }

  /** All members except this instance. */
  all (): Member[] {
    return [...this.#members.values()]
  }

  /** The members that are suspected, leaving or dead. */
  notAlive (): Member[] {
    return [...this.#notAlive].map(id => this.#members.get(id)!)
  }

  /** Adds or replaces a member. */
  set (m: Member): void {
    const old = this.#members.get(m.id)
    this.#members.set(m.id, m)
    if (m.state === 'alive') this.#notAlive.delete(m.id)
    else this.#notAlive.add(m.id)
    if (old?.state !== m.state || old.incarnation !== m.incarnation || old.dataCentre !== m.dataCentre) this.#forgetViews()
  }

  delete (id: string): void {
    this.#members.delete(id)
    this.#notAlive.delete(id)
    this.#forgetViews()
  }

  /** Leaves this instance out of the usable ones from now on. */
  excludeSelf (): void {
    this.#selfUsable = false
    this.#forgetViews()
  }

  /** Ids that may be given work, including this instance unless it was excluded. Suspects count until declared dead. */
  usable (dataCentre?: string): RendezvousList<string> {
    const known = this.#views.usable.get(dataCentre)
    if (known !== undefined) return known
    const isWanted = (m: InstanceAddress): boolean => dataCentre === undefined || m.dataCentre === dataCentre
    const members = this.all().filter(m => (m.state === 'alive' || m.state === 'suspect') && isWanted(m))
    const ids = [...this.#selfUsable && isWanted(this.#self) ? [this.#self.id] : [], ...members.map(m => m.id)]
    const list = new RendezvousList(ids, hashString)
    this.#views.usable.set(dataCentre, list)
    return list
  }

  /** Names of the members' data centres. */
  dataCentres (): ReadonlySet<string> {
    this.#views.dataCentres ??= new Set(this.all().map(m => m.dataCentre))
    return this.#views.dataCentres
  }

  /** Ids of all members that aren't dead; those that are leaving still serve for a while. */
  contactable (): readonly string[] {
    this.#views.contactable ??= this.all().filter(m => m.state !== 'dead').map(m => m.id)
    return this.#views.contactable
  }

  /** Hash of the members considered alive; equal hashes mean equal views. */
  hash (): number {
    this.#views.hash ??= digestOfSet(this.usable().items)
    return this.#views.hash
  }

  /** The live member that follows this instance on the hash ring. */
  ringSuccessor (): Member | undefined {
    this.#views.successor ??= successorOf(this.#self.id, this.all().filter(m => m.state === 'alive').map(m => m.id))
    return this.#members.get(this.#views.successor)
  }

  #forgetViews (): void {
    this.#views = { usable: new Map() }
  }
}
