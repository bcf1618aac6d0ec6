/**
 * Rate limit per client account. Tokens come from the instance that owns the account's token bucket; while the owner does
 * not respond, each instance admits its equal share of the account's rate.
 */
import { setTimeout as sleep } from 'node:timers/promises'
import { Disposable, toDisposable } from '../../common/Disposable.js'
import type { ClientAccount, VotedConfig } from '../../common/config/VotedConfig.js'
import type { AllowanceDatagram } from '../../common/generated/PeerDatagram.js'
import { AllowanceOwner } from '../../common/limits/AllowanceOwner.js'
import { AllowanceCache } from '../../common/limits/AllowanceCache.js'
import { hashString } from '../../common/Hash.js'
import { rankTop, type RendezvousCandidate } from '../../common/Rendezvous.js'
import type { IClock } from '../../common/Services.js'
import type { Fleet } from '../fleet/Fleet.js'
import type { PeerSocket } from '../fleet/PeerSocket.js'

const GRANT_TIMEOUT_MS = 400 // longer than a round trip between regions
const OWNER_BACKOFF_MS = 1_000 // pause after an owner did not respond
const PRUNE_INTERVAL_MS = 10_000

/** Result of a token request: `silent` when the owner is unknown or did not respond in time. */
type GrantResult = 'granted' | 'empty' | 'silent'

interface InstanceCandidate extends RendezvousCandidate {
  readonly id: string
}

/** Admits requests, and grants tokens for the accounts that this instance owns. */
export class AccountRateLimiter extends Disposable {
  readonly #fleet: Fleet
  readonly #clock: IClock
  readonly #socket: PeerSocket
  readonly #config: () => VotedConfig | undefined
  readonly #owner = new AllowanceOwner()
  readonly #cache = new AllowanceCache()
  readonly #runningRequests = new Map<string, Promise<GrantResult>>()
  readonly #pendingGrants = new Map<number, (count: number) => void>()
  readonly #backoffUntil = new Map<string, number>()
  #candidates: InstanceCandidate[] = []
  #seq = 0

  constructor (fleet: Fleet, clock: IClock, socket: PeerSocket, config: () => VotedConfig | undefined) {
    super()
    this.#fleet = fleet
    this.#clock = clock
    this.#socket = socket
    this.#config = config
    this.#refresh()
    this.own(fleet.onChange(() => this.#refresh()))
    this.own(socket.onDatagram(d => { if (d.kind === 'take' || d.kind === 'grant') this.#onDatagram(d) }))
    const timer = setInterval(() => this.#prune(), PRUNE_INTERVAL_MS)
    this.own(toDisposable(() => clearInterval(timer)))
  }

  /** Admits one request of the account; false when it is over its rate. */
  async admit (account: ClientAccount): Promise<boolean> {
    for (;;) {
      if (this.#cache.tryConsume(account.id, this.#clock.nowMs())) return true
      const result = await this.#requestTokens(account)
      if (result === 'silent') return await this.#admitWithoutOwner(account)
      // requests that share a grant may find it used up; only an empty bucket at the owner rejects
      if (result === 'empty') return false
    }
  }

  async #admitWithoutOwner (account: ClientAccount): Promise<boolean> {
    const rate = account.requestsPerSec / this.#fleetSize()
    const waitMs = this.#cache.reserveFallback(account.id, rate, this.#clock.nowMs())
    if (waitMs !== undefined && waitMs > 0) await sleep(waitMs)
    return waitMs !== undefined
  }

  /** At most one token request per account is in flight; concurrent callers share its result. */
  #requestTokens (account: ClientAccount): Promise<GrantResult> {
    const running = this.#runningRequests.get(account.id)
    if (running !== undefined) return running
    const request = this.#requestFromOwner(account).finally(() => this.#runningRequests.delete(account.id))
    this.#runningRequests.set(account.id, request)
    return request
  }

  async #requestFromOwner (account: ClientAccount): Promise<GrantResult> {
    const now = this.#clock.nowMs()
    const count = this.#cache.prefetchCount(account.id, now)
    if (count === 0) return 'empty'
    const owner = rankTop(hashString(account.id, 0x165667b1), this.#candidates, 1)[0]
    if (owner === undefined) return 'silent'
    const granted = owner.id === this.#fleet.self.id ? this.#grant(account, count) : await this.#requestFromPeer(owner.id, account.id, count)
    if (granted === undefined) return 'silent'
    this.#cache.addGrant(account.id, granted, this.#clock.nowMs())
    return granted > 0 ? 'granted' : 'empty'
  }

  /** Number of tokens that a peer grants; undefined when it does not respond. */
  async #requestFromPeer (owner: string, account: string, count: number): Promise<number | undefined> {
    const to = this.#fleet.address(owner)
    if (to === undefined || this.#clock.nowMs() < (this.#backoffUntil.get(owner) ?? 0)) return undefined
    const seq = ++this.#seq
    this.#socket.send(to, { kind: 'take', seq, id: this.#fleet.self.id, subject: account, count, waitMs: 0 })
    const granted = await this.#waitForGrant(seq)
    if (granted === undefined) this.#backoffUntil.set(owner, this.#clock.nowMs() + OWNER_BACKOFF_MS)
    return granted
  }

  async #waitForGrant (seq: number): Promise<number | undefined> {
    return await new Promise(resolve => {
      const timer = setTimeout(() => {
        this.#pendingGrants.delete(seq)
        resolve(undefined)
      }, GRANT_TIMEOUT_MS)
      this.#pendingGrants.set(seq, count => {
        clearTimeout(timer)
        this.#pendingGrants.delete(seq)
        resolve(count)
      })
    })
  }

  #onDatagram (datagram: AllowanceDatagram): void {
    if (datagram.kind === 'grant') {
      this.#pendingGrants.get(datagram.seq)?.(datagram.count)
      return
    }
    const to = this.#fleet.address(datagram.id)
    const account = this.#config()?.account(datagram.subject)
    if (to === undefined || account === undefined || account.isNothing) return
    const count = this.#grant(account.value, datagram.count)
    this.#socket.send(to, { kind: 'grant', seq: datagram.seq, id: this.#fleet.self.id, subject: datagram.subject, count, waitMs: 0 })
  }

  #grant (account: ClientAccount, count: number): number {
    return this.#owner.grant(account.id, account.requestsPerSec, this.#reachableFraction(), count, this.#clock.nowMs())
  }

  /** Fraction of the data centres that are reachable. Scaling the rate by it keeps the sides of a partition within the rate in total. */
  #reachableFraction (): number {
    const dataCentres = this.#config()?.version.file.dataCentres ?? []
    if (dataCentres.length === 0) return 1
    const reachable = dataCentres.filter(d => this.#fleet.usableInstances(d.id).length > 0).length
    return Math.max(1, reachable) / dataCentres.length
  }

  /** Number of instances in the fleet, including unreachable ones. */
  #fleetSize (): number {
    return Math.max(this.#fleet.list?.instances.length ?? 0, this.#fleet.members.length + 1)
  }

  #refresh (): void {
    this.#backoffUntil.clear()
    this.#candidates = this.#fleet.usableInstances().map(id => ({ id, hash: hashString(id), weight: 1 }))
  }

  #prune (): void {
    this.#owner.prune(this.#clock.nowMs())
    this.#cache.prune(this.#clock.nowMs())
  }
}
