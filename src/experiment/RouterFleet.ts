/**
 * Runs several instances of the router's own placement code on the trace, each with its own delayed view: loads
 * sampled by gossip, late load reports, and engine lists that differ for seconds.
 */
import { MAX_PLACEMENT_ATTEMPTS } from '../common/Constants.js'
import { hashString } from '../common/Hash.js'
import { EndpointLoad, type LoadReport } from '../common/placement/EndpointLoad.js'
import { HomePlacement } from '../common/placement/HomePlacement.js'
import { LoadView, UNAVAILABLE, type ILoadView } from '../common/placement/LoadView.js'
import { RANKED_ENGINES, requestWork } from '../common/placement/PlacementPolicy.js'
import { rankTop, type RendezvousCandidate } from '../common/Rendezvous.js'
import type { IExperimentPolicy, PolicyContext } from './Policies.js'
import type { SimulatedEngine } from './SimulatedEngines.js'
import type { TraceRequest } from './Trace.js'

const DIRECTORY_CHATS = 16_384
const REPORT_MS = 200
const WARMING_MS = 60_000

/** One simulated router. */
class SimulatedRouter implements ILoadView, RendezvousCandidate {
  readonly hash: number
  readonly weight = 1
  readonly placement = new HomePlacement(DIRECTORY_CHATS)
  readonly gossipedLoads = new LoadView()
  readonly ownLoads = new Map<number, EndpointLoad>()
  /** Delay of joins and leaves of engines in this router's list. */
  readonly engineListLagMs: number

  constructor (index: number, listLagMs: number) {
    this.hash = hashString(`router-${index}`)
    this.engineListLagMs = listLagMs
  }

  work (endpointHash: number, now: number): number | undefined {
    const load = this.ownLoads.get(endpointHash)
    return load === undefined ? this.gossipedLoads.work(endpointHash, now) : load.work(now)
  }
}

/** The router's own placement, as a policy. */
export class RouterFleet implements IExperimentPolicy {
  readonly #context: PolicyContext
  readonly #routers: SimulatedRouter[]
  readonly #pendingReports: Array<{ readonly at: number, readonly engine: SimulatedEngine, readonly report: LoadReport }> = []
  #reportedAt = -Infinity
  #gossipedAt = -Infinity
  hops = 0
  requests = 0

  constructor (context: PolicyContext) {
    this.#context = context
    this.#routers = Array.from({ length: context.parameters.routers }, (_, i) => new SimulatedRouter(i, context.random.next() * context.parameters.disagreeMs))
  }

  place (req: TraceRequest): SimulatedEngine | undefined {
    const { random } = this.#context
    const { now } = this.#context.engines
    const entry = this.#routers[Math.floor(random.next() * this.#routers.length)]!
    const excluded = new Set<SimulatedEngine>()
    let leastLoaded: SimulatedEngine | undefined
    this.requests++
    for (let attempt = 0; attempt < MAX_PLACEMENT_ATTEMPTS - 1; attempt++) {
      const topRanked = rankTop(
        req.placement.keyHash,
        this.#visibleEngines(entry).filter(e => !excluded.has(e) && entry.work(e.hash, now) !== UNAVAILABLE),
        1
      )[0]
      if (topRanked === undefined) break
      this.hops++
      const home = this.#homeOf(topRanked)
      const chosen = this.#decide(home, req, excluded)
      if (chosen === undefined) break
      const chosenHome = this.#homeOf(chosen)
      if (chosenHome === home) return chosen
      this.hops++
      const all = this.#visibleEngines(chosenHome)
      const load = this.#loadOf(chosen)
      if (load.isAvailable(now) && chosenHome.placement.accepts(req.placement, chosen, { model: 'm', limits: this.#context.parameters, all }, chosenHome, now)) return chosen
      excluded.add(chosen)
      if (load.isAvailable(now) && (leastLoaded === undefined || load.work(now) < this.#currentWork(leastLoaded))) leastLoaded = chosen
    }
    return leastLoaded ?? this.#visibleEngines(entry).find(e => e.leftAt === Infinity)
  }

  trackRequest (req: TraceRequest, engine: SimulatedEngine): { progress (tokens: number): void, end (): void } {
    const load = this.#loadOf(engine)
    const cachedTokens = engine.cache.peek(req.prompt) // the home's estimate is about what the engine has cached
    const item = load.begin(`account-${req.account}`, requestWork(req.placement, cachedTokens), this.#context.engines.now)
    return { progress: tokens => load.progress(item, tokens), end: () => load.end(item) }
  }

  tick (now: number): void {
    this.#report(now)
    while (this.#pendingReports[0] !== undefined && this.#pendingReports[0].at <= now) {
      const { engine, report } = this.#pendingReports.shift()!
      this.#loadOf(engine).recordReport(report, now)
    }
    if (now - this.#gossipedAt < this.#context.parameters.gossipMs / 4) return
    this.#gossipedAt = now
    this.#gossip(now)
  }

  #currentWork (engine: SimulatedEngine): number {
    return this.#loadOf(engine).work(this.#context.engines.now)
  }

  #decide (home: SimulatedRouter, req: TraceRequest, excluded: ReadonlySet<SimulatedEngine>): SimulatedEngine | undefined {
    const { now } = this.#context.engines
    const all = this.#visibleEngines(home).filter(e => !excluded.has(e))
    const usable = all.filter(e => home.work(e.hash, now) !== UNAVAILABLE)
    const ranked = rankTop(req.placement.keyHash, usable, RANKED_ENGINES)
    const warming = ranked[0] !== undefined && now - ranked[0].joinedAt < WARMING_MS && now > WARMING_MS
    const decision = home.placement.decide(req.placement, { model: 'm', limits: this.#context.parameters, ranked, all, warming }, home, now)
    if (decision !== undefined) home.placement.recordPlacement(req.placement, decision.engine.hash)
    return decision?.engine
  }

  /** Engines in a router's list, in which joins and leaves are delayed. */
  #visibleEngines (router: SimulatedRouter): SimulatedEngine[] {
    const { now } = this.#context.engines
    return this.#context.engines.all.filter(e => (e.joinedAt === 0 || now >= e.joinedAt + router.engineListLagMs) && now < e.leftAt + router.engineListLagMs)
  }

  #homeOf (engine: SimulatedEngine): SimulatedRouter {
    return rankTop(engine.hash, this.#routers, 1)[0]!
  }

  #loadOf (engine: SimulatedEngine): EndpointLoad {
    const { ownLoads } = this.#homeOf(engine)
    let load = ownLoads.get(engine.hash)
    if (load === undefined) {
      load = new EndpointLoad()
      load.recordReport(this.#context.engines.report(engine), this.#context.engines.now)
      ownLoads.set(engine.hash, load)
    }
    return load
  }

  #report (now: number): void {
    if (now - this.#reportedAt < REPORT_MS) return
    this.#reportedAt = now
    for (const engine of this.#context.engines.all) {
      this.#loadOf(engine)
      this.#pendingReports.push({ at: now + this.#context.parameters.loadLagMs, engine, report: this.#context.engines.report(engine) })
    }
  }

  /** Each router receives the loads of one peer every quarter of the gossip interval, so samples are up to some intervals old. */
  #gossip (now: number): void {
    for (const router of this.#routers) {
      const peer = this.#routers[Math.floor(this.#context.random.next() * this.#routers.length)]!
      for (const [hash, load] of peer.ownLoads) router.gossipedLoads.record(hash, load.work(now), now)
    }
  }
}
