/** Task that admits requests by account: takes admissions from the account's owner, or spends the floor when it is silent. */
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
const OWNER_BACKOFF_MS = 1_000 // an owner that did not answer is not asked again at once
const PRUNE_INTERVAL_MS = 10_000

/** What came of asking the account's owner. */
type GrantResult = 'granted' | 'empty' | 'silent'

interface InstanceCandidate extends RendezvousCandidate {
  readonly id: string
}

export class AccountRateLimiter extends Disposable {
  readonly #fleet: Fleet
  readonly #clock: IClock
  readonly #socket: PeerSocket
  readonly #config: () => VotedConfig | undefined
  readonly #owner = new AllowanceOwner()
  readonly #localTokens = new AllowanceCache()
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

  /** True when the account may start one more request. */
  async admit (account: ClientAccount): Promise<boolean> {
    for (;;) {
      if (this.#localTokens.tryConsume(account.id, this.#clock.nowMs())) return true
      const result = await this.#requestTokens(account)
      if (result === 'silent') return await this.#admitWithoutOwner(account)
      // callers that share a grant may find it spent: only an empty owner refuses
      if (result === 'empty') return false
    }
  }

  async #admitWithoutOwner (account: ClientAccount): Promise<boolean> {
    const rate = account.requestsPerSec / this.#fleetSize()
    const waitMs = this.#localTokens.reserveFallback(account.id, rate, this.#clock.nowMs())
    if (waitMs !== undefined && waitMs > 0) await sleep(waitMs)
    return waitMs !== undefined
  }

  /** One request for admissions at a time for each account; callers that come meanwhile share its answer. */
  #requestTokens (account: ClientAccount): Promise<GrantResult> {
    const running = this.#runningRequests.get(account.id)
    if (running !== undefined) return running
    const request = this.#requestFromOwner(account).finally(() => this.#runningRequests.delete(account.id))
    this.#runningRequests.set(account.id, request)
    return request
  }

  async #requestFromOwner (account: ClientAccount): Promise<GrantResult> {
    const now = this.#clock.nowMs()
    const count = this.#localTokens.prefetchCount(account.id, now)
    if (count === 0) return 'empty'
    const owner = rankTop(hashString(account.id, 0x165667b1), this.#candidates, 1)[0]
    if (owner === undefined) return 'silent'
    const granted = owner.id === this.#fleet.self.id ? this.#grant(account, count) : await this.#requestFromPeer(owner.id, account.id, count)
    if (granted === undefined) return 'silent'
    this.#localTokens.addGrant(account.id, granted, this.#clock.nowMs())
    return granted > 0 ? 'granted' : 'empty'
  }

  /** Admissions that a peer grants; undefined when it does not answer. */
  async #requestFromPeer (owner: string, account: string, count: number): Promise<number | undefined> {
    const to = this.#fleet.address(owner)
    if (to === undefined || this.#clock.nowMs() < (this.#backoffUntil.get(owner) ?? 0)) return undefined
    const seq = ++this.#seq
    this.#socket.send(to, { kind: 'take', seq, id: this.#fleet.self.id, account, count })
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
    const account = this.#config()?.account(datagram.account)
    if (to === undefined || account === undefined || account.isNothing) return
    const count = this.#grant(account.value, datagram.count)
    this.#socket.send(to, { kind: 'grant', seq: datagram.seq, id: this.#fleet.self.id, account: datagram.account, count })
  }

  #grant (account: ClientAccount, count: number): number {
    return this.#owner.grant(account.id, account.requestsPerSec, this.#reachableFraction(), count, this.#clock.nowMs())
  }

  /** Part of the data centres that this side of a partition can reach, so that the sides stay within the rate together. */
  #reachableFraction (): number {
    const dataCentres = this.#config()?.version.file.dataCentres ?? []
    if (dataCentres.length === 0) return 1
    const reachable = dataCentres.filter(d => this.#fleet.usableInstances(d.id).length > 0).length
    return Math.max(1, reachable) / dataCentres.length
  }

  /** Instances of the whole fleet, the unreachable ones included. */
  #fleetSize (): number {
    return Math.max(this.#fleet.list?.instances.length ?? 0, this.#fleet.members.length + 1)
  }

  #refresh (): void {
    this.#backoffUntil.clear()
    this.#candidates = this.#fleet.usableInstances().map(id => ({ id, hash: hashString(id), weight: 1 }))
  }

  #prune (): void {
    this.#owner.prune(this.#clock.nowMs())
    this.#localTokens.prune(this.#clock.nowMs())
  }
}
