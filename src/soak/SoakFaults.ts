/** Fault injection of the soak test: faults are drawn from a seeded generator, may overlap or come in series, and are recorded in the timeline. */
import { setTimeout as sleep } from 'node:timers/promises'
import type { SeededRandom } from '../common/SeededRandom.js'
import type { WorkerMode } from '../standin/PlatformWorker.js'
import type { FaultProxy, ProxyMode } from './FaultProxy.js'
import { CONFIG_APPLY_MS, DATA_CENTRES, DRAIN_MS, EVACUATION_MS, GRACE_SEC, RETRY_BURST, type SoakGateway, type SoakSite, type SoakWorker } from './SoakSite.js'
import { STABLE_PERIOD_MS, Timeline } from './Timeline.js'

const MEAN_FAULT_INTERVAL_MS = 900
const FAULT_FREE_TAIL_MS = 4_000 // no new faults this long before the end, so that the effects of the last ones are observed
const SERIES_SHARE = 0.15 // share of faults that are repeated as a series of three
const SERIES_GAP_MS = 300
const MIN_DURATION_MS = 400
const MEAN_EXTRA_DURATION_MS = 1_500
const MEAN_LINGER_MS = 1_500 // time that a leaving worker keeps serving beyond the drain time
const ENTRY_TTL_MS = 3_600 // three heartbeats
const RESTORE_MS = 300 // time that the store is away while it goes back to a copy
const MEAN_REWRITE_MS = 400 // until what was lost is written again
const MAX_REWRITE_MS = 1_500 // an evacuation that isn't written again within 2.2 s has ended
const LATE_START_MS = 2_500
const MEAN_EXTRA_LATE_START_MS = 3_000
const WORD_MS = 2_000 // from a worker's own word that it leaves to the store's, beyond the drain time
const EVACUATION_INTERVAL_MS = 6_000 // from the end of one to the next
const EVACUATED_MS = 2_000 // beyond the bound
const STORE_POLL_MS = 50
const MAX_STORE_WAIT_MS = 6_000 // for other faults of the store to end
const CHANGES_WITHOUT_WATCH = 7
const CHANGE_GAP_MS = 600
const MEAN_DOWNTIME_MS = 500 // from exit to restart of a gateway
const WORKER_MODES: readonly WorkerMode[] = ['full', 'failing', 'losing', 'tearing', 'mute', 'confused', 'unframed', 'unframed head', 'unframed whole']
const PROXY_MODES: readonly ProxyMode[] = ['reset', 'drop-to-target', 'drop-to-client', 'drop-all']

/** Injects the faults of a run. */
export class SoakFaults {
  readonly timeline = new Timeline()
  /** Number of injected faults by kind. */
  readonly counts: Record<string, number> = {}
  /** Number of restarts of each gateway. */
  readonly restarts = new Map<string, number>()
  readonly #site: SoakSite
  readonly #random: SeededRandom
  /** Names of gateways and workers that a fault is active on; `store` for the store. */
  readonly #busy = new Set<string>()
  #routesAdded = 0

  constructor (site: SoakSite, random: SeededRandom) {
    this.#site = site
    this.#random = random
  }

