/** Queries to the gateways that remember the engines of sessions. */
import { Disposable } from '../common/Disposable.js'
import type { HolderDatagram } from '../common/generated/PeerDatagram.js'
import type { IClock } from '../common/Services.js'
import type { InstanceAddress } from '../common/Types.js'
import type { IPeerTransport } from './Peers.js'
import { PendingReplies } from './PendingReplies.js'

/** What a query says of a session. */
export type SessionQuery = Omit<HolderDatagram, 'kind' | 'seq' | 'id' | 'source'>

/** Engine assigned to a session. */
export interface SessionAffinity {
  /** Hash of the engine to use; 0 for none. */
  readonly endpoint: number
  /** Hash of an engine that has cached some of the prompt which `endpoint` hasn't; 0 for none. */
  readonly source: number
  /** Id of the gateway that answered; this gateway's own when it decided by itself. */
  readonly decidedBy: string
}

export class OwnerQueries extends Disposable {
  readonly #peers: IPeerTransport
  readonly #replies: PendingReplies<SessionAffinity>

  constructor (peers: IPeerTransport, clock: IClock) {
    super()
    this.#peers = peers
    this.#replies = this.own(new PendingReplies<SessionAffinity>(clock))
    this.own(peers.onDatagram(d => {
      if (d.kind === 'tellHolder') this.#replies.onReply(d.id, d.seq, { endpoint: d.endpoint, source: d.source, decidedBy: d.id })
    }))
  }

  /** False for a peer that lately left a query without an answer. */
  isResponsive (id: string): boolean {
    return this.#replies.isResponsive(id)
  }

  /** Sends a query; resolves to undefined when the peer doesn't answer in time. */
  async send (to: InstanceAddress, kind: 'askHolder' | 'findHolder', query: SessionQuery, timeoutMs: number): Promise<SessionAffinity | undefined> {
    return await this.#replies.query(to.id, timeoutMs, seq => this.#peers.send(to, { ...query, kind, seq, id: this.#peers.self.id, source: 0 }))
  }
}
