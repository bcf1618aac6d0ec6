/** Faults of the soak, drawn by a seed: they come in series, overlap, and are noted in the timeline. */
import { setTimeout as sleep } from 'node:timers/promises'
import type { SeededRandom } from '../common/SeededRandom.js'
import type { WorkerMood } from '../standin/PlatformWorker.js'
import type { FaultProxy, ProxyMood } from './FaultProxy.js'
import { DRAIN_MS, GRACE_SEC, RETRY_BURST, type SoakGateway, type SoakSite, type SoakWorker } from './SoakSite.js'
import { Timeline } from './Timeline.js'

const FAULT_EVERY_MS = 900
const LAST_FAULT_MS = 4_000 // before the end, so that the last ones are seen through
const SERIES_SHARE = 0.15 // of the faults, which come as a series of three
const SERIES_GAP_MS = 300
const SHORT_MS = 400
const MEAN_MS = 1_500
const LINGER_MS = 1_500 // a leaving worker serves on beyond its time
const ENTRY_LAPSE_MS = 3_600 // three heartbeats
const DOWN_MS = 500
const MOODS: readonly WorkerMood[] = ['full', 'failing', 'losing', 'tearing', 'mute', 'confused']
const PROXY_MOODS: readonly ProxyMood[] = ['resets', 'deaf', 'mute', 'silent']

export class SoakFaults {
  readonly timeline = new Timeline()
  readonly counts: Record<string, number> = {}
  /** Starts of each gateway's process. */
  readonly lives = new Map<string, number>()
  readonly #site: SoakSite
  readonly #random: SeededRandom
  readonly #held = new Set<string>()
  #routes = 0

  constructor (site: SoakSite, random: SeededRandom) {
    this.#site = site
    this.#random = random
  }

