/**
 * Chooses an endpoint for a call without cache affinity. Designed for short calls to a few small endpoints. The
 * instance's own data centre is preferred while its endpoint isn't busier than the others.
 */
import { combine, hashString } from '../Hash.js'
import type { EndpointState } from './EndpointState.js'
import { firstToReadmit, type EndpointChoice } from './PromptPlacement.js'

const REMOTE_PENALTY = 0.5 // fraction of an endpoint's slots; keeps traffic inside a data centre while it has capacity

/** Chooses among `candidates`, which exclude endpoints already tried for the request; undefined when there are none. */
export function placeCall (requestId: string, dataCentre: string, candidates: readonly EndpointState[], now: number): EndpointChoice | undefined {
  const available = candidates.filter(c => c.health.isAvailable(now))
  if (available.length === 0) return firstToReadmit(candidates, now)
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
