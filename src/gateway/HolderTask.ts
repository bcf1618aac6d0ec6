/**
 * Task that knows which engine holds a session's prompt. Each session has an owner among the live gateways, which
 * remembers the engine that took it; the others ask the owner before they place a request. Without an answer in time
 * the asker goes by its own memory, so that an owner is never needed.
 */
import { Disposable } from '../common/Disposable.js'
import type { HolderDatagram, PeerDatagram } from '../common/generated/PeerDatagram.js'
import { hashString } from '../common/Hash.js'
import { ChatDirectory } from '../common/placement/ChatDirectory.js'
import { rankTop } from '../common/Rendezvous.js'
import type { IClock, IEvent } from '../common/Services.js'
import type { InstanceAddress } from '../common/Types.js'

const REMEMBERED_SESSIONS = 16_384
const ANSWER_TIMEOUT_MS = 12 // some round trips between data centres; less than reading a short prompt again
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

interface Pending {
  readonly owner: string
  readonly proposed: number
  readonly timer: NodeJS.Timeout
  readonly resolve: (endpoint: number) => void
}

export class HolderTask extends Disposable {
  readonly #peers: IHolderPeers
  readonly #clock: IClock
  readonly #isUsable: (endpoint: number) => boolean
  readonly #directory = new ChatDirectory(REMEMBERED_SESSIONS)
  readonly #pending = new Map<number, Pending>()
  readonly #silentUntil = new Map<string, number>()
  #seq = 0

  /** @param isUsable true when the endpoint of this hash is listed and not leaving. */
  constructor (peers: IHolderPeers, clock: IClock, isUsable: (endpoint: number) => boolean) {
    super()
    this.#peers = peers
    this.#clock = clock
    this.#isUsable = isUsable
    this.own(peers.onDatagram(d => this.#receive(d)))
  }

  /** The engine that this gateway remembers for a session, if it can still be used. */
  remembered (session: number): number | undefined {
    const held = this.#directory.get(session, 0)?.endpoint
    return held !== undefined && this.#isUsable(held) ? held : undefined
  }

  /** The engine to use for a session; `proposed` becomes its holder when it has none. */
  async holder (session: number, proposed: number): Promise<number> {
    const owner = this.#ownerOf(session)
    const to = owner === undefined || owner === this.#peers.self.id ? undefined : this.#peers.address(owner)
    const endpoint = to === undefined ? this.#decide(session, proposed) : await this.#ask(to, session, proposed)
    this.#directory.set(session, 0, endpoint, 0)
    return endpoint
  }

  /** As the owner: the engine that holds the session, or from now on the proposed one. */
  #decide (session: number, proposed: number): number {
    const endpoint = this.remembered(session) ?? proposed
    this.#directory.set(session, 0, endpoint, 0)
    return endpoint
  }

  async #ask (to: InstanceAddress, session: number, proposed: number): Promise<number> {
    const seq = ++this.#seq
    return await new Promise(resolve => {
      const timer = setTimeout(() => this.#onTimeout(seq), ANSWER_TIMEOUT_MS)
      this.#pending.set(seq, { owner: to.id, proposed, timer, resolve })
      this.#peers.send(to, { kind: 'askHolder', seq, id: this.#peers.self.id, session, endpoint: proposed })
    })
  }

  #onTimeout (seq: number): void {
    const pending = this.#pending.get(seq)
    if (pending === undefined) return
    this.#pending.delete(seq)
    this.#silentUntil.set(pending.owner, this.#clock.nowMs() + SILENT_OWNER_MS)
    pending.resolve(pending.proposed)
  }

  #receive (datagram: PeerDatagram): void {
    if (datagram.kind === 'askHolder') this.#answer(datagram)
    else if (datagram.kind === 'tellHolder') this.#answered(datagram)
  }

  #answer (ask: HolderDatagram): void {
    const to = this.#peers.address(ask.id)
    if (to === undefined) return
    this.#peers.send(to, { ...ask, kind: 'tellHolder', id: this.#peers.self.id, endpoint: this.#decide(ask.session, ask.endpoint) })
  }

  #answered (told: HolderDatagram): void {
    this.#silentUntil.delete(told.id)
    const pending = this.#pending.get(told.seq)
    if (pending === undefined) return
    clearTimeout(pending.timer)
    this.#pending.delete(told.seq)
    pending.resolve(told.endpoint)
  }

  #ownerOf (session: number): string | undefined {
    const now = this.#clock.nowMs()
    const candidates = this.#peers.usable().filter(id => now >= (this.#silentUntil.get(id) ?? 0)).map(id => ({ id, hash: hashString(id), weight: 1 }))
    return rankTop(session, candidates, 1)[0]?.id
  }
}