  /** Makes faults for so long, then waits until all are over. */
  async run (seconds: number): Promise<void> {
    const end = performance.now() + seconds * 1_000 - LAST_FAULT_MS
    const kinds = [
      this.#kill, this.#stop, this.#pause, this.#hup, this.#herd, this.#store, this.#storeLink, this.#callerLink, this.#workerLink, this.#mood, this.#crash,
      this.#leave, this.#publish, this.#publish
    ]
    const running: Array<Promise<void>> = []
    let deck: Array<typeof kinds[number]> = []
    while (performance.now() < end) {
      await sleep(this.#random.exponential(FAULT_EVERY_MS))
      if (deck.length === 0) deck = [...kinds]
      const [kind] = deck.splice(this.#random.below(deck.length), 1) as [typeof kinds[number]]
      const times = this.#random.next() < SERIES_SHARE ? 3 : 1
      for (let i = 0; i < times; i++) {
        running.push(kind.call(this))
        if (i + 1 < times) await sleep(SERIES_GAP_MS)
      }
    }
    await Promise.all(running)
  }

  #spanMs (): number {
    return SHORT_MS + this.#random.exponential(MEAN_MS)
  }

  /** Runs `act` on one of `all` that no other fault holds; at least half of them are left alone. */
  async #withOne<T extends { readonly name: string }> (kind: string, all: readonly T[], act: (one: T) => Promise<void>): Promise<void> {
    const free = all.filter(one => !this.#held.has(one.name))
    if (free.length <= all.length / 2) return
    const one = free[this.#random.below(free.length)]!
    this.#counts(kind)
    this.#held.add(one.name)
    await this.timeline.during(kind, [one.name], async () => { await act(one) })
    this.#held.delete(one.name)
  }

  #counts (kind: string): void {
    this.counts[kind] = (this.counts[kind] ?? 0) + 1
  }

  async #restart (g: SoakGateway): Promise<void> {
    await this.#site.processes.exited(g.name)
    await sleep(this.#random.exponential(DOWN_MS))
    this.lives.set(g.name, (this.lives.get(g.name) ?? 0) + 1)
    this.#site.startGateway(g)
    await this.#site.untilReady(g)
  }

  async #kill (): Promise<void> {
    await this.#withOne('kill', this.#site.gateways, async g => {
      this.#site.processes.signal(g.name, 'SIGKILL')
      await this.#restart(g)
    })
  }

  /** SIGTERM, now and then a second one or a SIGHUP in between; SIGKILL when the time of grace is over. */
  async #stop (): Promise<void> {
    await this.#withOne('stop', this.#site.gateways, async g => {
      const { processes } = this.#site
      processes.signal(g.name, 'SIGTERM')
      const again = this.#random.next() < 0.3
      if (again) {
        await sleep(SHORT_MS)
        processes.signal(g.name, this.#random.next() < 0.5 ? 'SIGTERM' : 'SIGHUP')
      }
      const late = setTimeout(() => processes.signal(g.name, 'SIGKILL'), GRACE_SEC * 1_000)
      await processes.exited(g.name)
      clearTimeout(late)
      const restart = this.timeline.begin('start', g.name)
      await this.#restart(g)
      restart.to = performance.now()
    })
  }

  async #pause (): Promise<void> {
    await this.#withOne('pause', this.#site.gateways, async g => {
      this.#site.processes.signal(g.name, 'SIGSTOP')
      await sleep(this.#spanMs())
      this.#site.processes.signal(g.name, 'SIGCONT')
    })
  }

  async #hup (): Promise<void> {
    await this.#withOne('hup', this.#site.gateways, async g => {
      this.#site.writeSettings(g, RETRY_BURST - this.#random.below(10))
      this.#site.processes.signal(g.name, 'SIGHUP')
      await sleep(SHORT_MS)
    })
  }

  /** All gateways are killed at once. */
  async #herd (): Promise<void> {
    const { gateways, processes } = this.#site
    if (this.counts.herd !== undefined || gateways.some(g => this.#held.has(g.name))) return
    this.#counts('herd')
    for (const g of gateways) this.#held.add(g.name)
    await this.timeline.during('herd', gateways.map(g => g.name), async () => {
      for (const g of gateways) processes.signal(g.name, 'SIGKILL')
      await Promise.all(gateways.map(async g => { await this.#restart(g) }))
    })
    for (const g of gateways) this.#held.delete(g.name)
  }

  async #store (): Promise<void> {
    await this.#withOne('store', [{ name: 'store' }], async () => {
      const { store } = this.#site
      const way = this.#random.below(4)
      if (way === 0) store.compact()
      else if (way === 1) store.delayMs = 300
      else store.mood = way === 2 ? 'refuses' : 'silent'
      await sleep(this.#spanMs())
      store.delayMs = 0
      store.mood = 'serves'
    })
  }

  async #storeLink (): Promise<void> {
    await this.#withOne('store link', this.#site.gateways, async g => { await this.#spoil(g.store) })
  }

  async #callerLink (): Promise<void> {
    await this.#withOne('caller link', this.#site.gateways, async g => { await this.#spoil(g.callers) })
  }

  async #workerLink (): Promise<void> {
    await this.#withOne('worker link', this.#live(), async w => { await this.#spoil(w.proxy) })
  }

  /** Delays, resets or silences what passes a proxy for a while; connections that were silenced stay so. */
  async #spoil (proxy: FaultProxy): Promise<void> {
    const way = this.#random.below(PROXY_MOODS.length + 2)
    if (way === 0) proxy.delayMs = 50 + this.#random.below(300)
    else if (way === 1) proxy.reset()
    else proxy.mood = PROXY_MOODS[way - 2]!
    await sleep(this.#spanMs())
    proxy.delayMs = 0
    proxy.mood = 'passes'
    if (way > 1) proxy.reset()
  }

  async #mood (): Promise<void> {
    const mood = MOODS[this.#random.below(MOODS.length)]!
    await this.#withOne(mood, this.#live(), async w => {
      w.worker.mood = mood
      await sleep(this.#spanMs())
      w.worker.mood = 'well'
    })
  }

  /** A worker is gone at once; its entry lapses later and another takes its place. */
  async #crash (): Promise<void> {
    await this.#withOne('crash', this.#live(), async w => {
      this.#site.endWorker(w, true)
      await this.#site.addWorker(w.service)
      await sleep(ENTRY_LAPSE_MS)
      this.#site.endWorker(w, false)
    })
  }

  /** A worker says that it leaves, or is only taken off the list, serves on for a while and goes. */
  async #leave (): Promise<void> {
    const free = this.#live().filter(w => !this.#held.has(w.name))
    const w = free[this.#random.below(free.length)]
    if (w === undefined) return
    this.#counts('leave')
    this.#held.add(w.name)
    await this.#site.addWorker(w.service)
    if (this.#random.next() < 0.5) this.#site.list(w, 'draining')
    else this.#site.unlist(w)
    await sleep(DRAIN_MS + this.#random.exponential(LINGER_MS))
    await this.timeline.during('gone', [w.name], async () => {
      this.#site.endWorker(w, false)
      await sleep(SHORT_MS)
    })
  }

  /** A route is added or an added one removed. */
  async #publish (): Promise<void> {
    this.#counts('configuration')
    const { extraRoutes } = this.#site
    const live = extraRoutes.filter(r => r.removedAt === Infinity)
    if (live.length > 2) live[0]!.removedAt = performance.now()
    else extraRoutes.push({ name: `extra${this.#routes++}`, addedAt: performance.now(), removedAt: Infinity })
    this.#site.publish()
    await sleep(0)
  }

  /** Workers that neither ended nor leave. */
  #live (): SoakWorker[] {
    return this.#site.workers.filter(w => w.leavingAt === Infinity && !w.ended)
  }
}
