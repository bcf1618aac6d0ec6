/**
 * Several instances of the router's own decision core on the trace, each with its own delayed view: samples of
 * load by gossip, late reports, late and lossy cache events, engine lists that disagree for seconds.
 */
import { MAX_PLACEMENT_ATTEMPTS } from '../common/Constants.js'
import { hashString } from '../common/Hash.js'
import { EndpointLoad, type LoadReport } from '../common/placement/EndpointLoad.js'
import { HomePlacement } from '../common/placement/HomePlacement.js'
import { LoadView, UNAVAILABLE, type ILoadView } from '../common/placement/LoadView.js'
import { RANKED_ENGINES, requestWork } from '../common/placement/PlacementPolicy.js'
import { rankTop, type RendezvousCandidate } from '../common/Rendezvous.js'
import type { FakeEngine } from './FakeEngines.js'
import type { IPlacementUnderTest, PolicyWorld } from './Policies.js'
import type { TraceRequest } from './Trace.js'

const DIRECTORY_CHATS = 16_384
const REPORT_MS = 200
const WARMING_MS = 60_000

/** One router. */
class Node implements ILoadView, RendezvousCandidate {
  readonly hash: number
  readonly weight = 1
  readonly placement = new HomePlacement(DIRECTORY_CHATS)
  readonly samples = new LoadView()
  readonly own = new Map<number, EndpointLoad>()
  /** How late this node learns of an engine that joins or leaves. */
  readonly listLagMs: number

  constructor (index: number, listLagMs: number) {
    this.hash = hashString(`router-${index}`)
    this.listLagMs = listLagMs
  }

  work (endpointHash: number, now: number): number | undefined {
    const load = this.own.get(endpointHash)
    return load === undefined ? this.samples.work(endpointHash, now) : load.work(now)
  }
}

export class OurFleet implements IPlacementUnderTest {
  readonly #world: PolicyWorld
  readonly #nodes: Node[]
  readonly #pendingReports: Array<{ readonly at: number, readonly engine: FakeEngine, readonly report: LoadReport }> = []
  #reportedAt = -Infinity
  #gossipedAt = -Infinity
  hops = 0
  requests = 0

  constructor (world: PolicyWorld) {
    this.#world = world
    this.#nodes = Array.from({ length: world.p.routers }, (_, i) => new Node(i, world.random.next() * world.p.disagreeMs))
  }

  place (req: TraceRequest): FakeEngine | undefined {
    const { random } = this.#world
    const { now } = this.#world.engines
    const entry = this.#nodes[Math.floor(random.next() * this.#nodes.length)]!
    const excluded = new Set<FakeEngine>()
    let least: FakeEngine | undefined
    this.requests++
    for (let attempt = 0; attempt < MAX_PLACEMENT_ATTEMPTS - 1; attempt++) {
      const first = rankTop(req.placement.keyHash, this.#seenBy(entry).filter(e => !excluded.has(e) && entry.work(e.hash, now) !== UNAVAILABLE), 1)[0]
      if (first === undefined) break
      this.hops++
      const home = this.#homeOf(first)
      const chosen = this.#decide(home, req, excluded)
      if (chosen === undefined) break
      const target = this.#homeOf(chosen)
      if (target === home) return chosen
      this.hops++
      const all = this.#seenBy(target)
      const load = this.#loadOf(chosen)
      if (load.isAvailable(now) && target.placement.accepts(req.placement, chosen, { model: 'm', limits: this.#world.p, all }, target, now)) return chosen
      excluded.add(chosen)
      if (load.isAvailable(now) && (least === undefined || load.work(now) < this.#exact(least))) least = chosen
    }
    return least ?? this.#seenBy(entry).find(e => e.leftAt === Infinity)
  }

  started (req: TraceRequest, engine: FakeEngine): { progress (tokens: number): void, end (): void } {
    const load = this.#loadOf(engine)
    const held = engine.cache.peek(req.prompt) // the home expects about what the engine holds
    const item = load.begin(`account-${req.account}`, requestWork(req.placement, held), this.#world.engines.now)
    return { progress: tokens => load.progress(item, tokens), end: () => load.end(item) }
  }

  tick (now: number): void {
    this.#report(now)
    while (this.#pendingReports[0] !== undefined && this.#pendingReports[0].at <= now) {
      const { engine, report } = this.#pendingReports.shift()!
      this.#loadOf(engine).recordReport(report, now)
    }
    if (now - this.#gossipedAt < this.#world.p.gossipMs / 4) return
    this.#gossipedAt = now
    this.#gossip(now)
  }

  #exact (engine: FakeEngine): number {
    return this.#loadOf(engine).work(this.#world.engines.now)
  }

  #decide (home: Node, req: TraceRequest, excluded: ReadonlySet<FakeEngine>): FakeEngine | undefined {
    const { now } = this.#world.engines
    const all = this.#seenBy(home).filter(e => !excluded.has(e))
    const usable = all.filter(e => home.work(e.hash, now) !== UNAVAILABLE)
    const ranked = rankTop(req.placement.keyHash, usable, RANKED_ENGINES)
    const warming = ranked[0] !== undefined && now - ranked[0].joinedAt < WARMING_MS && now > WARMING_MS
    const decision = home.placement.decide(req.placement, { model: 'm', limits: this.#world.p, ranked, all, warming }, home, now)
    if (decision !== undefined) home.placement.recordPlacement(req.placement, decision.engine.hash)
    return decision?.engine
  }

  /** Engines that a node knows of: it learns of a join or leave late. */
  #seenBy (node: Node): FakeEngine[] {
    const { now } = this.#world.engines
    return this.#world.engines.engines.filter(e => (e.joinedAt === 0 || now >= e.joinedAt + node.listLagMs) && now < e.leftAt + node.listLagMs)
  }

  #homeOf (engine: FakeEngine): Node {
    return rankTop(engine.hash, this.#nodes, 1)[0]!
  }

  #loadOf (engine: FakeEngine): EndpointLoad {
    const { own } = this.#homeOf(engine)
    let load = own.get(engine.hash)
    if (load === undefined) {
      load = new EndpointLoad()
      load.recordReport(this.#world.engines.report(engine), this.#world.engines.now)
      own.set(engine.hash, load)
    }
    return load
  }

  #report (now: number): void {
    if (now - this.#reportedAt < REPORT_MS) return
    this.#reportedAt = now
    for (const engine of this.#world.engines.engines) {
      this.#loadOf(engine)
      this.#pendingReports.push({ at: now + this.#world.p.loadLagMs, engine, report: this.#world.engines.report(engine) })
    }
  }

  /** Each node hears one other a quarter of the gossip interval: samples are up to some intervals old. */
  #gossip (now: number): void {
    for (const node of this.#nodes) {
      const other = this.#nodes[Math.floor(this.#world.random.next() * this.#nodes.length)]!
      for (const [hash, load] of other.own) node.samples.record(hash, load.work(now), now)
    }
  }
}
