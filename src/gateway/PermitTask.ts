/**
 * Permits for what the fleet may do only so often: a subject has one owner among the live gateways, which issues its
 * permits. A gateway asks before it acts. An owner that doesn't reply isn't asked again for a while, and nobody else in its
 * place: two owners would issue twice as many.
 */
import { Disposable } from '../common/Disposable.js'
import type { AllowanceDatagram, PeerDatagram } from '../common/generated/PeerDatagram.js'
import type { IClock } from '../common/Services.js'
import type { IPeerTransport } from './Peers.js'
import { PendingReplies } from './PendingReplies.js'

const OWNER_TIMEOUT_MS = 20 // several round trips between data centres

/** An owner's decision. */
export interface Permit {
  readonly granted: boolean
  /** Time until a permit may be granted, if it wasn't. */
  readonly waitMs: number
}

/** What permits are issued for: a trial of a part of a prompt, a request to an endpoint that named a limit, one to a cold endpoint. */
export type PermitScope = 'part' | 'endpoint' | 'cold'

/** Issues permits, on the owner of a subject. @param key hash of the subject. */
export type PermitIssuer = (key: number, now: number) => Permit

/** Ends a permit early, on the owner of a subject. @param key hash of the subject. */
export type PermitReleaser = (key: number) => void

export class PermitTask extends Disposable {
  readonly #peers: IPeerTransport
  readonly #clock: IClock
  readonly #issuers: Readonly<Record<PermitScope, PermitIssuer>>
  readonly #replies: PendingReplies<Permit>
  readonly #releasers: Readonly<Partial<Record<PermitScope, PermitReleaser>>>

  constructor (
    peers: IPeerTransport, clock: IClock, issuers: Readonly<Record<PermitScope, PermitIssuer>>,
    releasers: Readonly<Partial<Record<PermitScope, PermitReleaser>>> = {}
  ) {
    super()
    this.#peers = peers
    this.#clock = clock
    this.#issuers = issuers
    this.#releasers = releasers
    this.#replies = this.own(new PendingReplies<Permit>(clock))
    this.own(peers.onDatagram(d => this.#receive(d)))
  }

  /** Asks the subject's owner for a permit; undefined when it doesn't reply. */
  async take (scope: PermitScope, key: number): Promise<Permit | undefined> {
    const { self } = this.#peers
    const owner = this.#peers.usable().first(key)
    if (owner === self.id) return this.#issuers[scope](key, this.#clock.nowMs())
    const to = owner === undefined ? undefined : this.#peers.address(owner)
    if (to === undefined || !this.#replies.isResponsive(to.id)) return undefined
    const subject = `${scope}:${key}`
    return await this.#replies.query(to.id, OWNER_TIMEOUT_MS, seq => this.#peers.send(to, { kind: 'take', seq, id: self.id, subject, count: 1, waitMs: 0 }))
  }

  /** Tells the subject's owner that a permit is no longer used. */
  release (scope: PermitScope, key: number): void {
    const { self } = this.#peers
    const owner = this.#peers.usable().first(key)
    const to = owner === undefined ? undefined : this.#peers.address(owner)
    if (owner === self.id) this.#releasers[scope]?.(key)
    else if (to !== undefined) this.#peers.send(to, { kind: 'take', seq: 0, id: self.id, subject: `${scope}:${key}`, count: 0, waitMs: 0 })
  }

  #receive (d: PeerDatagram): void {
    if (d.kind === 'grant') this.#replies.onReply(d.id, d.seq, { granted: d.count > 0, waitMs: d.waitMs })
    else if (d.kind === 'take') this.#issue(d)
  }

  /** Answers a request for a permit; one for none ends that of the sender. */
  #issue ({ id, seq, subject, count }: AllowanceDatagram): void {
    const [scope, key] = subject.split(':')
    const to = this.#peers.address(id)
    if (to === undefined || (scope !== 'part' && scope !== 'endpoint' && scope !== 'cold')) return
    if (count === 0) {
      this.#releasers[scope]?.(Number(key))
      return
    }
    const { granted, waitMs } = this.#issuers[scope](Number(key), this.#clock.nowMs())
    this.#peers.send(to, { kind: 'grant', seq, id: this.#peers.self.id, subject, count: granted ? 1 : 0, waitMs })
  }
}
