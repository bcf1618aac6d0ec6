/**
 * Chooses a model engine for a prompt. Designed for sessions that return with the prompt they share, some of them far
 * more often than others. A session goes to the engine that holds its prompt. A session without a holder has an order of
 * engines by rendezvous hashing, so that all instances choose alike without coordination. A session that alone would
 * overload its engine spills over to the next engine in its order.
 */
import { hashString } from '../Hash.js'
import type { Candidates } from './Candidates.js'
import type { EndpointState } from './EndpointState.js'
import type { Prompt, PromptPart } from './Types.js'

const LOAD_BOUND = 1.5 // multiple of the mean load up to which a session stays on its own engine
const LOAD_SLACK = 3 // requests allowed above the bound; small loads vary by this much at random
const FIRST_RANKED = 8 // engines of a session's order that are looked at first

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

/** The parts that other requests may share: all but the last, which is the request's own. */
export function sharedParts (prompt: Prompt): readonly PromptPart[] {
  return prompt.parts.slice(0, -1)
}

/** Derives the key from the parts of a prompt; the last of several parts is the request's own. */
export function promptKey (prompt: Prompt): PromptKey {
  const shared = prompt.parts.length > 1 ? sharedParts(prompt) : prompt.parts
  const sessionTokens = shared.slice(1).reduce((sum, part) => sum + part.tokens, 0)
  return {
    session: hashString(shared[shared.length - 1]?.id ?? ''),
    template: hashString(shared[0]?.id ?? ''),
    templateTokens: shared[0]?.tokens ?? 0,
    sessionTokens
  }
}

/**
 * Chooses among `candidates`, which exclude endpoints already tried for the request; undefined when there are none. The
 * cost doesn't depend on the number of candidates while the holder has capacity.
 * @param session hash of the session.
 * @param holder hash of the engine that holds the session's prompt, if known.
 */
export function placePrompt (session: number, holder: number | undefined, candidates: Candidates, now: number): EndpointChoice | undefined {
  const bound = candidates.meanLoad() * LOAD_BOUND + LOAD_SLACK
  const holderState = holder === undefined ? undefined : candidates.get(holder)
  const fits = (e: EndpointState): boolean => e.load(now) < bound
  if (holderState !== undefined && fits(holderState)) return { state: holderState, reason: 'holder', load: holderState.load(now) }
  const ranked = candidates.rank(session, FIRST_RANKED)
  const home = ranked[0]
  if (home === undefined && holderState !== undefined) return { state: holderState, reason: 'holder', load: holderState.load(now) }
  if (home === undefined) return readmit(candidates, now)
  const fitting = ranked.find(fits) ?? candidates.rank(session, candidates.size).find(fits) ?? holderState ?? home
  const reason = fitting === holderState ? 'holder' : fitting === home ? 'home' : 'spill'
  return { state: fitting, reason, load: fitting.load(now) }
}

/** Places a request at an ejected endpoint, when there is no other. */
export function readmit (candidates: Candidates, now: number): EndpointChoice | undefined {
  const state = candidates.firstToReadmit()
  return state === undefined ? undefined : { state, reason: 'only-closed', load: state.load(now) }
}
