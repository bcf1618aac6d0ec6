/** Baselines and the oracle, all on the same trace as the router's own placement. */
import type { IRandom } from '../common/Services.js'
import { rankTop } from '../common/Rendezvous.js'
import { requestWork } from '../common/placement/PlacementPolicy.js'
import type { FakeEngine, FakeEngines } from './FakeEngines.js'
import type { TraceParameters, TraceRequest } from './Trace.js'

/** Places requests; hooks for what it learns late. */
export interface IPlacementUnderTest {
  /** Engine for a request; undefined refuses it. */
  place (req: TraceRequest): FakeEngine | undefined
  started? (req: TraceRequest, engine: FakeEngine): { progress (tokens: number): void, end (): void }
  /** Called each step. */
  tick? (now: number): void
}

/** What a policy is built from. */
export interface PolicyWorld {
  readonly p: TraceParameters
  readonly engines: FakeEngines
  readonly random: IRandom
}

/** Load as the engines reported it, late: every router sees the same. */
class LaggedLoads {
  readonly #world: PolicyWorld
  #history: Array<{ readonly at: number, readonly loads: ReadonlyMap<FakeEngine, number> }> = []
  #sampledAt = -Infinity

  constructor (world: PolicyWorld) {
    this.#world = world
  }

  tick (now: number): void {
    if (now - this.#sampledAt < 200) return
    this.#sampledAt = now
    this.#history.push({ at: now, loads: new Map(this.#world.engines.present.map(e => [e, e.batch.work])) })
    while (this.#history.length > 1 && this.#history[1]!.at <= now - this.#world.p.loadLagMs) this.#history.shift()
  }

  load (engine: FakeEngine): number {
    return this.#history[0]?.loads.get(engine) ?? 0
  }
}

export class RoundRobin implements IPlacementUnderTest {
  readonly #world: PolicyWorld
  #next = 0

  constructor (world: PolicyWorld) {
    this.#world = world
  }

  place (): FakeEngine | undefined {
    const present = this.#world.engines.present
    return present[this.#next++ % present.length]
  }
}

/** Base of the policies that go by reported load. */
abstract class OnReportedLoad implements IPlacementUnderTest {
  protected readonly world: PolicyWorld
  protected readonly loads: LaggedLoads

  constructor (world: PolicyWorld) {
    this.world = world
    this.loads = new LaggedLoads(world)
  }

  tick (now: number): void {
    this.loads.tick(now)
  }

  abstract place (): FakeEngine | undefined
}

export class LeastReported extends OnReportedLoad {
  override place (): FakeEngine | undefined {
    return this.world.engines.present.reduce((a, b) => this.loads.load(b) < this.loads.load(a) ? b : a)
  }
}

export class TwoChoices extends OnReportedLoad {
  override place (): FakeEngine | undefined {
    const { engines, random } = this.world
    const any = (): FakeEngine => engines.present[Math.floor(random.next() * engines.present.length)]!
    const [a, b] = [any(), any()]
    return this.loads.load(a) <= this.loads.load(b) ? a : b
  }
}

export class PlainRendezvous implements IPlacementUnderTest {
  readonly #world: PolicyWorld

  constructor (world: PolicyWorld) {
    this.#world = world
  }

  place (req: TraceRequest): FakeEngine | undefined {
    return rankTop(req.placement.keyHash, this.#world.engines.present, 1)[0]
  }
}

/** Consistent hashing with bounded loads: each router bounds its own requests in flight, as it knows no others. */
export class BoundedLoad implements IPlacementUnderTest {
  readonly #world: PolicyWorld
  readonly #counts: Array<Map<FakeEngine, number>>
  #router = 0

  constructor (world: PolicyWorld) {
    this.#world = world
    this.#counts = Array.from({ length: world.p.routers }, () => new Map())
  }

  place (req: TraceRequest): FakeEngine | undefined {
    const { engines, random, p } = this.#world
    this.#router = Math.floor(random.next() * p.routers)
    const counts = this.#counts[this.#router]!
    const total = [...counts.values()].reduce((a, b) => a + b, 0) + 1
    const limit = Math.ceil(p.loadBound * total / engines.present.length)
    return rankTop(req.placement.keyHash, engines.present, engines.present.length).find(e => (counts.get(e) ?? 0) < limit)
  }

  started (_req: TraceRequest, engine: FakeEngine): { progress (): void, end (): void } {
    const counts = this.#counts[this.#router]!
    counts.set(engine, (counts.get(engine) ?? 0) + 1)
    return { progress: () => {}, end: () => { counts.set(engine, counts.get(engine)! - 1) } }
  }
}

/** Knows all loads and caches at once: the most cached prefix among the engines within the bound. */
export class Oracle implements IPlacementUnderTest {
  readonly #world: PolicyWorld

  constructor (world: PolicyWorld) {
    this.#world = world
  }

  place (req: TraceRequest): FakeEngine | undefined {
    const present = this.#world.engines.present
    const works = new Map(present.map(e => [e, e.batch.work]))
    const total = [...works.values()].reduce((a, b) => a + b, 0)
    let best: FakeEngine | undefined
    let bestCached = -1
    for (const engine of present) {
      const cached = engine.cache.peek(req.prompt)
      const added = requestWork(req.placement, cached)
      const work = works.get(engine)!
      if (work > 0 && work + added > this.#world.p.loadBound * (total + added) / present.length) continue
      if (cached > bestCached || (cached === bestCached && work < works.get(best!)!)) {
        best = engine
        bestCached = cached
      }
    }
    return best ?? present.reduce((a, b) => works.get(b)! < works.get(a)! ? b : a)
  }
}
