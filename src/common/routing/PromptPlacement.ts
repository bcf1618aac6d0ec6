/**
 * Chooses a model engine for a prompt. Designed for sessions that return with the prompt they share, some of them far
 * more often than others. A session goes to the engine that holds its prompt. A session without a holder has an order of
 * engines by rendezvous hashing, so that all instances choose alike without coordination. A session that alone would
 * overload its engine spills over to the next engine in its order.
 */
import { hashString } from '../Hash.js'
import { rankTop } from '../Rendezvous.js'
import type { EndpointState } from './EndpointState.js'
import type { Prompt } from './Types.js'

const LOAD_BOUND = 1.5 // multiple of the mean load up to which a session stays on its own engine
const LOAD_SLACK = 3 // requests allowed above the bound; small loads vary by this much at random

/** Why an endpoint was chosen. */
export type ChoiceReason = 'holder' | 'home' | 'spill' | 'lightest' | 'near' | 'only-closed'

/** The endpoint chosen for an attempt. */
export interface EndpointChoice {
  readonly state: EndpointState
  readonly reason: ChoiceReason
  /** Estimated number of requests at the endpoint. */
  readonly load: number
}

/** The parts of a prompt that other requests share: those of its session, and the template that sessions have in common. */
export interface PromptKey {
  /** Hash of the last shared part, which identifies the session or subject of the request. */
  readonly session: number
  /** Hash of the first part. */
  readonly template: number
  readonly templateTokens: number
  /** Tokens of the parts between the template and the request's own part. */
  readonly sessionTokens: number
}

/** Derives the key from the parts of a prompt; the last of several parts is the request's own. */
export function promptKey (prompt: Prompt): PromptKey {
  const { parts } = prompt
  const shared = parts.slice(0, Math.max(1, parts.length - 1))
  const sessionTokens = shared.slice(1).reduce((sum, part) => sum + part.tokens, 0)
  return {
    session: hashString(shared[shared.length - 1]?.id ?? ''),
    template: hashString(shared[0]?.id ?? ''),
    templateTokens: shared[0]?.tokens ?? 0,
    sessionTokens
  }
}

/**
 * Chooses among `candidates`, which exclude endpoints already tried for the request; undefined when there are none.
 * @param session hash of the session.
 * @param holder hash of the engine that holds the session's prompt, if known.
 */
export function placePrompt (session: number, holder: number | undefined, candidates: readonly EndpointState[], now: number): EndpointChoice | undefined {
  const available = candidates.filter(c => c.health.isAvailable(now))
  if (available.length === 0) return firstToReadmit(candidates, now)
  const ranked = rankTop(session, available, available.length)
  const holderState = ranked.find(c => c.hash === holder)
  const order = holderState === undefined ? ranked : [holderState, ...ranked.filter(c => c !== holderState)]
  const loads = new Map(available.map(c => [c, c.load(now)]))
  const mean = [...loads.values()].reduce((sum, load) => sum + load, 0) / available.length
  const bound = mean * LOAD_BOUND + LOAD_SLACK
  const fitting = order.find(c => loads.get(c)! < bound) ?? order[0]!
  const reason = fitting === holderState ? 'holder' : fitting === ranked[0] ? 'home' : 'spill'
  return { state: fitting, reason, load: loads.get(fitting)! }
}

/** The endpoint whose ejection ends first: a trial request there is preferable to rejecting the request. */
export function firstToReadmit (candidates: readonly EndpointState[], now: number): EndpointChoice | undefined {
  let best: EndpointState | undefined
  for (const c of candidates) {
    if (best === undefined || c.health.ejectedUntil < best.health.ejectedUntil) best = c
  }
  return best === undefined ? undefined : { state: best, reason: 'only-closed', load: best.load(now) }
}
