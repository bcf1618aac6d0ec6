/** Tests of the table that `radishloftctl status --gateway` prints. */
import { describe, expect, it } from 'vitest'
import type { GatewayStatus } from '../common/GatewayStatus.js'
import { formatGatewayStatus } from './GatewayTable.js'

const IDLE: GatewayStatus = {
  id: 'g1',
  dataCentre: 'a',
  ready: false,
  config: { revision: 0, ageMs: null },
  list: { version: { epoch: 0, revision: 0 }, ageMs: null },
  services: [],
  coldEndpoints: [],
  namedLimits: [],
  gateways: { counted: 64, live: ['10.0.0.1'] }
}

describe('the table of a gateway\'s status', () => {
  // What is in force was left out of the table, or printed with another unit.
  it('has a row for all that is in force', () => {
    const text = formatGatewayStatus({
      ...IDLE,
      ready: true,
      config: { revision: 7, ageMs: 1_234 },
      list: { version: { epoch: 2, revision: 31 }, ageMs: 80 },
      services: [{ service: 'pool', endpoints: 12, leaving: 1 }],
      evacuations: { known: true, inForce: [{ dataCentre: 'b', ageMs: 61_000 }] },
      coldEndpoints: [{ endpoint: 'e10', service: 'pool', leftMs: 1_400, requestsPerSec: 12 }],
      namedLimits: [{ endpoint: 'e9', service: 'pool', requestsPerSec: 2.2, ageMs: 400 }]
    })
    expect(text).toMatchInlineSnapshot(`
      "GATEWAY  DATA CENTRE  STATE  REVISION  AGE    LIST  AGE    GATEWAYS  LIVE
      g1       a            ready  7         1.2 s  2/31  0.1 s  64        1

      SERVICE  ENDPOINTS  LEAVING
      pool     12         1

      EVACUATED  AGE
      b          61.0 s

      COLD ENDPOINT  SERVICE  LEFT   PER SECOND
      e10            pool     1.4 s  12

      NAMED LIMIT OF  SERVICE  AGE    PER SECOND
      e9              pool     0.4 s  2.2"
    `)
  })

  // A gateway that had read nothing yet looked like one without any evacuation.
  it('tells that the evacuations aren\'t known, and has no empty tables', () => {
    expect(formatGatewayStatus({ ...IDLE, evacuations: { known: false, inForce: [] } })).toMatchInlineSnapshot(`
      "GATEWAY  DATA CENTRE  STATE      REVISION  AGE  LIST  AGE  GATEWAYS  LIVE
      g1       a            not ready  0         -    0/0   -    64        1

      evacuations not known yet: every data centre counts as evacuated"
    `)
  })
})
