#!/usr/bin/env node
/**
 * `npm run soak -- --seed N --seconds S [--gateways K]`: randomised fault test of real gateway processes on loopback.
 * Prints one JSON line. Exit code 1 when a guarantee was violated; then the trace of the first violation is printed and
 * the logs are kept. `--seeds FILE` runs all listed seeds; soak/seeds.json lists those that failed in the past.
 */
import { readFileSync } from 'node:fs'
import { setTimeout as sleep } from 'node:timers/promises'
import { Command } from 'commander'
import { SeededRandom } from '../common/SeededRandom.js'
import { findViolations, type Observations } from './Checks.js'
import { PauseRecorder } from './PauseRecorder.js'
import { RouteProbes } from './RouteProbes.js'
import { SoakCallers } from './SoakCallers.js'
import { SoakFaults } from './SoakFaults.js'
import { CONFIG_APPLY_MS, DRAIN_MS, EVACUATION_MS, RETRY_BURST, RETRY_RATIO, SoakSite, type SoakSize } from './SoakSite.js'
import type { Violation } from './Types.js'

const SETTLE_MS = 3_500 // until all gateways are connected to each other and the store
const FINISH_MS = 1_500 // for requests still in flight at the end
const MAX_TRACE_LINES = 40
const CALLERS_PER_GATEWAY = 3
const PAUSE_MS = 30 // between the requests of a caller
const SLOW_PAUSE_MS = 1_000 // few requests, beside which the retry burst is large
const LATE_SEEDS_EVERY = 4 // seeds of such a run start long after the other gateways

/** Command line options. */
interface Flags extends SoakSize {
  readonly seed: number
  readonly seconds: number
  readonly lateSeeds?: boolean
}

/** Occurrences of each value. */
function countValues (values: readonly string[]): Record<string, number> {
  const counts: Record<string, number> = {}
  for (const value of values) counts[value] = (counts[value] ?? 0) + 1
  return counts
}

/** Prints the caller's and the workers' records of the request, the disturbances around it and the log lines that mention it. */
function printTrace (site: SoakSite, observed: Observations, first: Violation): void {
  const call = observed.calls.find(c => c.id === first.id)
  console.error(JSON.stringify({ first, call, runs: observed.runs.filter(r => r.id === first.id) }))
  const around = observed.timeline.events.filter(e => e.from <= first.at && e.to >= first.at - 2 * SETTLE_MS)
  for (const e of around) console.error(JSON.stringify(e))
  for (const g of first.id === '' ? [] : site.gateways) {
    const lines = readFileSync(site.processes.logFile(g.name), 'utf8').split('\n')
    lines.filter(line => line.includes(`"${first.id}"`)).slice(0, MAX_TRACE_LINES).forEach(line => console.error(line))
  }
  console.error(`logs kept in ${site.logDir}`)
}

/** Runs one seed; returns the exit code. */
async function run (flags: Flags): Promise<number> {
  const site = new SoakSite(flags)
  const late = flags.lateSeeds ?? flags.seed % LATE_SEEDS_EVERY === 0
  let failed = true
  try {
    await site.start(!late)
    const faults = new SoakFaults(site, new SeededRandom(flags.seed))
    const pauses = new PauseRecorder(faults.timeline)
    const callers = new SoakCallers(site, new SeededRandom(flags.seed + 1), late ? SLOW_PAUSE_MS : PAUSE_MS)
    const probes = new RouteProbes(site, faults.restarts)
    const running = [callers.run(flags.gateways * CALLERS_PER_GATEWAY), probes.run()]
    await sleep(SETTLE_MS)
    if (late) await faults.startSeedsLate()
    await faults.run(flags.seconds)
    await sleep(FINISH_MS)
    callers.dispose()
    pauses.dispose()
    probes.dispose()
    await Promise.all(running)
    const observed: Observations = {
      calls: callers.calls,
      runs: site.runs,
      arrivals: site.arrivals,
      probes: probes.probes,
      routes: site.extraRoutes,
      saysLeavingAt: new Map(site.workers.map(w => [w.name, w.saysLeavingAt])),
      leavingAt: new Map(site.workers.map(w => [w.name, w.leavingAt])),
      evacuations: site.evacuations,
      timeline: faults.timeline,
      drainMs: DRAIN_MS,
      evacuationMs: EVACUATION_MS,
      applyMs: CONFIG_APPLY_MS,
      retryRatio: RETRY_RATIO,
      retryBurst: RETRY_BURST
    }
    const violations = findViolations(observed)
    failed = violations.length > 0
    if (failed) printTrace(site, observed, violations[0]!)
    console.log(JSON.stringify({
      seed: flags.seed,
      seconds: flags.seconds,
      gateways: flags.gateways,
      calls: observed.calls.length,
      ends: countValues(observed.calls.map(c => c.end === 'whole' ? String(c.status) : c.end)),
      probes: observed.probes.length,
      faults: faults.counts,
      broken: countValues(violations.map(v => v.rule))
    }))
    return failed ? 1 : 0
  } finally {
    await site.stop(failed)
  }
}

/** A seed that failed in the past, and the cause. */
interface SeedCase {
  readonly seed: number
  readonly seconds: number
  readonly cause: string
}

/** Runs the listed seeds one after the other; returns the number that failed. */
async function runSeeds (flags: Flags, file: string): Promise<number> {
  let failed = 0
  for (const { seed, seconds } of JSON.parse(readFileSync(file, 'utf8')) as SeedCase[]) failed += await run({ ...flags, seed, seconds })
  return failed
}

const program = new Command('soak')
  .option('--seed <n>', 'seed', Number, 1)
  .option('--seconds <n>', 'duration of fault injection', Number, 30)
  .option('--gateways <n>', 'gateway processes', Number, 9)
  .option('--engines <n>', 'stand-ins of engines', Number, 6)
  .option('--orders <n>', 'stand-ins of the plain service', Number, 3)
  .option('--late-seeds', 'start the gateways that the others know long after them')
  .option('--seeds <file>', 'run the listed seeds')
program.parse()
const flags = program.opts<Flags & { readonly seeds?: string }>()
process.exit(flags.seeds === undefined ? await run(flags) : Math.min(1, await runSeeds(flags, flags.seeds)))
