/**
 * Keeps prompts that end engines away from engines. A part of a prompt under which engines ended becomes suspect, then
 * blocked: requests with a suspect part are sent one at a time in the fleet, those with a blocked part are refused but for
 * rare trials, so that a part that was blocked wrongly comes back.
 */
import { Disposable } from '../common/Disposable.js'
import { Emitter } from '../common/Emitter.js'
import { routeError, type RouteError } from '../common/Errors.js'
import type { PartCrash } from '../common/generated/PeerDatagram.js'
import { hashString } from '../common/Hash.js'
import { TrialLeases } from '../common/limits/TrialLeases.js'
import { PartEvidence } from '../common/routing/PartEvidence.js'
import { sharedParts } from '../common/routing/PromptPlacement.js'
import { endpointKey, type Endpoint, type Prompt } from '../common/routing/Types.js'
import type { IClock, IRandom } from '../common/Services.js'
import type { ConnectProbe } from '../router/engines/ConnectProbe.js'
import type { Log } from '../router/telemetry/Log.js'
import { CrashGossipTask } from './CrashGossipTask.js'
import { CrashWatch, WATCH_MS, type IEndpointConnections } from './CrashWatch.js'
import type { IGossipPeers } from './Peers.js'
import type { Permit } from './PermitTask.js'

const SUSPECT_RETRY_AFTER_MS = 500 // about the time that a trial takes
const MIN_BLOCKED_RETRY_AFTER_MS = 5_000

/** Asks the owner of a part for a trial; undefined when it doesn't reply. */
export type TrialRequest = (part: number) => Promise<Permit | undefined>

export class PromptGuard extends Disposable {
  readonly #clock: IClock
  readonly #log: Log
  readonly #evidence = new PartEvidence()
  readonly #leases = new TrialLeases()
  readonly #watch: CrashWatch
  readonly #gossip: CrashGossipTask
  readonly #requestTrial: TrialRequest
  readonly #blocked = this.own(new Emitter<ReadonlySet<number>>())
  readonly #releaseTrial: (part: number) => void
  /** Suspect or blocked parts for which a prompt is under way as a trial. */
  readonly #trials = new WeakMap<Prompt, number>()
  #blockedParts: ReadonlySet<number> = new Set()

  /** Fires with the parts that are blocked from now on. */
  readonly onBlocked = this.#blocked.event

