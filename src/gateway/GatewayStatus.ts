/** Collects the state that a gateway reports to operators. */
import type { ColdEndpointStatus, GatewayStatus, NamedLimitStatus, ServiceEndpoints } from '../common/GatewayStatus.js'
import type { ListVersion } from '../common/generated/PeerDatagram.js'
import type { EndpointState } from '../common/routing/EndpointState.js'
import type { EvacuationAge } from '../common/routing/EvacuationSet.js'

/** Parts of a gateway whose state is reported. */
export interface StatusParts {
  readonly id: string
  readonly dataCentre: string
  readonly ready: boolean
  readonly config: {
    readonly revision: number
    readonly ageMs: number
    readonly table: { readonly config: { readonly services: ReadonlyArray<{ readonly id: string }> } } | undefined
  }
  readonly pool: {
    readonly listAgeMs: number
    readonly table: { readonly version: ListVersion }
    readonly states: Iterable<EndpointState>
    isLeaving (state: EndpointState): boolean
  }
  /** Undefined where data centres are never evacuated. */
  readonly evacuations: { readonly isKnown: boolean, readonly ages: readonly EvacuationAge[] } | undefined
  readonly peers: {
    readonly fleet: { readonly instances: number }
    usable (): { readonly items: readonly string[] }
  }
}

/** State of a gateway at `now`. */
export function createGatewayStatus (parts: StatusParts, now: number): GatewayStatus {
  const { id, dataCentre, ready, config, pool, evacuations, peers } = parts
  const states = [...pool.states].sort((a, b) => compareNames(a.endpoint.id, b.endpoint.id))
  return {
    id,
    dataCentre,
    ready,
    config: { revision: config.revision, ageMs: toAge(config.ageMs) },
    list: { version: pool.table.version, ageMs: toAge(pool.listAgeMs) },
    services: countByService(parts, states),
    ...(evacuations === undefined ? {} : { evacuations: { known: evacuations.isKnown, inForce: sortedAges(evacuations.ages) } }),
    coldEndpoints: states.flatMap(state => coldEndpoint(state, now)),
    namedLimits: states.flatMap(state => namedLimit(state, now)),
    gateways: { counted: peers.fleet.instances, live: [...peers.usable().items].sort(compareNames) }
  }
}

/** Numbers within names are compared by value, so that e10 comes after e9. */
function compareNames (a: string, b: string): number {
  return a.localeCompare(b, undefined, { numeric: true })
}

/** Whole milliseconds; null for what was never read, as JSON has no Infinity. */
function toAge (ageMs: number): number | null {
  return ageMs === Infinity ? null : Math.round(ageMs)
}

function sortedAges (ages: readonly EvacuationAge[]): EvacuationAge[] {
  const rounded = ages.map(({ dataCentre, ageMs }) => ({ dataCentre, ageMs: Math.round(ageMs) }))
  return rounded.sort((a, b) => compareNames(a.dataCentre, b.dataCentre))
}

/** Counts the endpoints of each service that is configured or has some. */
function countByService ({ config, pool }: StatusParts, states: readonly EndpointState[]): ServiceEndpoints[] {
  const counts = new Map((config.table?.config.services ?? []).map(({ id }) => [id, { endpoints: 0, leaving: 0 }]))
  for (const state of states) {
    const { service } = state.endpoint
    const count = counts.get(service) ?? { endpoints: 0, leaving: 0 }
    count.endpoints++
    if (pool.isLeaving(state)) count.leaving++
    counts.set(service, count)
  }
  return [...counts].map(([service, count]) => ({ service, ...count })).sort((a, b) => compareNames(a.service, b.service))
}

function coldEndpoint ({ endpoint: { id, service }, warmUp }: EndpointState, now: number): ColdEndpointStatus[] {
  const requestsPerSec = warmUp.requestsPerSec(now)
  return requestsPerSec === undefined ? [] : [{ endpoint: id, service, leftMs: Math.ceil(warmUp.coldUntil - now), requestsPerSec }]
}

function namedLimit (state: EndpointState, now: number): NamedLimitStatus[] {
  const requestsPerSec = state.namedLimitPerSec(now)
  const { id, service } = state.endpoint
  return requestsPerSec === undefined ? [] : [{ endpoint: id, service, requestsPerSec, ageMs: Math.round(now - state.limit.at) }]
}
