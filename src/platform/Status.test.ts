/** End-to-end tests on loopback of the state that a gateway serves to operators, and of the client that reads it. */
import { createServer, type AddressInfo } from 'node:net'
import { afterEach, beforeEach, describe, expect, it } from 'vitest'
import type { GatewayStatus } from '../common/GatewayStatus.js'
import { readGatewayStatus } from '../ctl/GatewayClient.js'
import { freePort } from '../tools/FreePort.js'
import { call, createConfig, sleep, startSite, type TestSite } from './TestUtils.test.js'

const API_KEY = 'k1'
const COLD_MS = 20_000
const MAX_AGE_MS = 10_000 // of what was read or written within the test
const POLL_MS = 50

const stops: Array<() => void> = []
let site: TestSite
let metricsAddress: string
let readinessPort: number

beforeEach(async () => {
  const metricsPort = await freePort()
  readinessPort = await freePort()
  metricsAddress = `127.0.0.1:${metricsPort}`
  const services = [{ name: 'pool', health_path: '/healthz', max_conns: 100, cold_s: COLD_MS / 1_000, cold_per_s: 12 }]
  const settings = { metrics: { address: '127.0.0.1', port: metricsPort }, readiness: { address: '127.0.0.1', port: readinessPort }, evacuationMs: 4_000 }
  site = await startSite({ config: { ...createConfig(7), services }, settings })
  stops.push(site.stop)
})

afterEach(() => { stops.splice(0).forEach(stop => stop()) })

async function readStatus (): Promise<GatewayStatus> {
  return (await readGatewayStatus(metricsAddress))._unsafeUnwrap()
}

/** Reads the status until it has what the test waits for. */
async function statusWith (holds: (status: GatewayStatus) => boolean): Promise<GatewayStatus> {
  for (;;) {
    const status = await readStatus()
    if (holds(status)) return status
    await sleep(POLL_MS)
  }
}

const isRecent = (ageMs: number | null | undefined): boolean => typeof ageMs === 'number' && ageMs >= 0 && ageMs < MAX_AGE_MS

describe('the status of a running gateway', () => {
  // An operator saw the state of an emptied data centre, a cold or a limited endpoint only in the logs of the gateways.
  it('has what the gateway knows of its configuration, endpoints, evacuations and limits', async () => {
    site.workers[0]!.requestsPerSec = 50
    await call(site.port, '/write/1')
    await call(site.port, '/write/2')
    site.store.put('servers/w2', { ...site.workers[1]!.storeEntry('pool'), cold_left_ms: COLD_MS })
    site.store.put('op/evacuate/b', {})
    for (let i = 0; (await readStatus()).namedLimits.length === 0; i++) await call(site.port, `/write/more${i}`)
    const status = await statusWith(s => s.evacuations?.inForce.length === 1 && s.coldEndpoints.length === 1)
    const { config, list, evacuations, coldEndpoints, namedLimits, ...rest } = status
    expect(rest).toEqual({
      id: 'gateway-127.0.0.1',
      dataCentre: 'a',
      ready: true,
      services: [{ service: 'pool', endpoints: 2, leaving: 0 }],
      gateways: { counted: 4, live: ['127.0.0.1'] }
    })
    expect([config.revision, list.version.revision > 0, evacuations?.known]).toEqual([7, true, true])
    expect([evacuations?.inForce[0]?.dataCentre, coldEndpoints[0]?.endpoint, namedLimits[0]]).toMatchObject(['b', 'w2', { endpoint: 'w1', requestsPerSec: 50 }])
    expect([config.ageMs, list.ageMs, evacuations?.inForce[0]?.ageMs, namedLimits[0]?.ageMs].map(isRecent)).toEqual([true, true, true, true])
    expect(coldEndpoints[0]!.leftMs > COLD_MS - MAX_AGE_MS && coldEndpoints[0]!.leftMs <= COLD_MS).toBe(true)
  })

  // The state of the fleet was open to callers, or told their keys.
  it('is served on the metrics address alone, without keys', async () => {
    const readiness = await fetch(`http://127.0.0.1:${readinessPort}/status`)
    const callers = await fetch(`http://127.0.0.1:${site.port}/status`, { headers: { authorization: `Bearer ${API_KEY}` } })
    const metrics = await fetch(`http://${metricsAddress}/status`)
    expect([readiness.status, callers.ok, metrics.status, metrics.headers.get('content-type')]).toEqual([404, false, 200, 'application/json'])
    expect(await metrics.text()).not.toContain(`"${API_KEY}"`)
  })
})

describe('reading the status of a gateway', () => {
  // The client printed a stack trace, or a table of a server that is no gateway.
  it('fails with the address and the reason where no gateway answers', async () => {
    const closed = `127.0.0.1:${await freePort()}`
    const other = createServer(socket => { socket.on('error', () => {}).end('HTTP/1.1 200 OK\r\nContent-Length: 2\r\nConnection: close\r\n\r\n{}') })
    await new Promise<void>(resolve => other.listen(0, '127.0.0.1', resolve))
    stops.push(() => { other.close() })
    const addresses = [closed, `127.0.0.1:${readinessPort}`, `127.0.0.1:${(other.address() as AddressInfo).port}`]
    const errors = await Promise.all(addresses.map(async address => (await readGatewayStatus(address))._unsafeUnwrapErr()))
    expect(errors).toEqual([
      { step: 'call', peer: closed, detail: `connect ECONNREFUSED ${closed}` },
      { step: 'call', peer: addresses[1], detail: 'answers 404, not the state of a gateway' },
      { step: 'call', peer: addresses[2], detail: 'answers 200, not the state of a gateway' }
    ])
  })
})
