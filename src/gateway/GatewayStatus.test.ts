/** Tests of the state that a gateway reports to operators, with fakes for the gateway's parts. */
import { describe, expect, it } from 'vitest'
import { EndpointState } from '../common/routing/EndpointState.js'
import { createGatewayStatus, type StatusParts } from './GatewayStatus.js'

const NOW_MS = 100_000
const LIMIT_TTL_MS = 30_000

function createState (id: string, service = 'pool'): EndpointState {
  return new EndpointState({ id, service, address: '127.0.0.1', port: 1, dataCentre: 'a', slots: 8, leaving: false, startedAtMs: 1 })
}

function createParts (states: readonly EndpointState[], more: Partial<StatusParts> = {}): StatusParts {
  return {
    id: 'g1',
    dataCentre: 'a',
    ready: true,
    config: { revision: 7, ageMs: 1_200.4, table: { config: { services: [{ id: 'pool' }, { id: 'idle' }] } } },
    pool: { listAgeMs: 80.6, table: { version: { epoch: 2, revision: 31 } }, states, isLeaving: state => state.endpoint.id === 'e9' },
    evacuations: undefined,
    peers: { fleet: { instances: 4 }, usable: () => ({ items: ['10.0.0.10', '10.0.0.2'] }) },
    ...more
  }
}

describe('the status of a gateway', () => {
  // A part was left out or counted under another service, or was in an order that changed from one read to the next.
  it('has all parts, sorted by name', () => {
    const cold = createState('e10')
    cold.warmUp.limit = { durationMs: 3_000, requestsPerSec: 12 }
    cold.warmUp.recordEntry(1_500, NOW_MS - 100, NOW_MS)
    const limited = createState('e9')
    limited.recordLimit(2.2, NOW_MS - 400)
    const ages = [{ dataCentre: 'c', ageMs: 20.2 }, { dataCentre: 'b', ageMs: 9_000.7 }]
    const parts = createParts([cold, createState('x1', 'other'), limited], { evacuations: { isKnown: true, ages } })
    expect(createGatewayStatus(parts, NOW_MS)).toEqual({
      id: 'g1',
      dataCentre: 'a',
      ready: true,
      config: { revision: 7, ageMs: 1_200 },
      list: { version: { epoch: 2, revision: 31 }, ageMs: 81 },
      services: [
        { service: 'idle', endpoints: 0, leaving: 0 },
        { service: 'other', endpoints: 1, leaving: 0 },
        { service: 'pool', endpoints: 2, leaving: 1 }
      ],
      evacuations: { known: true, inForce: [{ dataCentre: 'b', ageMs: 9_001 }, { dataCentre: 'c', ageMs: 20 }] },
      coldEndpoints: [{ endpoint: 'e10', service: 'pool', leftMs: 1_400, requestsPerSec: 12 }],
      namedLimits: [{ endpoint: 'e9', service: 'pool', requestsPerSec: 2.2, ageMs: 400 }],
      gateways: { counted: 4, live: ['10.0.0.2', '10.0.0.10'] }
    })
  })

  // A warm-up or a limit that had ended was still reported as in force.
  it('has no endpoint that is warm, and no limit that has expired', () => {
    const state = createState('e1')
    state.warmUp.limit = { durationMs: 3_000, requestsPerSec: 12 }
    state.warmUp.recordEntry(1_500, NOW_MS - 1_500, NOW_MS)
    state.recordLimit(2.2, NOW_MS - LIMIT_TTL_MS)
    const { coldEndpoints, namedLimits } = createGatewayStatus(createParts([state]), NOW_MS)
    expect([coldEndpoints, namedLimits]).toEqual([[], []])
  })

  // Infinite ages became null by accident of JSON, and `evacuations` was there as an empty list where data centres are never evacuated.
  it('survives JSON before the first read, and has no evacuations where there are none', () => {
    const parts = createParts([], {
      ready: false,
      config: { revision: 0, ageMs: Infinity, table: undefined },
      pool: { listAgeMs: Infinity, table: { version: { epoch: 0, revision: 0 } }, states: [], isLeaving: () => false }
    })
    const status = createGatewayStatus(parts, NOW_MS)
    expect(JSON.parse(JSON.stringify(status))).toStrictEqual(status)
    expect([status.config, status.list.ageMs, status.services, 'evacuations' in status]).toEqual([{ revision: 0, ageMs: null }, null, [], false])
  })
})
