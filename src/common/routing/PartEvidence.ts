/**
 * Evidence that a part of prompts ends the engines that answer it. Designed for requests that share one part and nothing
 * else, come at any instance, and end each engine as it begins to answer, beside sound requests that share their other
 * parts and their engines. A part is judged by the engines that ended when an answer on it was young, unless an answer on it
 * was whole after that: other requests on an engine that ends have whole answers elsewhere, these never have. The evidence
 * of instances is joined as a set, so it may arrive in any order, any number of times.
 */
import type { PartCrash } from '../generated/PeerDatagram.js'

/** Age of an answer from which a crash isn't held against its prompt, and from which the answer shows that the prompt is sound. */
export const YOUNG_ANSWER_MS = 1_000
const EPISODE_MS = 100 // engines that end within this time of each other may have one cause outside of the prompt, and count once
const SUSPECT_EPISODES = 2
const BLOCKED_EPISODES = 3
const FIRST_TRIAL_MS = 20_000 // from the last crash of a blocked part to the next trial
const TRIAL_BACKOFF = 4 // factor of that time for each trial that ended an engine
const MAX_TRIAL_MS = 3_600_000
const REFUTED_TTL_MS = 120_000 // a refutation is kept for as long as older evidence may still arrive
const CRASH_TTL_MS = 600_000 // an earlier crash is no evidence, unless the part is blocked
const MAX_PARTS = 512
const ROOM_FOR_PARTS = 64 // made when there are more
const EXPIRY_INTERVAL_MS = 1_000
const MAX_CRASHES = 16 // of one part

/** How far a part may be used: `suspect` by one request at a time in the fleet, `blocked` only by rare trials. */
export type PartState = 'sound' | 'suspect' | 'blocked'

/** What the evidence says of a prompt. */
export interface PromptVerdict {
  /** The part that is held against it. */
  readonly part: number
  readonly state: Exclude<PartState, 'sound'>
  /** Crashes at different times that are held against the part. */
  readonly episodes: number
  /** When a request with a blocked part may be sent as a trial. */
  readonly nextTrialAt: number
}

interface Crash {
  readonly at: number
  /** True when an answer on the part was whole after the crash. */
  readonly refuted: boolean
}

/** Crashes of one part by the hash of the endpoint's incarnation. */
type Crashes = Map<number, Crash>

interface Charge {
  /** Endpoints whose crashes weren't refuted. */
  readonly endpoints: ReadonlySet<number>
  /** Crashes at different times that weren't refuted. */
  readonly episodes: number
  readonly lastAt: number
}

export class PartEvidence {
  readonly #parts = new Map<number, Crashes>()
  /** What is held against each part by itself. */
  readonly #charges = new Map<number, Charge>()
  /** Parts with enough crashes to be suspect; few, so that they may be compared with each other. */
  readonly #grave = new Set<number>()
  #states: ReadonlyMap<number, PartState> = new Map()
  #blocked: ReadonlySet<number> = new Set()
  #expiredAt = -Infinity

  /** True when there is no evidence against any part. */
  get isEmpty (): boolean {
    return this.#parts.size === 0
  }

  /** All blocked parts. */
  get blockedParts (): ReadonlySet<number> {
    return this.#blocked
  }

