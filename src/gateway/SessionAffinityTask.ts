/**
 * Session affinity: maps each session to the engine that has its prompt cached. The sessions of a template have one owner
 * among the live gateways, or a few in a large fleet, which chooses and remembers their engines. The other gateways query
 * the owner before they place a request. The next gateway in line keeps a copy of the owner's records, and is asked when
 * the owner doesn't answer or has just taken over. Without an answer a gateway chooses by itself: no request depends on an owner.
 */
import { Disposable } from '../common/Disposable.js'
import type { HolderDatagram, PeerDatagram } from '../common/generated/PeerDatagram.js'
import type { Candidates } from '../common/routing/Candidates.js'
import { HolderDirectory } from '../common/routing/HolderDirectory.js'
import type { AllowedRegions } from '../common/routing/RegionFilter.js'
import type { PromptKey } from '../common/routing/PromptPlacement.js'
import type { IClock } from '../common/Services.js'
import type { InstanceAddress } from '../common/Types.js'
import { OwnerQueries, type SessionAffinity, type SessionQuery } from './OwnerQueries.js'
import type { IPeerTransport } from './Peers.js'

const OWNER_TIMEOUT_MS = 20 // several round trips between data centres; less than an engine takes to read a prompt of a thousand tokens again
const REPLICA_TIMEOUT_MS = 8 // within the time that an owner's answer may take
const MAX_OWNERS_ASKED = 2 // the owner and the next in line
const GATEWAYS_PER_OWNER = 16 // a template has one owner for each this many gateways, which share its sessions
const MAX_REPLICATED = 16_384 // sessions of which the copy's state is remembered

/** The gateway's endpoints, as far as the task uses them. */
export interface IAffinityEndpoints {
  /** True when the endpoint with this hash may go on to serve a session that it holds: listed, not leaving, and not left by the session. */
  isUsable (endpoint: number, session: number): boolean
  /** True when the endpoint with this hash is listed, leaving or not. */
  isListed (endpoint: number): boolean
  /** True when prompts may be copied from the endpoint with this hash. */
  isCopySource (endpoint: number): boolean
  /** True when the endpoint with this hash is listed and in these regions. */
  isWithin (endpoint: number, regions: AllowedRegions): boolean
  /** Endpoints of a service that accept new requests, in these regions. */
  candidates (service: string, scope: { readonly regions: AllowedRegions }): Candidates
}

export class SessionAffinityTask extends Disposable {
  readonly #peers: IPeerTransport
  readonly #clock: IClock
  readonly #endpoints: IAffinityEndpoints
  readonly #directory = new HolderDirectory()
  readonly #queries: OwnerQueries
  /** What the next gateway in line was last told of a session: its id and the engine. */
  readonly #replicated = new Map<number, string>()

