/**
 * Chooses a model engine for a prompt. Load pattern: sessions that return to a prompt they share, some of them far
 * more often than others. A session goes to the engine that holds its prompt. One without a holder has an order of
 * engines by rendezvous, so that all instances choose alike with no word between them. A session that alone would
 * overload its engine spills to the next in its order.
 */
import { hashString } from '../Hash.js'
import { rankTop } from '../Rendezvous.js'
import type { EndpointState } from './EndpointState.js'
import type { Prompt } from './Types.js'

const LOAD_BOUND = 1.5 // multiple of the mean load up to which a session's own engine takes it
const LOAD_SLACK = 3 // requests above that bound; small loads vary by as much by chance

/** Why an endpoint was chosen. */
export type ChoiceReason = 'holder' | 'home' | 'spill' | 'lightest' | 'near' | 'only-closed'

export interface EndpointChoice {
  readonly state: EndpointState
  readonly reason: ChoiceReason
  /** Requests believed to be there. */
  readonly load: number
}

/** What of a prompt other requests share: its session, and the template that sessions share in turn. */
export interface PromptKey {
  /** Hash of the last part that others share: the session or subject that the request belongs to. */
  readonly session: number
  /** Hash of the first part. */
  readonly template: number
  readonly templateTokens: number
  /** Tokens of the parts between the template and the request's own. */
  readonly sessionTokens: number
}

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
 * Chooses among `candidates`, none of which the request was sent to before; undefined when there are none.
 * @param session hash of the session.
 * @param holder hash of the engine that holds the session's prompt, when one is known.
 */
export function placePrompt (session: number, holder: number | undefined, candidates: readonly EndpointState[], now: number): EndpointChoice | undefined {
  const available = candidates.filter(c => c.health.isAvailable(now))
  if (available.length === 0) return firstToReturn(candidates, now)
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

/** The closed endpoint that opens first: better a trial there than a refusal. */
export function firstToReturn (candidates: readonly EndpointState[], now: number): EndpointChoice | undefined {
  let best: EndpointState | undefined
  for (const c of candidates) {
    if (best === undefined || c.health.ejectedUntil < best.health.ejectedUntil) best = c
  }
  return best === undefined ? undefined : { state: best, reason: 'only-closed', load: best.load(now) }
}
