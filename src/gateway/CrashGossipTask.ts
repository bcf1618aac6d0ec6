/**
 * Spreads evidence against parts of prompts between gateways. News goes to several peers at once, which pass it on; a
 * slow exchange with random peers mends what was lost, and joins both sides of a partition. A gateway that starts asks its
 * peers before it is ready.
 */
import { Disposable, toDisposable } from '../common/Disposable.js'
import type { CrashDatagram, PartCrash } from '../common/generated/PeerDatagram.js'
import type { PartEvidence } from '../common/routing/PartEvidence.js'
import type { IClock, IRandom } from '../common/Services.js'
import type { IGossipPeers } from './Peers.js'
import { sample } from './PeerSample.js'

const NEWS_DELAY_MS = 20 // news of answers that end together goes out together
const NEWS_FANOUT = 6
const MAX_NEWS_AGE_MS = 10_000 // older evidence, as after a partition, goes by the exchange
const EXCHANGE_INTERVAL_MS = 1_000
const EXCHANGE_FANOUT = 2
const ASK_INTERVAL_MS = 100
const ASK_FANOUT = 4
const MIN_ASK_MS = 500 // without peers there is nothing to learn by then
const MAX_ASK_MS = 3_000 // peers that haven't answered by then are out of reach; slow ones answer within a second or two
const INCOMPLETE_ANSWERS = 3 // peers that just started as well and know nothing
const MAX_CRASHES = 64 // keeps a datagram under 1,200 bytes

export class CrashGossipTask extends Disposable {
  readonly #peers: IGossipPeers
  readonly #clock: IClock
  readonly #random: IRandom
  readonly #evidence: PartEvidence
  readonly #onNews: (news: readonly PartCrash[]) => void
  #startedAt = Infinity
  #complete = false
  /** Peers that answered without being complete themselves. */
  readonly #incompletePeers = new Set<string>()
  #pending: PartCrash[] = []
  #newsTimer: NodeJS.Timeout | undefined

  /** @param onNews receives what was learned from peers. */
  constructor (peers: IGossipPeers, clock: IClock, random: IRandom, evidence: PartEvidence, onNews: (news: readonly PartCrash[]) => void) {
    super()
    this.#peers = peers
    this.#clock = clock
    this.#random = random
    this.#evidence = evidence
    this.#onNews = onNews
    this.own(peers.onDatagram(d => { if (d.kind === 'askCrashes' || d.kind === 'tellCrashes') this.#receive(d) }))
    this.own(toDisposable(() => clearTimeout(this.#newsTimer)))
  }

  /** True once the evidence of the peers was learned, or there is nobody to learn it from. */
  get isComplete (): boolean {
    const askedMs = this.#clock.nowMs() - this.#startedAt
    return this.#complete || askedMs > MAX_ASK_MS || (askedMs > MIN_ASK_MS && this.#peers.contactable().length === 0)
  }

  /** Starts to exchange evidence; the peers' socket must be bound. */
  start (): void {
    this.#startedAt = this.#clock.nowMs()
    const asking = setInterval(() => {
      if (this.isComplete) clearInterval(asking)
      else this.#send('askCrashes', ASK_FANOUT, [])
    }, ASK_INTERVAL_MS)
    const exchange = setInterval(() => {
      if (!this.#evidence.isEmpty) this.#send('tellCrashes', EXCHANGE_FANOUT, this.#reports())
    }, EXCHANGE_INTERVAL_MS)
    this.own(toDisposable(() => {
      clearInterval(asking)
      clearInterval(exchange)
    }))
    this.#send('askCrashes', ASK_FANOUT, [])
  }

  /** Sends evidence that this gateway found or was told. */
  spread (news: readonly PartCrash[]): void {
    const recent = news.filter(crash => crash.ageMs < MAX_NEWS_AGE_MS)
    if (recent.length === 0) return
    this.#pending.push(...recent)
    this.#newsTimer ??= setTimeout(() => this.#sendNews(), NEWS_DELAY_MS)
  }

  #sendNews (): void {
    this.#newsTimer = undefined
    const news = this.#pending
    this.#pending = []
    for (let i = 0; i < news.length; i += MAX_CRASHES) this.#send('tellCrashes', NEWS_FANOUT, news.slice(i, i + MAX_CRASHES))
  }

  #receive (d: CrashDatagram): void {
    if (d.kind === 'askCrashes') this.#answer(d)
    else this.#recordAnswer(d)
    if (d.crashes.length === 0) return
    const news = this.#evidence.merge(d.crashes, this.#clock.nowMs())
    if (news.length === 0) return
    this.#onNews(news)
    this.spread(news)
  }

  #answer ({ id }: CrashDatagram): void {
    const to = this.#peers.address(id)
    if (to !== undefined) this.#peers.send(to, this.#message('tellCrashes', this.#reports()))
  }

  #recordAnswer ({ id, complete }: CrashDatagram): void {
    if (this.#complete) return
    if (!complete) this.#incompletePeers.add(id)
    this.#complete = complete || this.#incompletePeers.size >= Math.min(INCOMPLETE_ANSWERS, this.#peers.contactable().length)
  }

  #reports (): PartCrash[] {
    return this.#evidence.reports(MAX_CRASHES, this.#clock.nowMs())
  }

  #send (kind: CrashDatagram['kind'], fanout: number, crashes: readonly PartCrash[]): void {
    const peers = sample(this.#peers.contactable(), fanout, this.#random).map(id => this.#peers.address(id)).filter(peer => peer !== undefined)
    if (peers.length > 0) this.#peers.sendAll(peers, this.#message(kind, crashes))
  }

  #message (kind: CrashDatagram['kind'], crashes: readonly PartCrash[]): CrashDatagram {
    return { kind, id: this.#peers.self.id, complete: this.isComplete, crashes }
  }
}
