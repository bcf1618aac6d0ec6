/**
 * Evidence that a part of prompts ends the engines that answer it. Designed for requests that share one part and nothing
 * else, come at any instance, and end each engine as it begins to answer, beside sound requests that share their other
 * parts and their engines. A part is assessed by the engines that ended when an answer on it was young, unless an answer on it
 * was whole after that or shortly before: other requests on an engine that ends have whole answers elsewhere, these never have. The evidence
 * of instances is joined as a set, so it may arrive in any order, any number of times.
 */
import type { PartCrash } from '../generated/PeerDatagram.js'

/** Age of an answer from which a crash isn't attributed to its prompt, and from which the answer shows that the prompt is sound. */
export const YOUNG_ANSWER_MS = 1_000
const EPISODE_MS = 100 // engines that end within this time of each other may have one cause outside of the prompt, and count once
const SUSPECT_EPISODES = 2
const BLOCKED_EPISODES = 3
const SUSPECT_ENGINES = 5 // engines that ended together, or broke off answers without a proof that they ended, from which a part is suspect
const BLOCKED_ENGINES = 6 // engines that broke off answers at different times, without a proof that they ended, from which it is blocked
const FIRST_TRIAL_MS = 20_000 // from the last crash of a blocked part to the next trial
const TRIAL_BACKOFF = 4 // factor of that time for each trial that ended an engine
const MAX_TRIAL_MS = 3_600_000
const CRASH_TTL_MS = 600_000 // an earlier crash is no evidence, unless the part is blocked
const KEPT_MS = CRASH_TTL_MS + MAX_TRIAL_MS // crashes of blocked parts, and refutations, which must outlast what they refute
const SOUND_MEMORY_MS = 60_000 // time before a crash in which a whole answer on a part shows that the part isn't the cause
const MAX_SOUND = 2_048 // parts of whole answers that are remembered
const MAX_PARTS = 512
const ROOM_FOR_PARTS = 64 // made when there are more
const EXPIRY_INTERVAL_MS = 1_000
const MAX_CRASHES = 16 // of one part

/** How far a part may be used: `suspect` by one request at a time in the fleet, `blocked` only by rare trials. */
export type PartState = 'sound' | 'suspect' | 'blocked'

/** What the evidence says of a prompt. */
export interface PromptAssessment {
  /** The part with the most crashes. */
  readonly part: number
  readonly state: Exclude<PartState, 'sound'>
  /** Crashes at different times that are attributed to the part. */
  readonly episodes: number
  /** When a request with a blocked part may be sent as a trial. */
  readonly nextTrialAt: number
}

interface Crash {
  readonly at: number
  /** False while nothing but a broken answer shows that the endpoint ended. */
  readonly confirmed: boolean
  /** True when an answer on the part was whole after the crash. */
  readonly refuted: boolean
}

/** Crashes of one part by the hash of the endpoint's incarnation. */
type Crashes = Map<number, Crash>

interface CrashSummary {
  /** Endpoints whose crashes weren't refuted. */
  readonly endpoints: ReadonlySet<number>
  /** Confirmed crashes at different times that weren't refuted, or as many as other evidence is worth. */
  readonly episodes: number
  readonly lastAt: number
  /** Time of the last crash, refuted or not. */
  readonly latestAt: number
}

export class PartEvidence {
  readonly #parts = new Map<number, Crashes>()
  /** Sum of each part's crashes. */
  readonly #summaries = new Map<number, CrashSummary>()
  /** Parts with enough crashes to be suspect; few, so that they may be compared with each other. */
  readonly #suspects = new Set<number>()
  /** Times of the last whole answer on a part since the first crash, the latest last. */
  readonly #soundAt = new Map<number, number>()
  #states: ReadonlyMap<number, PartState> = new Map()
  #blocked: ReadonlySet<number> = new Set()
  #expiredAt = -Infinity
  /** Crashes up to this time are no news for a part that isn't known: it may have been dropped for room. */
  #droppedUntil = -Infinity

  /** True when there is no evidence against any part. */
  get isEmpty (): boolean {
    return this.#parts.size === 0
  }

  /** All blocked parts. */
  get blockedParts (): ReadonlySet<number> {
    return this.#blocked
  }

