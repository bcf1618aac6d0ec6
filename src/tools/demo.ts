/**
 * `npm run demo`: runs a site of the size of the Cusco deployment on loopback under load, while one router is killed, one
 * is stopped, an engine is drained and a configuration file is published. Results are counted at the callers and the
 * stand-ins; only the control traffic is counted by the routers. The last line of output is one JSON object.
 */
import { LoadGenerator, type LoadCounts } from '../load/LoadGenerator.js'
import { compareMarkedRuns } from './MarkedRuns.js'
import { Site, sleep } from './Site.js'
import { loadPlan, referenceSiteSpec, siteConfigFile } from './SiteSpec.js'
import { SkewSampler } from './SkewSampler.js'

const BASE_PORT = 21_000
const LOAD_SECONDS = 20
const SETTLE_MS = 9_000 // key owners accept new keys after one lease duration and the clock skew margin
const KILLED_ROUTER = 'r4'
const STOPPED_ROUTER = 'r7'
const DRAINED_ENGINE = 'e2'
const MIN_MEAN_TOKENS = 100 // load below which the skew is not sampled

function log (text: string): void {
  console.log(`[${new Date().toISOString().slice(11, 19)}] ${text}`)
}

/** Kills a router, drains an engine, publishes a file and stops a router; returns the time until the file was in force, in ms. */
async function injectFaults (site: Site, skew: SkewSampler): Promise<number> {
  await sleep(4_000)
  log(`kill router ${KILLED_ROUTER} (SIGKILL), simulating an instance failure`)
  site.signal(KILLED_ROUTER, 'SIGKILL')
  site.setUnlisted(KILLED_ROUTER, true)
  await site.publishList()
  await sleep(3_000)
  log(`drain engine ${DRAINED_ENGINE}`)
  skew.exclude(DRAINED_ENGINE)
  log(await site.peerApi('r1').drain.mutate({ endpoint: DRAINED_ENGINE, undo: false }))
  await sleep(3_000)
  log('publish a new configuration file')
  const inForceMs = await site.waitUntilInForce(await site.publishConfig(siteConfigFile(site.spec, 60)), 10_000, [KILLED_ROUTER])
  log(`configuration in force on every router after ${Math.round(inForceMs)} ms`)
  log(`stop router ${STOPPED_ROUTER} (SIGTERM), simulating a planned stop`)
  site.signal(STOPPED_ROUTER, 'SIGTERM')
  await site.waitForExit(STOPPED_ROUTER)
  log(`router ${STOPPED_ROUTER} completed its requests and exited`)
  return inForceMs
}

async function main (): Promise<number> {
  const spec = referenceSiteSpec(BASE_PORT)
  const site = new Site(spec)
  try {
    log(`start ${spec.routers} routers, ${spec.engines} engines, ${spec.workers} workers in ${spec.dataCentres.length} data centres`)
    await site.start()
    log('all routers are ready; waiting until the key leases have settled')
    await sleep(SETTLE_MS)
    const load = new LoadGenerator({ ...loadPlan(site), seconds: LOAD_SECONDS, seed: 1 })
    const skew = new SkewSampler(site, MIN_MEAN_TOKENS)
    const before = await site.statuses()
    const started = performance.now()
    log(`generate load: 140 multi-turn chats and 6 callers of marked calls for ${LOAD_SECONDS} s`)
    const progress = setInterval(() => log(`${load.counts.requests} requests, ${load.counts.answered} answered, ${load.counts.wrongAnswers} wrong`), 4_000)
    const [counts, configInForceMs] = await Promise.all([load.run(), injectFaults(site, skew)])
    clearInterval(progress)
    skew.dispose()
    return await printReport(site, counts, configInForceMs, skew, before, (performance.now() - started) / 1000)
  } finally {
    await site.stop()
  }
}

async function printReport (
  site: Site, counts: LoadCounts, configInForceMs: number, skew: SkewSampler, before: Awaited<ReturnType<Site['statuses']>>, seconds: number
): Promise<number> {
  const { doubleRuns, notRunButRan } = await compareMarkedRuns(site, counts)
  const engines = await site.engineStats()
  const sum = (pick: (e: typeof engines[number]) => number): number => engines.reduce((total, e) => total + pick(e), 0)
  const reuse = sum(e => e.returningCached) / Math.max(1, sum(e => e.returningTokens))
  const perNode = (await site.statuses()).flatMap(s => {
    const old = before.find(b => b.id === s.id)
    return old === undefined ? [] : [(s.controlBytes.sent + s.controlBytes.received - old.controlBytes.sent - old.controlBytes.received) / seconds]
  })
  const summary = {
    requests: counts.requests,
    answered: counts.answered,
    notRun: counts.notRun,
    outcomeUnknown: counts.outcomeUnknown,
    wrongAnswers: counts.wrongAnswers,
    cutStreams: counts.cutStreams,
    doubleRuns,
    reuse: round(reuse, 3),
    skew: round(skew.quantile(0.99), 2),
    controlBytesPerSecPerNode: Math.round(perNode.reduce((a, b) => a + b, 0) / perNode.length),
    configInForceMs: Math.round(configInForceMs)
  }
  const latencies = counts.firstTokenMs.sort((a, b) => a - b)
  console.log(`
answered            ${summary.answered} of ${summary.requests} requests; ${summary.notRun} not run, ${summary.outcomeUnknown} outcome unknown
whole answers       ${summary.wrongAnswers} wrong, ${summary.cutStreams} cut, ${counts.resumed} resumed through another entry
at most once        ${counts.calls.size} marked calls, ${doubleRuns} ran twice, ${notRunButRan} ran though refused as not run
first token         p95 ${Math.round(latencies[Math.floor(latencies.length * 0.95)] ?? 0)} ms
prefix reuse        ${(reuse * 100).toFixed(1)}% of the prompt tokens of chats with an earlier answer
skew                ${summary.skew} highest to mean engine load, 99th percentile of samples per second; median ${round(skew.quantile(0.5), 2)}
control traffic     ${summary.controlBytesPerSecPerNode} bytes/s per router, sent and received
new file in force   after ${summary.configInForceMs} ms on every router
not answered        ${summarizeFailures(counts.failures)}
`)
  console.log(JSON.stringify(summary))
  return summary.wrongAnswers + doubleRuns + summary.cutStreams + notRunButRan > 0 ? 1 : 0
}

/** Number of failures by code. */
function summarizeFailures (failures: readonly string[]): string {
  const byCode = new Map<string, number>()
  for (const f of failures) {
    const code = f.split('@')[0]!
    byCode.set(code, (byCode.get(code) ?? 0) + 1)
  }
  return byCode.size === 0 ? 'none' : [...byCode].map(([code, n]) => `${n} ${code}`).join(', ')
}

function round (value: number, digits: number): number {
  return Number(value.toFixed(digits))
}

process.exit(await main())
