/**
 * Decides for all instances which engine holds the prompt of a session. Designed for sessions that return and share the
 * first part of their prompts (a template) with others, where many new sessions arrive within seconds. A session stays
 * with its holder. A new session goes to its first engine by rendezvous hashing, where it is found again after the
 * directory was lost, unless that engine has a much longer prefill backlog or far more requests than another. Parts of
 * the prompt that the engine lacks are copied from an engine that has them.
 */
import { ChatDirectory } from '../placement/ChatDirectory.js'
import type { Candidates } from './Candidates.js'
import type { EndpointState } from './EndpointState.js'
import type { PromptKey } from './PromptPlacement.js'
import { PrefillBacklog } from './PrefillBacklog.js'

const MAX_SESSIONS = 16_384
const MAX_TEMPLATES = 512
const MAX_TEMPLATE_ENGINES = 64 // engines remembered for a template; a prompt can be copied from any of them
const MAX_COMPARED = 16 // engines that are compared for a new session: the first of its order
const TEMPLATE_TTL_MS = 60_000 // a template unused for longer may have been evicted
const PREFILL_TOKENS_PER_MS = 40 // prefill rate of an engine
const FIRST_RANKED_PREFERENCE_MS = 150 // extra delay accepted for using the first engine by rendezvous hashing
const EXCESS_REQUEST_MS = 30 // expected delay per request above the mean load
const FAILURE_PENALTY_MS = 2_000 // expected delay at an engine that fails all its requests

/** Holders of sessions and templates, kept by the instance that decides for them. */
export class HolderDirectory {
  readonly #sessions = new ChatDirectory(MAX_SESSIONS)
  /** For each template, when each engine last got a session that uses it, in that order. */
  readonly #templates = new Map<number, Map<number, number>>()
  readonly #backlog = new PrefillBacklog(PREFILL_TOKENS_PER_MS)

  /** Hash of the engine last recorded as the session's holder. */
  holderOf (session: number): number | undefined {
    return this.#sessions.get(session, 0)?.endpoint
  }

  /**
   * Hash of an engine to copy the session's prompt from, or else its template; undefined when there is none or `endpoint`
   * itself holds the template. @param isSource true when prompts may be copied from an engine, which still runs.
   */
  copySource (key: PromptKey, endpoint: number, isSource: (endpoint: number) => boolean, now: number): number | undefined {
    const holder = this.holderOf(key.session)
    if (holder !== undefined && holder !== endpoint && isSource(holder)) return holder
    if (this.#holdsTemplate(key.template, endpoint, now)) return undefined
    for (const [engine, usedAt] of this.#templates.get(key.template) ?? []) { // the latest may still be reading the template
      if (engine !== endpoint && now - usedAt < TEMPLATE_TTL_MS && isSource(engine)) return engine
    }
    return undefined
  }

  /** Records the engine that holds a session and its template. */
  record (key: PromptKey, endpoint: number, now: number): void {
    this.#sessions.set(key.session, 0, endpoint, 0)
    const engines = this.#templates.get(key.template) ?? new Map<number, number>()
    this.#templates.delete(key.template) // re-inserted at the end, which keeps the map in order of use
    this.#templates.set(key.template, engines)
    engines.delete(endpoint)
    engines.set(endpoint, now)
    if (engines.size > MAX_TEMPLATE_ENGINES) engines.delete(engines.keys().next().value!)
    if (this.#templates.size > MAX_TEMPLATES) this.#templates.delete(this.#templates.keys().next().value!)
  }

  /** Chooses the engine for a session that has no holder; undefined when there are no candidates. */
  choose (key: PromptKey, candidates: Candidates, now: number): EndpointState | undefined {
    const [firstRanked = candidates.firstToReadmit(), ...others] = candidates.rank(key.session, MAX_COMPARED)
    if (firstRanked === undefined) return undefined
    const meanLoad = candidates.meanLoad()
    let best = firstRanked
    let least = this.#delayMs(firstRanked, key, meanLoad, now) - FIRST_RANKED_PREFERENCE_MS
    for (const e of others) {
      const delay = this.#delayMs(e, key, meanLoad, now)
      if (delay >= least) continue
      least = delay
      best = e
    }
    this.#backlog.add(best.hash, key.sessionTokens + key.templateTokens, now)
    return best
  }

  /** Expected delay of a session's first token at an engine, in ms. */
  #delayMs (c: EndpointState, key: PromptKey, meanLoad: number, now: number): number {
    const excessMs = Math.max(0, c.load(now) - meanLoad) * EXCESS_REQUEST_MS
    const limitMs = 1_000 / (c.limitPerSec(now) ?? Infinity)
    return this.#backlog.remainingMs(c.hash, now) + excessMs + limitMs + this.#coldMs(c, key, now) + c.health.failureRate(now) * FAILURE_PENALTY_MS
  }

  /** Time that a cold engine takes to read what it hasn't cached: its few requests go to short prompts and templates that it has. */
  #coldMs (c: EndpointState, key: PromptKey, now: number): number {
    if (!c.warmUp.isCold(now)) return 0
    const templateTokens = this.#holdsTemplate(key.template, c.hash, now) ? 0 : key.templateTokens
    return (key.sessionTokens + templateTokens) / PREFILL_TOKENS_PER_MS
  }

  #holdsTemplate (template: number, endpoint: number, now: number): boolean {
    return now - (this.#templates.get(template)?.get(endpoint) ?? -Infinity) < TEMPLATE_TTL_MS
  }
}
