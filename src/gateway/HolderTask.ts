/**
 * Task that knows which engine holds a session's prompt. The sessions of a template have one owner among the live
 * gateways, or a few in a large fleet; it chooses their engines and remembers them. The others ask the owner before
 * they place a request. Without an answer in time the asker decides by itself, so that an owner is never needed.
 */
import { Disposable } from '../common/Disposable.js'
import type { HolderDatagram, PeerDatagram } from '../common/generated/PeerDatagram.js'
import { combine, hashString } from '../common/Hash.js'
import { rankTop } from '../common/Rendezvous.js'
import type { EndpointState } from '../common/routing/EndpointState.js'
import { HolderDirectory } from '../common/routing/HolderDirectory.js'
import type { PromptKey } from '../common/routing/PromptPlacement.js'
import type { IClock, IEvent } from '../common/Services.js'
import type { InstanceAddress } from '../common/Types.js'

const ANSWER_TIMEOUT_MS = 12 // some round trips between data centres; less than reading a short prompt again
const GATEWAYS_PER_OWNER = 16 // a template's questions are shared by one owner for each so many gateways
const SILENT_OWNER_MS = 2_000 // an owner that didn't answer isn't asked again for this long

/** What the task uses of the talk between gateways. */
export interface IHolderPeers {
  readonly self: InstanceAddress
  readonly onDatagram: IEvent<PeerDatagram>
  /** Ids of live gateways, this one included unless it is leaving. */
  usable (): readonly string[]
  address (id: string): InstanceAddress | undefined
  send (to: InstanceAddress, datagram: PeerDatagram): void
}

/** What the task asks of the gateway's endpoints. */
export interface IHolderEndpoints {
  /** True when the endpoint of this hash is listed and not leaving. */
  isUsable (endpoint: number): boolean
  /** True when the endpoint of this hash is listed, leaving or not. */
  isListed (endpoint: number): boolean
  /** Endpoints of a service that may take new work. */
  candidates (service: string): readonly EndpointState[]
}

/** A question to an owner, or its answer. */
type Question = Omit<HolderDatagram, 'kind' | 'seq' | 'id' | 'source'>

/** Where a session's requests go. */
export interface Holder {
  /** Hash of the engine to use. */
  readonly endpoint: number
  /** Hash of an engine that holds some of the prompt which that one hasn't read; 0 for none. */
  readonly source: number
}

interface Pending {
  readonly owner: string
  readonly question: Question
  readonly timer: NodeJS.Timeout
  readonly resolve: (holder: Holder) => void
}

export class HolderTask extends Disposable {
  readonly #peers: IHolderPeers
  readonly #clock: IClock
  readonly #endpoints: IHolderEndpoints
  readonly #directory = new HolderDirectory()
  readonly #pending = new Map<number, Pending>()
  readonly #silentUntil = new Map<string, number>()
  #seq = 0

  constructor (peers: IHolderPeers, clock: IClock, endpoints: IHolderEndpoints) {
    super()
    this.#peers = peers
    this.#clock = clock
    this.#endpoints = endpoints
    this.own(peers.onDatagram(d => this.#receive(d)))
  }

  /** The engine to use for a session of `service`; undefined when there is none. */
  async holder (service: string, key: PromptKey): Promise<Holder | undefined> {
    const owner = this.#ownerOf(key)
    const to = owner === undefined || owner === this.#peers.self.id ? undefined : this.#peers.address(owner)
    const question = { service, ...key, endpoint: this.#remembered(key.session) ?? 0 }
    const holder = to === undefined ? this.#decide(question) : await this.#ask(to, question)
    if (holder.endpoint === 0) return undefined
    this.#directory.record(key, holder.endpoint, this.#clock.nowMs())
    return holder
  }

  /** The engine that this gateway remembers for a session, if it can still be used. */
  #remembered (session: number): number | undefined {
    const held = this.#directory.holderOf(session)
    return held !== undefined && this.#endpoints.isUsable(held) ? held : undefined
  }

  /** As the owner: the engine that holds the session, else the one that the asker remembers, else a new choice. */
  #decide (question: Question): Holder {
    const now = this.#clock.nowMs()
    const asker = this.#endpoints.isUsable(question.endpoint) ? question.endpoint : undefined
    const endpoint = this.#remembered(question.session) ?? asker ?? this.#directory.choose(question, this.#endpoints.candidates(question.service), now)?.hash
    if (endpoint === undefined) return { endpoint: 0, source: 0 }
    const source = this.#directory.copySource(question, endpoint, e => this.#endpoints.isListed(e), now) ?? 0
    this.#directory.record(question, endpoint, now)
    return { endpoint, source }
  }

  async #ask (to: InstanceAddress, question: Question): Promise<Holder> {
    const seq = ++this.#seq
    return await new Promise(resolve => {
      const timer = setTimeout(() => this.#onTimeout(seq), ANSWER_TIMEOUT_MS)
      this.#pending.set(seq, { owner: to.id, question, timer, resolve })
      this.#peers.send(to, { kind: 'askHolder', seq, id: this.#peers.self.id, ...question, source: 0 })
    })
  }

  #onTimeout (seq: number): void {
    const pending = this.#pending.get(seq)
    if (pending === undefined) return
    this.#pending.delete(seq)
    this.#silentUntil.set(pending.owner, this.#clock.nowMs() + SILENT_OWNER_MS)
    pending.resolve(this.#decide(pending.question))
  }

  #receive (datagram: PeerDatagram): void {
    if (datagram.kind === 'askHolder') this.#answer(datagram)
    else if (datagram.kind === 'tellHolder') this.#answered(datagram)
  }

  #answer (ask: HolderDatagram): void {
    const to = this.#peers.address(ask.id)
    if (to === undefined) return
    this.#peers.send(to, { ...ask, kind: 'tellHolder', id: this.#peers.self.id, ...this.#decide(ask) })
  }

  #answered (told: HolderDatagram): void {
    this.#silentUntil.delete(told.id)
    const pending = this.#pending.get(told.seq)
    if (pending === undefined) return
    clearTimeout(pending.timer)
    this.#pending.delete(told.seq)
    pending.resolve({ endpoint: told.endpoint, source: told.source })
  }

  #ownerOf (key: PromptKey): string | undefined {
    const now = this.#clock.nowMs()
    const usable = this.#peers.usable()
    const candidates = usable.filter(id => now >= (this.#silentUntil.get(id) ?? 0)).map(id => ({ id, hash: hashString(id), weight: 1 }))
    const shard = key.session % Math.ceil(usable.length / GATEWAYS_PER_OWNER)
    return rankTop(combine(key.template, shard), candidates, 1)[0]?.id
  }
}
