/**
 * Chooses a model engine for a prompt. Load pattern: sessions that return to a prompt they share, some of them far
 * more often than others. Each session has an order of engines by rendezvous, so that all instances send it to the
 * same one with no word between them; a session that alone would overload its engine spills to the next in its order.
 */
import { hashString } from '../Hash.js'
import { rankTop } from '../Rendezvous.js'
import type { EndpointState } from './EndpointState.js'
import type { Prompt } from './Types.js'

const LOAD_BOUND = 1.5 // multiple of the mean load up to which a session's own engine takes it
const NEAR_TOKENS = 1_000 // shared tokens up to which a prompt is read once more in each data centre, so that a cut spares its stream
const LOAD_SLACK = 3 // requests above that bound; small loads vary by as much by chance

/** Why an endpoint was chosen. */
export type ChoiceReason = 'home' | 'spill' | 'lightest' | 'near' | 'only-closed'

export interface Choice {
  readonly state: EndpointState
  readonly reason: ChoiceReason
  /** Requests believed to be there. */
  readonly load: number
}

/** Hash of the prompt's last part that others share: the session or subject that it belongs to. */
export function sessionHash (prompt: Prompt): number {
  const { parts } = prompt
  const shared = parts[Math.max(0, parts.length - 2)]
  return hashString(shared?.id ?? '')
}

/** Tokens of the prompt that others share. */
function sharedTokens (prompt: Prompt): number {
  return prompt.parts.slice(0, -1).reduce((sum, part) => sum + part.tokens, 0)
}

/** Engines to choose from: those of the caller's data centre for a prompt that costs little to read there once more. */
function eligible (prompt: Prompt, dataCentre: string, open: readonly EndpointState[]): readonly EndpointState[] {
  if (sharedTokens(prompt) > NEAR_TOKENS) return open
  const near = open.filter(c => c.endpoint.dataCentre === dataCentre)
  return near.length > 0 ? near : open
}

/** Chooses among `candidates`, none of which the request was sent to before; undefined when there are none. */
export function placePrompt (prompt: Prompt, dataCentre: string, candidates: readonly EndpointState[], now: number): Choice | undefined {
  const usable = candidates.filter(c => c.health.open(now))
  if (usable.length === 0) return soonestOpen(candidates, now)
  const open = eligible(prompt, dataCentre, usable)
  const ranked = rankTop(sessionHash(prompt), open, open.length)
  const loads = new Map(open.map(c => [c, c.load(now)]))
  const mean = [...loads.values()].reduce((sum, load) => sum + load, 0) / open.length
  const bound = mean * LOAD_BOUND + LOAD_SLACK
  const fitting = ranked.find(c => loads.get(c)! < bound) ?? ranked[0]!
  return { state: fitting, reason: fitting === ranked[0] ? 'home' : 'spill', load: loads.get(fitting)! }
}

/** The closed endpoint that opens first: better a trial there than a refusal. */
export function soonestOpen (candidates: readonly EndpointState[], now: number): Choice | undefined {
  let best: EndpointState | undefined
  for (const c of candidates) {
    if (best === undefined || c.health.closedUntil < best.health.closedUntil) best = c
  }
  return best === undefined ? undefined : { state: best, reason: 'only-closed', load: best.load(now) }
}
