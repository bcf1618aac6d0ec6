/** Measures the latency that routers add to a direct call of the engine, and the capacity of one router process. */
import { Agent } from 'undici'
import { SeededRandom } from '../common/SeededRandom.js'
import { Balancer } from '../load/Balancer.js'
import { ChatCaller } from '../load/ChatCaller.js'
import { Site, sleep } from '../tools/Site.js'
import { referenceSiteSpec, apiKeyOf, type SiteSpec } from '../tools/SiteSpec.js'
import { quantile } from './Quantiles.js'

const BASE_PORT = 28_000
const OVERHEAD_RATE = 200
const OVERHEAD_SEC = 10

/** Site with fast engines, so that the routers and not the engines limit the results. */
function benchSpec (routers: number, engines: number): SiteSpec {
  const engine = { slots: 4_096, prefillTokensPerSec: 1e9, decodeTokensPerSec: 100, cacheTokens: 1e6 }
  return { ...referenceSiteSpec(BASE_PORT), dataCentres: ['dc-a'], routers, engines, workers: 1, engine, loadBound: 4 }
}

interface OpenLoopResult {
  readonly firstTokenMs: number[]
  readonly failed: number
}

/** Sends chats in an open loop; returns the times to the first token. */
async function runOpenLoop (balancer: Balancer, agent: Agent, ratePerSec: number, seconds: number, tokens: number): Promise<OpenLoopResult> {
  const caller = new ChatCaller(agent, balancer, apiKeyOf('looms'))
  const firstTokenMs: number[] = []
  let failed = 0
  const pending: Array<Promise<void>> = []
  const startedAt = performance.now()
  for (let i = 0; i < ratePerSec * seconds; i++) {
    const delayMs = startedAt + i * 1000 / ratePerSec - performance.now()
    if (delayMs > 0) await sleep(delayMs)
    pending.push(caller.chat('looms', { model: 'assistant', messages: [{ role: 'user', content: `bench ${i}` }], max_tokens: tokens, user: `${i}` }).then(r => {
      if (r.correct) firstTokenMs.push(r.firstTokenMs)
      else failed++
    }))
  }
  await Promise.all(pending)
  return { firstTokenMs, failed }
}

/** Times to the first token without routers, and what the routers add. */
export interface OverheadResult {
  readonly ratePerSec: number
  readonly directP50Ms: number
  readonly directP99Ms: number
  readonly addedP50Ms: number
  readonly addedP99Ms: number
  readonly failed: number
}

/** Measures with several routers, so that most chats take both hops, and sends the same load directly to the engines in the same run. */
export async function benchOverhead (): Promise<OverheadResult> {
  const site = new Site(benchSpec(4, 4))
  const agent = new Agent({ connections: null, pipelining: 1 })
  try {
    await site.start()
    await sleep(2_000)
    const routers = new Balancer(site.entries, new SeededRandom(1), agent)
    const engines = new Balancer(site.names.engines.map(e => `http://127.0.0.1:${e.port}`), new SeededRandom(1), agent)
    await routers.check()
    await runOpenLoop(routers, agent, OVERHEAD_RATE, 3, 2)
    const direct = await runOpenLoop(engines, agent, OVERHEAD_RATE, OVERHEAD_SEC, 2)
    const routed = await runOpenLoop(routers, agent, OVERHEAD_RATE, OVERHEAD_SEC, 2)
    routers.dispose()
    engines.dispose()
    const added = (q: number): number => round(quantile(routed.firstTokenMs, q) - quantile(direct.firstTokenMs, q))
    return {
      ratePerSec: OVERHEAD_RATE,
      directP50Ms: round(quantile(direct.firstTokenMs, 0.5)),
      directP99Ms: round(quantile(direct.firstTokenMs, 0.99)),
      addedP50Ms: added(0.5),
      addedP99Ms: added(0.99),
      failed: direct.failed + routed.failed
    }
  } finally {
    await site.stop()
    await agent.destroy()
  }
}

/** Throughput of one router and its CPU use. */
export interface CapacityResult {
  readonly requestsPerSec: number
  readonly tokensPerSec: number
  readonly cpuPct: number
  /** Extrapolated to a fully used core. */
  readonly requestsPerSecPerCore: number
  readonly tokensPerSecPerCore: number
  readonly failed: number
}

/** Measures one router that is the entry and the home of all engines. */
export async function benchCapacity (ratePerSec: number, tokens: number, seconds: number): Promise<CapacityResult> {
  const site = new Site(benchSpec(1, 4))
  const agent = new Agent({ connections: null, pipelining: 1 })
  try {
    await site.start()
    await sleep(2_000)
    const balancer = new Balancer(site.entries, new SeededRandom(1), agent)
    await balancer.check()
    await runOpenLoop(balancer, agent, ratePerSec / 4, 2, tokens)
    const cpuBefore = site.cpuSeconds('r1')
    const startedAt = performance.now()
    const { firstTokenMs, failed } = await runOpenLoop(balancer, agent, ratePerSec, seconds, tokens)
    const elapsed = (performance.now() - startedAt) / 1000
    const cpu = (site.cpuSeconds('r1') - cpuBefore) / elapsed
    balancer.dispose()
    const requests = firstTokenMs.length / elapsed
    return {
      requestsPerSec: Math.round(requests),
      tokensPerSec: Math.round(requests * tokens),
      cpuPct: Math.round(cpu * 100),
      requestsPerSecPerCore: Math.round(requests / cpu),
      tokensPerSecPerCore: Math.round(requests * tokens / cpu),
      failed
    }
  } finally {
    await site.stop()
    await agent.destroy()
  }
}

function round (value: number): number {
  return Number(value.toFixed(2))
}
