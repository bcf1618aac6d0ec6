/**
 * `npm run chaos -- --seed N --seconds S`: the demo's fleet under load with all kinds of failures mixed by a
 * seed. The last line is one JSON object; exit code 1 when something that must hold did not.
 */
import { Command } from 'commander'
import { SeededRandom } from '../common/SeededRandom.js'
import { LoadGenerator, type LoadCounts } from '../load/LoadGenerator.js'
import { compareMarkedRuns } from './MarkedRuns.js'
import { Site, sleep } from './Site.js'
import { referenceSiteSpec, loadPlan, siteConfigFile } from './SiteSpec.js'
import { SkewSampler } from './SkewSampler.js'

const BASE_PORT = 26_000
const SETTLE_MS = 7_500
const MEAN_FAULT_INTERVAL_MS = 1_500
const REVISION_POLL_INTERVAL_MS = 400
const MIN_MEAN_TOKENS = 100

/** A planned stop: from SIGTERM to exit. */
interface PlannedStop {
  readonly entry: string
  readonly from: number
  to: number
}

class ChaosRunner {
  readonly #site: Site
  readonly #random: SeededRandom
  readonly faults: Record<string, number> = {}
  readonly stops: PlannedStop[] = []
  readonly #busy = new Set<string>()
  readonly #revisions = new Map<string, { readonly revision: number, readonly uptimeMs: number }>()
  configReverts = 0
  #rate = 100

  constructor (site: Site, random: SeededRandom) {
    this.#site = site
    this.#random = random
  }

  /** Makes faults until the time is over, then mends all. */
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

  /** Counts routers whose revision went down within one process. */
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

  /** A router that no other fault holds. */
  #pickFreeRouter (): string | undefined {
    const free = this.#site.names.routers.filter(r => !this.#busy.has(r.id))
    return free.length < this.#site.names.routers.length - 3 ? undefined : free[this.#random.below(free.length)]!.id
  }

  async #withRouter (kind: string, act: (id: string) => Promise<void>): Promise<void> {
    const id = this.#pickFreeRouter()
    if (id === undefined) return
    this.#count(kind)
    this.#busy.add(id)
    await act(id)
    this.#busy.delete(id)
  }

  async #kill (): Promise<void> {
    await this.#withRouter('kill', async id => {
      this.#site.signal(id, 'SIGKILL')
      await this.#site.waitForExit(id)
      await sleep(this.#random.exponential(1_000))
      this.#site.startRouter(id)
      await this.#site.waitUntilReady(id)
    })
  }

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

  async #suspend (): Promise<void> {
    await this.#withRouter('suspend', async id => {
      this.#site.signal(id, 'SIGSTOP')
      await sleep(500 + this.#random.exponential(2_000))
      this.#site.signal(id, 'SIGCONT')
      await sleep(500)
    })
  }

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

  async #platform (): Promise<void> {
    this.#count('platform')
    const rewind = this.#random.next() < 0.5
    await this.#site.setPlatformFaults(rewind ? { rewindTo: 1 } : { down: true })
    await sleep(this.#random.exponential(2_000))
    await this.#site.setPlatformFaults({ down: false, rewindTo: null })
  }

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

  async #worker (): Promise<void> {
    this.#count('worker')
    const id = this.#site.names.workers[this.#random.below(this.#site.names.workers.length)]!.id
    const faults = this.#random.next() < 0.5 ? { loseAnswer: true } : { delayMs: 600 }
    await this.#site.setWorkerFaults(id, faults)
    await sleep(1_500)
    await this.#site.setWorkerFaults(id, { loseAnswer: false, delayMs: 0 })
  }

  async #publish (): Promise<void> {
    this.#count('publish')
    const valid = this.#random.next() < 0.7
    const file = siteConfigFile(this.#site.spec, this.#rate++)
    await this.#site.publishConfig(valid ? file : { ...file, models: [] })
  }

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
