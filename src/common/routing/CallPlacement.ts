/**
 * Chooses an endpoint for a call that leaves nothing behind in a cache. Load pattern: short calls to a few small
 * endpoints. The instance's own data centre goes first while its endpoint isn't busier than the others.
 */
import { combine, hashString } from '../Hash.js'
import type { EndpointState } from './EndpointState.js'
import { firstToReturn, type EndpointChoice } from './PromptPlacement.js'

const REMOTE_PENALTY = 0.5 // part of an endpoint's slots; keeps bytes inside a data centre while there is room

/** Chooses among `candidates`, none of which the request was sent to before; undefined when there are none. */
export function placeCall (requestId: string, dataCentre: string, candidates: readonly EndpointState[], now: number): EndpointChoice | undefined {
  const available = candidates.filter(c => c.health.isAvailable(now))
  if (available.length === 0) return firstToReturn(candidates, now)
  const tieBreaker = hashString(requestId)
  const cost = (c: EndpointState): number => {
    const utilisation = c.load(now) / Math.max(1, c.endpoint.slots)
    const remote = c.endpoint.dataCentre === dataCentre ? 0 : REMOTE_PENALTY
    return utilisation + remote + c.health.failureRate(now) + combine(tieBreaker, c.hash) / 2 ** 32 * 0.01
  }
  let best = available[0]!
  for (const c of available) {
    if (cost(c) < cost(best)) best = c
  }
  return { state: best, reason: best.endpoint.dataCentre === dataCentre ? 'near' : 'lightest', load: best.load(now) }
}