  /** Judges a prompt by its gravest part, the last of equals; undefined when all its parts are sound. */
  judge (parts: readonly number[]): PromptVerdict | undefined {
    if (this.isEmpty) return undefined
    const part = parts
      .filter(p => this.#stateOf(p) !== 'sound')
      .reduce<number | undefined>((a, b) => a === undefined || this.#episodesOf(b) >= this.#episodesOf(a) ? b : a, undefined)
    if (part === undefined) return undefined
    const state = this.#stateOf(part)
    const { episodes, lastAt } = this.#charges.get(part)!
    const failedTrials = episodes - BLOCKED_EPISODES
    const nextTrialAt = lastAt + Math.min(MAX_TRIAL_MS, FIRST_TRIAL_MS * TRIAL_BACKOFF ** failedTrials)
    return state === 'blocked' && !this.#separates(part, parts) ? { part, state, episodes, nextTrialAt } : { part, state: 'suspect', episodes, nextTrialAt: -Infinity }
  }

  /** Records that an endpoint ended `ageMs` ago when answers on these parts were young; returns what is new. */
  recordCrash (parts: readonly number[], endpoint: number, ageMs: number, now: number): PartCrash[] {
    return this.merge(parts.map(part => ({ part, endpoint, ageMs, refuted: false })), now)
  }

  /** Records an answer on these parts that shows them to be sound; returns what is new. */
  recordSound (parts: readonly number[], now: number): PartCrash[] {
    if (this.isEmpty) return []
    const refutations = parts.flatMap(part => [...this.#parts.get(part) ?? []]
      .filter(([, crash]) => !crash.refuted)
      .map(([endpoint, crash]) => ({ part, endpoint, ageMs: now - crash.at, refuted: true })))
    return this.merge(refutations, now)
  }

  /** Joins evidence with that of this instance; returns what is new. */
  merge (reports: readonly PartCrash[], now: number): PartCrash[] {
    const news = reports.filter(report => this.#join(report, now))
    if (news.length === 0) return news
    for (const { part } of news) this.#charge(part)
    this.#expire(now)
    this.#compare()
    return news
  }

  /** The evidence to tell peers, the gravest first. */
  reports (max: number, now: number): PartCrash[] {
    const parts = [...this.#parts].sort(([a], [b]) => this.#episodesOf(b) - this.#episodesOf(a))
    const reports: PartCrash[] = []
    for (const [part, crashes] of parts) {
      for (const [endpoint, { at, refuted }] of crashes) reports.push({ part, endpoint, ageMs: Math.max(0, Math.round(now - at)), refuted })
      if (reports.length >= max) break
    }
    return reports.slice(0, max)
  }

  /** Joins one report: the earliest time counts, and a refutation outlasts what it refutes. */
  #join ({ part, endpoint, ageMs, refuted }: PartCrash, now: number): boolean {
    const at = now - ageMs
    if (refuted ? ageMs > REFUTED_TTL_MS && !this.#parts.has(part) : ageMs > CRASH_TTL_MS + MAX_TRIAL_MS) return false
    const crashes: Crashes = this.#parts.get(part) ?? new Map<number, Crash>()
    const known = crashes.get(endpoint)
    crashes.set(endpoint, { at: Math.min(at, known?.at ?? Infinity), refuted: refuted || known?.refuted === true })
    if (known !== undefined && (known.refuted || !refuted)) return false
    if (crashes.size > MAX_CRASHES) crashes.delete(crashes.keys().next().value!)
    this.#parts.set(part, crashes)
    return true
  }

  #expire (now: number): void {
    if (this.#parts.size <= MAX_PARTS && now - this.#expiredAt < EXPIRY_INTERVAL_MS) return
    this.#expiredAt = now
    for (const [part, crashes] of this.#parts) {
      const before = crashes.size
      for (const [endpoint, crash] of crashes) {
        if (now - crash.at > this.#ttlMs(part, crash)) crashes.delete(endpoint)
      }
      if (crashes.size !== before) this.#charge(part)
    }
    if (this.#parts.size > MAX_PARTS) this.#dropLeastGrave()
  }

  #ttlMs (part: number, { refuted }: Crash): number {
    if (refuted) return REFUTED_TTL_MS
    return this.#blocked.has(part) ? CRASH_TTL_MS + MAX_TRIAL_MS : CRASH_TTL_MS
  }

  /** Drops parts until there is room for some more: those with the fewest crashes first, the oldest of them. */
  #dropLeastGrave (): void {
    const parts = [...this.#parts.keys()].sort((a, b) => this.#episodesOf(a) - this.#episodesOf(b))
    for (const part of parts.slice(0, parts.length - MAX_PARTS + ROOM_FOR_PARTS)) {
      this.#parts.get(part)!.clear()
      this.#charge(part)
    }
  }

  /** Sums up what is held against a part; forgets a part without crashes. */
  #charge (part: number): void {
    const crashes = this.#parts.get(part)!
    const unrefuted = [...crashes].filter(([, crash]) => !crash.refuted)
    const times = unrefuted.map(([, crash]) => crash.at).sort((a, b) => a - b)
    const episodes = countEpisodes(times)
    if (crashes.size === 0) {
      this.#parts.delete(part)
      this.#charges.delete(part)
    } else {
      this.#charges.set(part, { endpoints: new Set(unrefuted.map(([endpoint]) => endpoint)), episodes, lastAt: times[times.length - 1] ?? -Infinity })
    }
    if (episodes >= SUSPECT_EPISODES) this.#grave.add(part)
    else this.#grave.delete(part)
  }

  /** Decides on the grave parts, beside each other. */
  #compare (): void {
    const blocked = new Set([...this.#grave].filter(part => this.#episodesOf(part) >= BLOCKED_EPISODES))
    const states = new Map<number, PartState>()
    for (const part of this.#grave) {
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
    return this.#charges.get(part)?.episodes ?? 0
  }

  /** True when all crashes of `part` happened with answers on `other` too, and more did: its answers were beside those on `other`. */
  #explains (other: number, part: number): boolean {
    const [own, others] = [this.#endpointsOf(part), this.#endpointsOf(other)]
    return others.size > own.size && [...own].every(endpoint => others.has(endpoint))
  }

  #endpointsOf (part: number): ReadonlySet<number> {
    return this.#charges.get(part)!.endpoints
  }
}

function isSameSet (a: ReadonlySet<number>, b: ReadonlySet<number>): boolean {
  return a.size === b.size && [...a].every(item => b.has(item))
}

/** Counts groups of times, each of which begins more than an episode after the one before. @param times in ascending order. */
function countEpisodes (times: readonly number[]): number {
  let episodes = 0
  let startedAt = -Infinity
  for (const at of times) {
    if (at - startedAt <= EPISODE_MS) continue
    startedAt = at
    episodes++
  }
  return episodes
}
