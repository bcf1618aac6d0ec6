/**
 * `npm run chaos -- --seed N --seconds S`: runs the demo's site under load with randomised faults of all kinds. The last
 * line of output is one JSON object. Exit code 1 when a guarantee was violated.
 */
import { Command } from 'commander'
import { SeededRandom } from '../common/SeededRandom.js'
import { LoadGenerator, type LoadCounts } from '../load/LoadGenerator.js'
import { compareMarkedRuns } from './MarkedRuns.js'
import { Site, sleep } from './Site.js'
import { loadPlan, referenceSiteSpec, siteConfigFile } from './SiteSpec.js'
import { SkewSampler } from './SkewSampler.js'

const BASE_PORT = 26_000
const SETTLE_MS = 7_500 // lease duration and clock skew margin, after which key owners accept new keys
const MEAN_FAULT_INTERVAL_MS = 1_500
const REVISION_POLL_INTERVAL_MS = 400
const MIN_MEAN_TOKENS = 100 // load below which the skew is not sampled

/** Planned stop of a router, from SIGTERM to exit. */
interface PlannedStop {
  readonly entry: string
  readonly from: number
  to: number
}

/** Injects faults and records planned stops and configuration reverts. */
class ChaosRunner {
  readonly #site: Site
  readonly #random: SeededRandom
  readonly faults: Record<string, number> = {}
  readonly stops: PlannedStop[] = []
  readonly #busy = new Set<string>()
  readonly #revisions = new Map<string, { readonly revision: number, readonly uptimeMs: number }>()
  /** How often a running router went back to an earlier revision. */
  configReverts = 0
  #rate = 100

  constructor (site: Site, random: SeededRandom) {
    this.#site = site
    this.#random = random
  }

  /** Injects faults until the last 3 s, then waits until all have ended. */
  async run (seconds: number): Promise<void> {
    const end = performance.now() + seconds * 1000
    const running: Array<Promise<void>> = []
    const kinds = [this.#kill, this.#stop, this.#suspend, this.#partition, this.#platform, this.#engine, this.#worker, this.#publish, this.#leave]
    while (performance.now() < end - 3_000) {
      await sleep(this.#random.exponential(MEAN_FAULT_INTERVAL_MS))
      running.push(kinds[this.#random.below(kinds.length)]!.call(this))
    }
    await Promise.all(running)
  }

  /** Polls the routers and counts decreases of a revision within one process; a lower uptime means that the router was restarted. */
  async watchRevisions (until: () => boolean): Promise<void> {
    while (!until()) {
      for (const s of await this.#site.statuses()) {
        const before = this.#revisions.get(s.id)
        if (before !== undefined && s.uptimeMs >= before.uptimeMs && s.revision < before.revision) this.configReverts++
        this.#revisions.set(s.id, { revision: s.revision, uptimeMs: s.uptimeMs })
      }
      await sleep(REVISION_POLL_INTERVAL_MS)
    }
  }

  #count (kind: string): void {
    this.faults[kind] = (this.faults[kind] ?? 0) + 1
  }

  /** A random router without an active fault; undefined when more than three routers have one. */
  #pickFreeRouter (): string | undefined {
    const free = this.#site.names.routers.filter(r => !this.#busy.has(r.id))
    return free.length < this.#site.names.routers.length - 3 ? undefined : free[this.#random.below(free.length)]!.id
  }

  /** Runs `act` on a free router, if there is one. */
  async #withRouter (kind: string, action: (id: string) => Promise<void>): Promise<void> {
    const id = this.#pickFreeRouter()
    if (id === undefined) return
    this.#count(kind)
    this.#busy.add(id)
    await action(id)
    this.#busy.delete(id)
  }

  /** Kills a router with SIGKILL and starts it again. */
  async #kill (): Promise<void> {
    await this.#withRouter('kill', async id => {
      this.#site.signal(id, 'SIGKILL')
      await this.#site.waitForExit(id)
      await sleep(this.#random.exponential(1_000))
      this.#site.startRouter(id)
      await this.#site.waitUntilReady(id)
    })
  }

  /** Stops a router with SIGTERM and starts it again. */
  async #stop (): Promise<void> {
    await this.#withRouter('stop', async id => {
      const entry = this.#site.entries[this.#site.names.routers.findIndex(r => r.id === id)]!
      const stop: PlannedStop = { entry, from: performance.now(), to: Infinity }
      this.stops.push(stop)
      this.#site.signal(id, 'SIGTERM')
      await this.#site.waitForExit(id)
      stop.to = performance.now()
      this.#site.startRouter(id)
      await this.#site.waitUntilReady(id)
    })
  }

  /** Suspends a router with SIGSTOP. */
  async #suspend (): Promise<void> {
    await this.#withRouter('suspend', async id => {
      this.#site.signal(id, 'SIGSTOP')
      await sleep(500 + this.#random.exponential(2_000))
      this.#site.signal(id, 'SIGCONT')
      await sleep(500)
    })
  }

  /** Partitions a data centre from the others and the platform. */
  async #partition (): Promise<void> {
    if (this.#busy.has('cut')) return
    this.#count('cut')
    this.#busy.add('cut')
    const { dataCentres } = this.#site.spec
    const dataCentre = dataCentres[this.#random.below(dataCentres.length)]!
    const inside = this.#site.idsInDataCentre(dataCentre)
    const outside = dataCentres.filter(d => d !== dataCentre).flatMap(d => this.#site.idsInDataCentre(d))
    await this.#site.partition(inside, [...outside, 'platform'])
    await sleep(1_000 + this.#random.exponential(2_000))
    await this.#site.heal()
    this.#busy.delete('cut')
  }

  /** Takes the platform down, or makes it serve the first revision. */
  async #platform (): Promise<void> {
    this.#count('platform')
    const rewind = this.#random.next() < 0.5
    await this.#site.setPlatformFaults(rewind ? { rewindTo: 1 } : { down: true })
    await sleep(this.#random.exponential(2_000))
    await this.#site.setPlatformFaults({ down: false, rewindTo: null })
  }

  /** Makes an engine cut streams, answer late or refuse requests. */
  async #engine (): Promise<void> {
    this.#count('engine')
    const id = this.#site.names.engines[this.#random.below(this.#site.names.engines.length)]!.id
    const variant = this.#random.below(3)
    if (variant === 0) {
      await this.#site.setEngineFaults(id, { cutAt: 1 + this.#random.below(40) })
    } else if (variant === 1) {
      await this.#site.setEngineFaults(id, { delayMs: 200 })
      await sleep(1_500)
      await this.#site.setEngineFaults(id, { delayMs: 0 })
    } else {
      await this.#site.setEngineFaults(id, { refuse: true })
      await sleep(1_000)
      await this.#site.setEngineFaults(id, { refuse: false })
    }
  }

  /** Makes a worker lose answers or answer late. */
  async #worker (): Promise<void> {
    this.#count('worker')
    const id = this.#site.names.workers[this.#random.below(this.#site.names.workers.length)]!.id
    const faults = this.#random.next() < 0.5 ? { loseAnswer: true } : { delayMs: 600 }
    await this.#site.setWorkerFaults(id, faults)
    await sleep(1_500)
    await this.#site.setWorkerFaults(id, { loseAnswer: false, delayMs: 0 })
  }

  /** Publishes a valid or an invalid configuration file. */
  async #publish (): Promise<void> {
    this.#count('publish')
    const valid = this.#random.next() < 0.7
    const file = siteConfigFile(this.#site.spec, this.#rate++)
    await this.#site.publishConfig(valid ? file : { ...file, models: [] })
  }

  /** Makes an engine leave and return. */
  async #leave (): Promise<void> {
    if (this.#busy.has('leave')) return
    this.#count('leave')
    this.#busy.add('leave')
    const id = this.#site.names.engines[this.#random.below(this.#site.names.engines.length)]!.id
    await this.#site.setEngineFaults(id, { leave: true })
    await sleep(5_000)
    await this.#site.setEngineFaults(id, { leave: false })
    this.#busy.delete('leave')
  }
}

