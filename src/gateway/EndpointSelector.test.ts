import { pino } from 'pino'
import { describe, expect, it } from 'vitest'
import { hashString } from '../common/Hash.js'
import type { Endpoint } from '../common/routing/Types.js'
import { FakeClock } from '../common/TestUtils.test.js'
import { EndpointPool } from './EndpointPool.js'
import { EndpointSelector, type SelectorServices } from './EndpointSelector.js'
import { GatewayMetrics } from './GatewayMetrics.js'
import type { RoutedRequest } from './Types.js'

const endpoint = (id: string, dataCentre: string): Endpoint => ({ id, service: 'engines', address: id, port: 80, dataCentre, slots: 8, leaving: false, startedAtMs: 1, warmUpMs: 0 })

/** Chooses an engine for a prompt whose session's owner answers with these engines. */
async function choose (engine: string, source: string, regions?: readonly string[]): Promise<Array<string | undefined>> {
  const clock = new FakeClock()
  const pool = new EndpointPool(clock, pino({ level: 'silent' }), { regionOf: new Map([['a', 'north'], ['b', 'south']]) })
  pool.update({ version: { epoch: 1, revision: 1 }, endpoints: [endpoint('n1', 'a'), endpoint('n2', 'a'), endpoint('s1', 'b')] }, 0)
  const sessionAffinity = { resolve: async () => ({ endpoint: hashString(engine), source: hashString(source), decidedBy: 'owner' }) }
  const services = { clock, pool, sessionAffinity, limiter: { isLimited: () => false }, metrics: new GatewayMetrics(), dataCentre: 'a' } as unknown as SelectorServices
  const request = { id: 'r', prompt: { parts: [{ id: 'p', tokens: 9 }], promptTokens: 9, maxAnswerTokens: 9 } } as unknown as RoutedRequest
  const selector = new EndpointSelector(services, 'engines', request, regions)
  const choice = await selector.select()
  return [choice?.state.endpoint.dataCentre, choice === undefined ? undefined : selector.promptSource(pool.get(choice.state.hash)!)?.id]
}

describe('EndpointSelector, for a request that may go to some regions only', () => {
  // An owner of an earlier version knows nothing of the restriction.
  it('copies no prompt from an engine outside, and sends none there, whatever the owner of the session answers', async () => {
    const choices = [await choose('n1', 's1'), await choose('n1', 's1', ['north']), await choose('n1', 'n2', ['north']), await choose('s1', 'n2', ['north']), await choose('n1', 'n2', ['east'])]
    expect(choices).toEqual([['a', 's1'], ['a', undefined], ['a', 'n2'], ['a', undefined], [undefined, undefined]])
  })
})