  constructor (peers: IPeerTransport, clock: IClock, endpoints: IAffinityEndpoints) {
    super()
    this.#peers = peers
    this.#clock = clock
    this.#endpoints = endpoints
    this.#queries = this.own(new OwnerQueries(peers, clock))
    this.own(peers.onDatagram(d => this.#receive(d)))
  }

  /** Returns the engine to use for a session of `service`; undefined when there is none. @param regions regions of the engines that may be used. */
  async resolve (service: string, key: PromptKey, regions?: AllowedRegions): Promise<SessionAffinity | undefined> {
    const restriction = regions === undefined ? {} : { regions: [...regions] }
    const query = { service, ...key, endpoint: this.#lookup(key.session, regions) ?? 0, ...restriction }
    const answer = await this.#askOwners(query)
    const isUsable = answer !== undefined && (answer.endpoint === 0 || this.#isAllowed(answer.endpoint, regions))
    const affinity = isUsable ? answer : this.#decide(query)
    if (affinity.endpoint === 0) return undefined
    this.#directory.record(key, affinity.endpoint, this.#clock.nowMs())
    return affinity
  }

  /** Asks the owner, then the next in line; undefined when none of them answers. */
  async #askOwners (query: SessionQuery): Promise<SessionAffinity | undefined> {
    for (let i = 0; i < MAX_OWNERS_ASKED; i++) {
      const owner = this.#ownersOf(query)[0]
      if (owner === this.#peers.self.id) return await this.#resolveAsOwner(query)
      const to = owner === undefined ? undefined : this.#peers.address(owner)
      if (to === undefined) return undefined
      const affinity = await this.#queries.send(to, 'askHolder', query, OWNER_TIMEOUT_MS)
      if (affinity !== undefined) return affinity
    }
    return undefined
  }

  /** The engine that this gateway remembers for a session, if it is still usable. */
  #lookup (session: number, regions: AllowedRegions): number | undefined {
    const endpoint = this.#directory.holderOf(session)
    return endpoint !== undefined && this.#isUsable(endpoint, session, regions) ? endpoint : undefined
  }

  #isUsable (endpoint: number, session: number, regions: AllowedRegions): boolean {
    return this.#endpoints.isUsable(endpoint, session) && this.#isAllowed(endpoint, regions)
  }

  /** An owner that doesn't know of the restriction, as one of an earlier version, may answer with an engine outside of the regions. */
  #isAllowed (endpoint: number, regions: AllowedRegions): boolean {
    return regions === undefined || this.#endpoints.isWithin(endpoint, regions)
  }

  /** Decides as the owner. A session that it doesn't know may be known to the other owner, as after a restart of this gateway. */
  async #resolveAsOwner (query: SessionQuery): Promise<SessionAffinity> {
    const other = this.#otherOwner(query)
    if (other !== undefined && this.#directory.holderOf(query.session) === undefined) {
      const found = await this.#queries.send(other, 'findHolder', query, REPLICA_TIMEOUT_MS)
      const isNews = found !== undefined && this.#directory.holderOf(query.session) === undefined
      if (isNews && this.#endpoints.isListed(found.endpoint)) this.#directory.record(query, found.endpoint, this.#clock.nowMs())
    }
    const affinity = this.#decide(query)
    if (affinity.endpoint !== 0) this.#replicate(query, affinity.endpoint)
    return affinity
  }

  /** The remembered engine of the session, else the one that the querying gateway remembers, else a new choice. */
  #decide (query: SessionQuery): SessionAffinity {
    const now = this.#clock.nowMs()
    const decidedBy = this.#peers.self.id
    const { regions, session } = query
    const suggested = this.#isUsable(query.endpoint, session, regions) ? query.endpoint : undefined
    const choose = (): number | undefined => this.#directory.choose(query, this.#endpoints.candidates(query.service, { regions }), now)?.hash
    const endpoint = this.#lookup(session, regions) ?? suggested ?? choose()
    if (endpoint === undefined) return { endpoint: 0, source: 0, decidedBy }
    const source = this.#directory.copySource(query, endpoint, e => this.#endpoints.isCopySource(e) && this.#isAllowed(e, regions), now) ?? 0
    this.#directory.record(query, endpoint, now)
    return { endpoint, source, decidedBy }
  }

  /** Sends a record to the other owner, unless that has been told the same before. */
  #replicate (query: SessionQuery, endpoint: number): void {
    const other = this.#otherOwner(query)
    if (other === undefined) return
    const record = `${other.id} ${endpoint}`
    if (this.#replicated.get(query.session) === record) return
    this.#replicated.delete(query.session)
    this.#replicated.set(query.session, record) // re-inserted at the end, which keeps the map in order of change
    if (this.#replicated.size > MAX_REPLICATED) this.#replicated.delete(this.#replicated.keys().next().value!)
    this.#peers.send(other, { ...query, kind: 'copyHolder', seq: 0, id: this.#peers.self.id, endpoint, source: 0 })
  }

  #receive (datagram: PeerDatagram): void {
    if (datagram.kind === 'copyHolder') this.#directory.record(datagram, datagram.endpoint, this.#clock.nowMs())
    else if (datagram.kind === 'findHolder') this.#answer(datagram, { endpoint: this.#directory.holderOf(datagram.session) ?? 0, source: 0 })
    else if (datagram.kind === 'askHolder') this.#answerAsOwner(datagram)
  }

  async #answerAsOwner (query: HolderDatagram): Promise<void> {
    this.#answer(query, await this.#resolveAsOwner(query))
  }

  #answer (query: HolderDatagram, { endpoint, source }: Pick<SessionAffinity, 'endpoint' | 'source'>): void {
    const to = this.#peers.address(query.id)
    if (to !== undefined) this.#peers.send(to, { ...query, kind: 'tellHolder', id: this.#peers.self.id, endpoint, source })
  }

  /** Of the session's first two owners the one that isn't this gateway. */
  #otherOwner (query: SessionQuery): InstanceAddress | undefined {
    const other = this.#ownersOf(query).find(id => id !== this.#peers.self.id)
    return other === undefined ? undefined : this.#peers.address(other)
  }

  /** The owner of a session and the next in line, without peers that don't answer. A gateway that joins or leaves moves only the sessions that it owns. */
  #ownersOf (query: SessionQuery): readonly string[] {
    const usable = this.#peers.usable()
    const count = Math.max(MAX_OWNERS_ASKED, Math.ceil(usable.items.length / GATEWAYS_PER_OWNER))
    return usable.subset(query.template, count).rank(query.session, MAX_OWNERS_ASKED, id => this.#queries.isResponsive(id))
  }
}