  /** Injects faults for the given time, then waits until all have ended. */
  async run (seconds: number): Promise<void> {
    const end = performance.now() + seconds * 1_000 - FAULT_FREE_TAIL_MS
    const kinds = [
      this.#kill, this.#stop, this.#pause, this.#reload, this.#killAll, this.#store, this.#restoreStore, this.#storeLink, this.#watches,
      this.#callerLink, this.#workerLink, this.#workerFault, this.#refuse, this.#crash, this.#leave, this.#publish, this.#publish
    ]
    const running: Array<Promise<void>> = [this.#evacuateInTurn(end)]
    let remainingKinds: Array<typeof kinds[number]> = []
    while (performance.now() < end) {
      await sleep(this.#random.exponential(MEAN_FAULT_INTERVAL_MS))
      if (remainingKinds.length === 0) remainingKinds = [...kinds]
      const [kind] = remainingKinds.splice(this.#random.below(remainingKinds.length), 1) as [typeof kinds[number]]
      const times = this.#random.next() < SERIES_SHARE ? 3 : 1
      for (let i = 0; i < times; i++) {
        running.push(kind.call(this))
        if (i + 1 < times) await sleep(SERIES_GAP_MS)
      }
    }
    await Promise.all(running)
  }

  /** Evacuates the data centres in turn, beside the other faults. The store has no fault until gateways must have read of it. */
  async #evacuateInTurn (end: number): Promise<void> {
    for (let i = 0; ; i++) {
      await sleep(EVACUATION_INTERVAL_MS)
      while (this.#busy.has('store')) await sleep(STORE_POLL_MS)
      if (performance.now() >= end) return
      this.#countFault('evacuation')
      this.#busy.add('store')
      const evacuation = this.#site.evacuate(DATA_CENTRES[i % DATA_CENTRES.length]!)
      await sleep(STABLE_PERIOD_MS + 1)
      this.#busy.delete('store')
      await sleep(EVACUATION_MS + EVACUATED_MS - STABLE_PERIOD_MS)
      this.#site.endEvacuation(evacuation)
    }
  }

  #drawDurationMs (): number {
    return MIN_DURATION_MS + this.#random.exponential(MEAN_EXTRA_DURATION_MS)
  }

  /** Runs `action` on one of `all` that no other fault is active on; does nothing unless more than half of them are free. */
  async #withFreeTarget<T extends { readonly name: string }> (kind: string, all: readonly T[], action: (target: T) => Promise<void>): Promise<void> {
    const free = all.filter(target => !this.#busy.has(target.name))
    if (free.length <= all.length / 2) return
    const target = free[this.#random.below(free.length)]!
    this.#countFault(kind)
    this.#busy.add(target.name)
    await this.timeline.during(kind, [target.name], async () => { await action(target) })
    this.#busy.delete(target.name)
  }

  #countFault (kind: string): void {
    this.counts[kind] = (this.counts[kind] ?? 0) + 1
  }

  /** Starts a gateway again after a random downtime and waits until it is ready. */
  async #restart (g: SoakGateway): Promise<void> {
    await this.#startAgain(g)
    await this.#site.waitUntilReady(g)
  }

  /** Waits for the exit of a gateway and starts it again after a random downtime. */
  async #startAgain (g: SoakGateway): Promise<void> {
    await this.#site.processes.waitForExit(g.name)
    await sleep(this.#random.exponential(MEAN_DOWNTIME_MS))
    this.restarts.set(g.name, (this.restarts.get(g.name) ?? 0) + 1)
    this.#site.startGateway(g, false)
  }

  async #kill (): Promise<void> {
    await this.#withFreeTarget('kill', this.#site.gateways, async g => {
      this.#site.processes.signal(g.name, 'SIGKILL')
      await this.#restart(g)
    })
  }

  /** Sends SIGTERM, in some cases followed by a second SIGTERM or a SIGHUP, and SIGKILL when the grace period has passed. */
  async #stop (): Promise<void> {
    await this.#withFreeTarget('stop', this.#site.gateways, async g => {
      const { processes } = this.#site
      processes.signal(g.name, 'SIGTERM')
      const again = this.#random.next() < 0.3
      if (again) {
        await sleep(MIN_DURATION_MS)
        processes.signal(g.name, this.#random.next() < 0.5 ? 'SIGTERM' : 'SIGHUP')
      }
      const killTimer = setTimeout(() => processes.signal(g.name, 'SIGKILL'), GRACE_SEC * 1_000)
      await processes.waitForExit(g.name)
      clearTimeout(killTimer)
      const restart = this.timeline.begin('start', g.name)
      await this.#restart(g)
      restart.to = performance.now()
    })
  }

  /** Suspends a gateway with SIGSTOP. */
  async #pause (): Promise<void> {
    await this.#withFreeTarget('pause', this.#site.gateways, async g => {
      this.#site.processes.signal(g.name, 'SIGSTOP')
      await sleep(this.#drawDurationMs())
      this.#site.processes.signal(g.name, 'SIGCONT')
    })
  }

  /** Changes the settings of a gateway and sends SIGHUP. */
  async #reload (): Promise<void> {
    await this.#withFreeTarget('hup', this.#site.gateways, async g => {
      this.#site.writeSettings(g, RETRY_BURST - this.#random.below(10))
      this.#site.processes.signal(g.name, 'SIGHUP')
      await sleep(MIN_DURATION_MS)
    })
  }

  /** Kills all gateways at once; at most once in a run. */
  async #killAll (): Promise<void> {
    const { gateways, processes } = this.#site
    if (this.counts.herd !== undefined || gateways.some(g => this.#busy.has(g.name))) return
    this.#countFault('herd')
    for (const g of gateways) this.#busy.add(g.name)
    const [first, ...others] = gateways.map(g => this.timeline.begin('herd', g.name))
    for (const g of gateways) processes.signal(g.name, 'SIGKILL')
    await Promise.all(gateways.map(async g => { await this.#startAgain(g) }))
    first!.restartedAt = performance.now()
    await Promise.all(gateways.map(async g => { await this.#site.waitUntilReady(g) }))
    for (const event of [first!, ...others]) event.to = performance.now()
    for (const g of gateways) this.#busy.delete(g.name)
  }

  /** Compacts the store, or makes it slow, failing or unresponsive for a while. */
  async #store (): Promise<void> {
    await this.#withFreeTarget('store', [{ name: 'store' }], async () => {
      const { store } = this.#site
      const variant = this.#random.below(4)
      if (variant === 0) store.compact()
      else if (variant === 1) store.delayMs = 300
      else store.mode = variant === 2 ? 'refuses' : 'silent'
      await sleep(this.#drawDurationMs())
      store.delayMs = 0
      store.mode = 'serves'
    })
  }

  /** Sets the store back to a copy; what was written since is lost, and written again soon after. */
  async #restoreStore (): Promise<void> {
    await this.#withFreeTarget('restored store', [{ name: 'store' }], async () => {
      const { store } = this.#site
      const copy = store.copy()
      await sleep(this.#drawDurationMs())
      store.mode = 'silent'
      await sleep(RESTORE_MS)
      store.restore(copy)
      store.mode = 'serves'
      await sleep(Math.min(MAX_REWRITE_MS, this.#random.exponential(MEAN_REWRITE_MS)))
      this.#site.rewriteStore()
    })
  }

  async #storeLink (): Promise<void> {
    await this.#withFreeTarget('store link', this.#site.gateways, async g => { await this.#disturbLink(g.storeProxy) })
  }

  /** Cuts all gateways that watch what the operator writes off from the store at once, while configurations follow each other; the store has no other fault. */
  async #watches (): Promise<void> {
    const isFree = (): boolean => !['store', ...this.#site.watching.map(g => g.name)].some(name => this.#busy.has(name))
    const waitUntil = performance.now() + MAX_STORE_WAIT_MS
    while (!isFree() && performance.now() < waitUntil) await sleep(STORE_POLL_MS)
    const { watching, gateways } = this.#site
    if (!isFree() || watching.length === 0 || watching.length > gateways.length / 2) return
    const names = watching.map(g => g.name)
    this.#countFault('watches')
    for (const name of ['store', ...names]) this.#busy.add(name)
    await this.timeline.during('store link', names, async () => { await this.#publishWithout(watching) })
    for (const name of ['store', ...names]) this.#busy.delete(name)
  }

  /** Publishes configurations while these gateways don't reach the store. */
  async #publishWithout (gateways: readonly SoakGateway[]): Promise<void> {
    for (const g of gateways) g.storeProxy.mode = 'drop-all'
    for (let i = 0; i < CHANGES_WITHOUT_WATCH; i++) {
      await this.#publish()
      await sleep(CHANGE_GAP_MS)
    }
    await sleep(CONFIG_APPLY_MS)
    for (const g of gateways) {
      g.storeProxy.mode = 'forward'
      g.storeProxy.reset()
    }
  }

  async #callerLink (): Promise<void> {
    await this.#withFreeTarget('caller link', this.#site.gateways, async g => { await this.#disturbLink(g.callerProxy) })
  }

  async #workerLink (): Promise<void> {
    await this.#withFreeTarget('worker link', this.#liveWorkers(), async w => { await this.#disturbLink(w.proxy) })
  }

  /** Delays, resets or drops the traffic of a proxy for a while; connections that may have lost data are reset at the end. */
  async #disturbLink (proxy: FaultProxy): Promise<void> {
    const variant = this.#random.below(PROXY_MODES.length + 2)
    if (variant === 0) proxy.delayMs = 50 + this.#random.below(300)
    else if (variant === 1) proxy.reset()
    else proxy.mode = PROXY_MODES[variant - 2]!
    await sleep(this.#drawDurationMs())
    proxy.delayMs = 0
    proxy.mode = 'forward'
    if (variant > 1) proxy.reset()
  }

  /** Puts a worker into a failing mode for a while. */
  async #workerFault (): Promise<void> {
    const mode = WORKER_MODES[this.#random.below(WORKER_MODES.length)]!
    await this.#withFreeTarget(mode, this.#liveWorkers(), async w => {
      w.worker.mode = mode
      await sleep(this.#drawDurationMs())
      w.worker.mode = 'well'
    })
  }

  /** All free workers of a service refuse requests for a while. */
  async #refuse (): Promise<void> {
    const service = this.#random.next() < 0.5 ? 'engines' : 'orders'
    const workers = this.#liveWorkers().filter(w => w.service === service && !this.#busy.has(w.name))
    this.#countFault('refusing service')
    const durationMs = this.#drawDurationMs()
    const wantsPause = this.#random.next() < 0.5
    for (const w of workers) w.worker.retryAfter = wantsPause ? (durationMs / 1_000).toFixed(1) : undefined
    await this.timeline.during('full', workers.map(w => w.name), async () => { await this.#refuseAll(workers, durationMs) })
  }

  async #refuseAll (workers: readonly SoakWorker[], ms: number): Promise<void> {
    for (const w of workers) this.#busy.add(w.name)
    for (const w of workers) w.worker.mode = 'full'
    await sleep(ms)
    for (const w of workers) w.worker.mode = 'well'
    for (const w of workers) this.#busy.delete(w.name)
  }

  /** Starts the seeds long after the other gateways, which don't know each other until then, while endpoints refuse requests. */
  async startSeedsLate (): Promise<void> {
    const { seeds } = this.#site
    this.#countFault('late seeds')
    for (const g of seeds) this.#busy.add(g.name)
    await this.timeline.during('late start', seeds.map(g => g.name), async () => {
      await this.#refuseAll(this.#liveWorkers(), LATE_START_MS + this.#random.exponential(MEAN_EXTRA_LATE_START_MS))
      for (const g of seeds) this.#site.startGateway(g, true)
      await Promise.all(seeds.map(async g => { await this.#site.waitUntilReady(g) }))
    })
    for (const g of seeds) this.#busy.delete(g.name)
  }

  /** Ends a worker without notice and starts a replacement; the old entry stays until its TTL has passed. */
  async #crash (): Promise<void> {
    await this.#withFreeTarget('crash', this.#liveWorkers(), async w => {
      this.#site.endWorker(w, true)
      await this.#site.addWorker(w.service, w.dataCentre)
      await sleep(ENTRY_TTL_MS)
      this.#site.endWorker(w, false)
    })
  }

  /**
   * Starts a replacement, then marks a worker as draining or deletes its entry, in some cases long after the worker itself said that
   * it leaves; it keeps serving for a while before it ends.
   */
  async #leave (): Promise<void> {
    const free = this.#liveWorkers().filter(w => !this.#busy.has(w.name))
    const w = free[this.#random.below(free.length)]
    if (w === undefined) return
    this.#countFault('leave')
    this.#busy.add(w.name)
    await this.#site.addWorker(w.service, w.dataCentre)
    if (this.#random.next() < 0.3) {
      this.#site.sayLeaving(w)
      await sleep(DRAIN_MS + WORD_MS)
    }
    if (this.#random.next() < 0.5) this.#site.writeEntry(w, 'draining')
    else this.#site.deleteEntry(w)
    await sleep(DRAIN_MS + this.#random.exponential(MEAN_LINGER_MS))
    await this.timeline.during('gone', [w.name], async () => {
      this.#site.endWorker(w, false)
      await sleep(MIN_DURATION_MS)
    })
  }

  /** Publishes a configuration with one more route, or without the oldest added one when there are more than two. */
  async #publish (): Promise<void> {
    this.#countFault('configuration')
    const { extraRoutes } = this.#site
    const live = extraRoutes.filter(r => r.removedAt === Infinity)
    if (live.length > 2) live[0]!.removedAt = performance.now()
    else extraRoutes.push({ name: `extra${this.#routesAdded++}`, addedAt: performance.now(), removedAt: Infinity })
    this.#site.publishConfiguration()
    await sleep(0)
  }

  /** Workers that have neither ended nor are leaving. */
  #liveWorkers (): SoakWorker[] {
    return this.#site.workers.filter(w => w.leavingAt === Infinity && !w.ended)
  }
}