  constructor (
    peers: IGossipPeers, clock: IClock, random: IRandom, log: Log, requestTrial: TrialRequest, probe: ConnectProbe,
    releaseTrial: (part: number) => void = () => {}
  ) {
    super()
    this.#clock = clock
    this.#log = log
    this.#requestTrial = requestTrial
    this.#releaseTrial = releaseTrial
    this.#watch = this.own(new CrashWatch(clock, probe, {
      onCrash: (...crash) => this.#recordCrash(...crash),
      onUnconfirmed: (...close) => this.#recordUnconfirmed(...close)
    }))
    this.#gossip = this.own(new CrashGossipTask(peers, clock, random, this.#evidence, news => this.#learn(news)))
  }

  /** True once the evidence of the peers is known. */
  get isReady (): boolean {
    return this.#gossip.isComplete
  }

  /** Starts to exchange evidence with peers. */
  start (): void {
    this.#gossip.start()
  }

  /** Checks a prompt before it is sent to an engine; returns the error to refuse it with, undefined when it may be sent. */
  async check (prompt: Prompt, requestId: string): Promise<RouteError | undefined> {
    if (this.#evidence.isEmpty) return undefined
    const assessment = this.#evidence.assess(partHashes(prompt))
    if (assessment === undefined) return undefined
    const waitMs = assessment.nextTrialAt - this.#clock.nowMs()
    const permit = waitMs > 0 ? undefined : await this.#requestTrial(assessment.part)
    if (permit?.granted === true) {
      this.#trials.set(prompt, assessment.part)
      this.#log.info({ step: 'prompts', requestId, ...assessment, nextTrialAt: undefined }, 'prompt sent as a trial')
      return undefined
    }
    const retryAfterMs = assessment.state === 'blocked' ? Math.max(MIN_BLOCKED_RETRY_AFTER_MS, waitMs) : SUSPECT_RETRY_AFTER_MS
    return routeError('prompt_blocked', 'admit', 'caller', `part ${assessment.part} is ${assessment.state} after ${assessment.episodes} crashes`, retryAfterMs)
  }

  /** Decides as the owner of the part: one trial at a time. */
  issueTrial (part: number, now: number): Permit {
    const waitMs = this.#leases.acquire(part, now)
    return { granted: waitMs === 0, waitMs }
  }

  /** Ends a trial that took the lease of a part from its owner. */
  endLease (part: number): void {
    this.#leases.release(part)
  }

  /** Records that an attempt with the prompt ended, or that none is made. @param wasBrokenOff true when the evidence of it may still be on its way. */
  endTrial (prompt: Prompt, wasBrokenOff: boolean): void {
    const part = this.#trials.get(prompt)
    if (part === undefined) return
    this.#trials.delete(prompt)
    if (!wasBrokenOff) this.#releaseTrial(part)
  }

  /** True when a part of the prompt is among `parts`. */
  hasPartOf (prompt: Prompt, parts: ReadonlySet<number>): boolean {
    return partHashes(prompt).some(part => parts.has(part))
  }

  /** Records that an engine closed the connection when its answer to the prompt was young, or hadn't begun. */
  recordClose (endpoint: Endpoint, prompt: Prompt, connections?: IEndpointConnections): void {
    this.#watch.recordClose(endpoint, partHashes(prompt), connections)
  }

  /** Records a young answer to the prompt of which nothing tells whether it was whole. */
  recordUnmarkedEnd (endpoint: Endpoint, prompt: Prompt, connections: IEndpointConnections): void {
    this.#watch.recordUnmarkedEnd(endpoint, partHashes(prompt), connections)
  }

  /** Records that an endpoint is gone from the list. */
  recordGone (endpoint: Endpoint): void {
    this.#watch.recordGone(endpoint)
    if (!this.#evidence.isEmpty) this.#applyOwn(this.#evidence.confirmCrash(hashString(endpointKey(endpoint)), this.#clock.nowMs(), WATCH_MS))
  }

  /** Records an answer to the prompt that was whole, or went on for long enough. */
  recordSound (prompt: Prompt): void {
    if (this.#evidence.isEmpty) return
    this.#applyOwn(this.#evidence.recordSound(partHashes(prompt), this.#clock.nowMs()))
  }

  #recordCrash (parts: readonly number[], endpoint: number, id: string, ageMs: number): void {
    const news = this.#evidence.recordCrash(parts, endpoint, ageMs, this.#clock.nowMs())
    this.#log.info({ step: 'prompts', endpoint: id, parts, news: news.length }, 'endpoint ended in young answers')
    this.#applyOwn(news)
  }

  #recordUnconfirmed (parts: readonly number[], endpoint: number, id: string, ageMs: number): void {
    const news = this.#evidence.recordClose(parts, endpoint, ageMs, this.#clock.nowMs())
    if (news.length === 0) return
    this.#log.info({ step: 'prompts', endpoint: id, parts, news: news.length }, 'endpoint broke off young answers and accepts connections')
    this.#applyOwn(news)
  }

  /** Applies what peers told; closes that they saw are compared with those of this instance. */
  #learn (news: readonly PartCrash[]): void {
    this.#apply(news)
    const now = this.#clock.nowMs()
    const closes = new Map(news.filter(crash => crash.unconfirmed === true && !crash.refuted).map(({ endpoint, ageMs }) => [endpoint, now - ageMs]))
    for (const [endpoint, at] of closes) this.#watch.recordPeerClose(endpoint, at)
  }

  #applyOwn (news: readonly PartCrash[]): void {
    this.#apply(news)
    this.#gossip.spread(news)
  }

  /** Ends the trials that have a result, and reports parts that are blocked or no longer so. */
  #apply (news: readonly PartCrash[]): void {
    if (news.length === 0) return
    for (const { part } of news) this.#leases.release(part)
    const before = this.#blockedParts
    this.#blockedParts = this.#evidence.blockedParts
    for (const part of before) {
      if (!this.#blockedParts.has(part)) this.#log.info({ step: 'prompts', part }, 'part no longer blocked')
    }
    const added = [...this.#blockedParts].filter(part => !before.has(part))
    for (const part of added) this.#log.warn({ step: 'prompts', part, crashes: news.filter(n => n.part === part).length }, 'part blocked')
    if (added.length > 0) this.#blocked.fire(new Set(added))
  }
}

/** Hashes of the parts that other requests may share. */
function partHashes (prompt: Prompt): number[] {
  return sharedParts(prompt).map(part => hashString(part.id))
}
