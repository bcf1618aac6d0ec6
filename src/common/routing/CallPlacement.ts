/**
 * Chooses an endpoint for a call without cache affinity. Designed for short calls to a few small endpoints. The
 * instance's own data centre is preferred while its endpoint isn't busier than the others.
 */
import { combine, hashString } from '../Hash.js'
import type { Candidates } from './Candidates.js'
import type { EndpointState } from './EndpointState.js'
import { readmit, type EndpointChoice } from './PromptPlacement.js'

const REMOTE_PENALTY = 0.5 // fraction of an endpoint's slots; keeps traffic inside a data centre while it has capacity
const MAX_COMPARED = 16 // endpoints of a large service that are compared for one request, half of them in the own data centre

/** Chooses among `candidates`, which exclude endpoints already tried for the request; undefined when there are none. */
export function placeCall (requestId: string, dataCentre: string, candidates: Candidates, now: number): EndpointChoice | undefined {
  const tieBreaker = hashString(requestId)
  const compared = selectCompared(tieBreaker, dataCentre, candidates)
  if (compared.length === 0) return readmit(candidates, now)
  const cost = (e: EndpointState): number => {
    const utilisation = e.load(now) / Math.max(1, e.endpoint.slots)
    const remote = e.endpoint.dataCentre === dataCentre ? 0 : REMOTE_PENALTY
    return utilisation + remote + e.health.failureRate(now) + combine(tieBreaker, e.hash) / 2 ** 32 * 0.01
  }
  let best = compared[0]!
  let least = cost(best)
  for (const e of compared) {
    const other = cost(e)
    if (other >= least) continue
    best = e
    least = other
  }
  return { state: best, reason: best.endpoint.dataCentre === dataCentre ? 'near' : 'lightest', load: best.load(now) }
}

/** All candidates of a small service; of a large one a sample that differs from request to request. */
function selectCompared (tieBreaker: number, dataCentre: string, candidates: Candidates): readonly EndpointState[] {
  if (candidates.size <= MAX_COMPARED) return candidates.rank(tieBreaker, MAX_COMPARED)
  const near = candidates.rank(tieBreaker, MAX_COMPARED / 2, e => e.endpoint.dataCentre === dataCentre)
  return [...near, ...candidates.rank(tieBreaker, MAX_COMPARED / 2)]
}