async function run (seed: number, seconds: number): Promise<number> {
  const site = new Site(referenceSiteSpec(BASE_PORT))
  try {
    await site.start()
    await sleep(SETTLE_MS)
    const chaos = new ChaosRunner(site, new SeededRandom(seed))
    const skew = new SkewSampler(site, MIN_MEAN_TOKENS)
    const load = new LoadGenerator({ ...loadPlan(site), seconds, seed })
    let finished = false
    const watching = chaos.watchRevisions(() => finished)
    const [counts] = await Promise.all([load.run(), chaos.run(seconds)])
    finished = true
    await watching
    skew.dispose()
    return await printReport(site, chaos, counts, skew, seed)
  } finally {
    await site.stop()
  }
}

async function printReport (site: Site, chaos: ChaosRunner, counts: LoadCounts, skew: SkewSampler, seed: number): Promise<number> {
  const duringPlannedStop = (entry: string, at: number): boolean => chaos.stops.some(s => s.entry === entry && at >= s.from && at <= s.to)
  const engines = await site.engineStats()
  const violations = {
    ...await compareMarkedRuns(site, counts),
    wrongAnswers: counts.wrongAnswers,
    cutByPlannedStop: counts.cuts.filter(c => duringPlannedStop(c.entry, c.at)).length,
    newWorkOnLeaving: engines.reduce((sum, e) => sum + e.lateAfterLeave, 0),
    configReverts: chaos.configReverts
  }
  const { requests, answered, notRun, outcomeUnknown, cutStreams } = counts
  console.log(JSON.stringify({
    seed, requests, answered, notRun, outcomeUnknown, ...violations, cutStreams, maxSkew: Number(skew.quantile(1).toFixed(2)), faults: chaos.faults, failures: [...new Set(counts.failures.map(f => f.split('@')[0]))]
  }))
  return Object.values(violations).some(n => n > 0) ? 1 : 0
}

const program = new Command('chaos').option('--seed <n>', 'seed', Number, 1).option('--seconds <n>', 'duration', Number, 30)
program.parse()
const { seed, seconds } = program.opts<{ readonly seed: number, readonly seconds: number }>()
process.exit(await run(seed, seconds))