  /** Assesses a prompt by its part with the most crashes, the last of equals; undefined when all its parts are sound. */
  assess (parts: readonly number[]): PromptAssessment | undefined {
    if (this.isEmpty) return undefined
    const part = parts
      .filter(p => this.#stateOf(p) !== 'sound')
      .reduce<number | undefined>((a, b) => a === undefined || this.#episodesOf(b) >= this.#episodesOf(a) ? b : a, undefined)
    if (part === undefined) return undefined
    const state = this.#stateOf(part)
    const { episodes, lastAt } = this.#summaries.get(part)!
    const failedTrials = episodes - BLOCKED_EPISODES
    const nextTrialAt = lastAt + Math.min(MAX_TRIAL_MS, FIRST_TRIAL_MS * TRIAL_BACKOFF ** failedTrials)
    return state === 'blocked' && !this.#separates(part, parts) ? { part, state, episodes, nextTrialAt } : { part, state: 'suspect', episodes, nextTrialAt: -Infinity }
  }

  /** Records that an endpoint ended `ageMs` ago when answers on these parts were young; returns what is new. */
  recordCrash (parts: readonly number[], endpoint: number, ageMs: number, now: number): PartCrash[] {
    return this.merge(parts.map(part => ({ part, endpoint, ageMs, refuted: false })), now)
  }

  /** Records that an endpoint broke off young answers on these parts `ageMs` ago and may have ended; returns what is new. */
  recordClose (parts: readonly number[], endpoint: number, ageMs: number, now: number): PartCrash[] {
    return this.merge(parts.map(part => ({ part, endpoint, ageMs, refuted: false, unconfirmed: true })), now)
  }

  /** Confirms that an endpoint ended, where it broke off answers at most `maxAgeMs` ago; returns what is new. */
  confirmCrash (endpoint: number, now: number, maxAgeMs: number): PartCrash[] {
    const confirmed: PartCrash[] = []
    for (const [part, crashes] of this.#parts) {
      const crash = crashes.get(endpoint)
      if (crash === undefined || crash.confirmed || crash.refuted || now - crash.at > maxAgeMs) continue
      confirmed.push(toReport(part, endpoint, { ...crash, confirmed: true }, now))
    }
    return this.merge(confirmed, now)
  }

  /** Records an answer on these parts that shows them to be sound; returns what is new. */
  recordSound (parts: readonly number[], now: number): PartCrash[] {
    if (this.isEmpty) return []
    for (const part of parts) this.#rememberSound(part, now)
    const refutations = parts.flatMap(part => [...this.#parts.get(part) ?? []]
      .filter(([, crash]) => !crash.refuted)
      .map(([endpoint, { at, confirmed }]) => toReport(part, endpoint, { at, confirmed, refuted: true }, now)))
    return this.merge(refutations, now)
  }

  /** Joins evidence with that of this instance; returns what is new. */
  merge (reports: readonly PartCrash[], now: number): PartCrash[] {
    const news = reports
      .map(report => report.refuted || !this.#wasSound(report, now) ? report : { ...report, refuted: true })
      .filter(report => this.#join(report, now))
    if (news.length === 0) return news
    for (const { part } of news) this.#summarise(part)
    this.#compare()
    if (this.#parts.size > MAX_PARTS || now - this.#expiredAt >= EXPIRY_INTERVAL_MS) this.#expire(now)
    return news
  }

  /** The evidence to tell peers, parts with the most crashes first. */
  reports (max: number, now: number): PartCrash[] {
    const parts = [...this.#parts].sort(([a], [b]) => this.#episodesOf(b) - this.#episodesOf(a))
    const reports: PartCrash[] = []
    for (const [part, crashes] of parts) {
      for (const [endpoint, crash] of crashes) reports.push(toReport(part, endpoint, crash, now))
      if (reports.length >= max) break
    }
    return reports.slice(0, max)
  }

  #rememberSound (part: number, now: number): void {
    this.#soundAt.delete(part)
    this.#soundAt.set(part, now)
    const [oldest] = this.#soundAt.keys()
    if (this.#soundAt.size > MAX_SOUND && oldest !== undefined) this.#soundAt.delete(oldest)
  }

  /** True when an answer on the part was whole here after the crash, or shortly before. */
  #wasSound ({ part, ageMs }: PartCrash, now: number): boolean {
    return now - ageMs - (this.#soundAt.get(part) ?? -Infinity) <= SOUND_MEMORY_MS
  }

  /** Joins one report: the earliest time counts, and a refutation outlasts what it refutes. */
  #join ({ part, endpoint, ageMs, refuted, unconfirmed }: PartCrash, now: number): boolean {
    const at = now - ageMs
    if (ageMs > KEPT_MS) return false
    const isKnownPart = this.#parts.has(part)
    if (!isKnownPart && at <= this.#droppedUntil) return false
    const crashes: Crashes = this.#parts.get(part) ?? new Map<number, Crash>()
    const known = crashes.get(endpoint)
    if (known === undefined && crashes.size >= MAX_CRASHES && !this.#makeRoom(crashes, at)) return false
    const joined = {
      at: Math.min(at, known?.at ?? Infinity),
      refuted: refuted || known?.refuted === true,
      confirmed: unconfirmed !== true || known?.confirmed === true
    }
    crashes.set(endpoint, joined)
    this.#parts.set(part, crashes)
    return known === undefined || (!known.refuted && (joined.refuted || joined.confirmed !== known.confirmed))
  }

  /** Drops the oldest crash of a part for one at `at`; false when that one is older. What was dropped isn't taken again from a peer. */
  #makeRoom (crashes: Crashes, at: number): boolean {
    const [oldest, { at: oldestAt }] = [...crashes].reduce((a, b) => b[1].at < a[1].at ? b : a)
    if (at <= oldestAt) return false
    crashes.delete(oldest)
    return true
  }

  #expire (now: number): void {
    this.#expiredAt = now
    for (const [part, crashes] of this.#parts) {
      const before = crashes.size
      for (const [endpoint, crash] of crashes) {
        if (now - crash.at > this.#ttlMs(part, crash)) crashes.delete(endpoint)
      }
      if (crashes.size !== before) this.#summarise(part)
    }
    if (this.#parts.size > MAX_PARTS) this.#dropLeastSuspect()
    this.#compare()
  }

  #ttlMs (part: number, { refuted }: Crash): number {
    return refuted || this.#blocked.has(part) ? KEPT_MS : CRASH_TTL_MS
  }

  /** Drops parts until there is room for some more: those with the fewest crashes first, the oldest of them. Peers may still tell of them. */
  #dropLeastSuspect (): void {
    const parts = [...this.#summaries].sort(([, a], [, b]) => a.episodes - b.episodes || a.latestAt - b.latestAt)
    for (const [part, { latestAt }] of parts.slice(0, parts.length - MAX_PARTS + ROOM_FOR_PARTS)) {
      this.#droppedUntil = Math.max(this.#droppedUntil, latestAt)
      this.#parts.get(part)!.clear()
      this.#summarise(part)
    }
  }

  /** Sums up the crashes of a part; forgets a part without crashes. */
  #summarise (part: number): void {
    const crashes = this.#parts.get(part)!
    const unrefuted = [...crashes].filter(([, crash]) => !crash.refuted).sort(([, a], [, b]) => a.at - b.at)
    const episodes = effectiveEpisodes(unrefuted.map(([, crash]) => crash))
    const latestAt = Math.max(...[...crashes.values()].map(crash => crash.at))
    if (crashes.size === 0) {
      this.#parts.delete(part)
      this.#summaries.delete(part)
    } else {
      const endpoints = new Set(unrefuted.map(([endpoint]) => endpoint))
      this.#summaries.set(part, { endpoints, episodes, lastAt: unrefuted[unrefuted.length - 1]?.[1].at ?? -Infinity, latestAt })
    }
    if (episodes >= SUSPECT_EPISODES) this.#suspects.add(part)
    else this.#suspects.delete(part)
  }

  /** Derives the states of suspects, which are compared with each other. */
  #compare (): void {
    const blocked = new Set([...this.#suspects].filter(part => this.#episodesOf(part) >= BLOCKED_EPISODES))
    const states = new Map<number, PartState>()
    for (const part of this.#suspects) {
      if (![...blocked].some(other => this.#explains(other, part))) states.set(part, blocked.has(part) ? 'blocked' : 'suspect')
    }
    this.#states = states
    this.#blocked = new Set([...blocked].filter(part => states.has(part)))
  }

  /** True when a prompt with these parts would tell `part` from another one that was in just the same crashes, and isn't in this prompt. */
  #separates (part: number, parts: readonly number[]): boolean {
    const own = this.#endpointsOf(part)
    return [...this.#blocked].some(other => !parts.includes(other) && isSameSet(own, this.#endpointsOf(other)))
  }

  #stateOf (part: number): PartState {
    return this.#states.get(part) ?? 'sound'
  }

  #episodesOf (part: number): number {
    return this.#summaries.get(part)?.episodes ?? 0
  }

  /** True when all crashes of `part` happened with answers on `other` too, and more did: its answers were at the same engines as those on `other`. */
  #explains (other: number, part: number): boolean {
    const [own, others] = [this.#endpointsOf(part), this.#endpointsOf(other)]
    return others.size > own.size && [...own].every(endpoint => others.has(endpoint))
  }

  #endpointsOf (part: number): ReadonlySet<number> {
    return this.#summaries.get(part)!.endpoints
  }
}

function isSameSet (a: ReadonlySet<number>, b: ReadonlySet<number>): boolean {
  return a.size === b.size && [...a].every(item => b.has(item))
}

function toReport (part: number, endpoint: number, { at, refuted, confirmed }: Crash, now: number): PartCrash {
  return { part, endpoint, ageMs: Math.max(0, Math.round(now - at)), refuted, ...confirmed ? {} : { unconfirmed: true } }
}

/** Episodes of confirmed crashes, or as many as the number of engines is worth. @param crashes in ascending order of time. */
function effectiveEpisodes (crashes: readonly Crash[]): number {
  const confirmed = crashes.filter(crash => crash.confirmed)
  const all = countEpisodes(crashes)
  const isSuspect = confirmed.length >= SUSPECT_ENGINES || (crashes.length >= SUSPECT_ENGINES && all >= SUSPECT_EPISODES)
  const isBlocked = crashes.length >= BLOCKED_ENGINES && all >= BLOCKED_EPISODES
  return Math.max(countEpisodes(confirmed), isBlocked ? BLOCKED_EPISODES : isSuspect ? SUSPECT_EPISODES : 0)
}

/** Counts groups of crashes, each of which begins more than an episode after the one before. @param crashes in ascending order of time. */
function countEpisodes (crashes: readonly Crash[]): number {
  let episodes = 0
  let startedAt = -Infinity
  for (const { at } of crashes) {
    if (at - startedAt <= EPISODE_MS) continue
    startedAt = at
    episodes++
  }
  return episodes
}
