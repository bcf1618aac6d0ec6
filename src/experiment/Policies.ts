/** Baselines and the oracle, all on the same trace as the router's own placement. */
import type { IRandom } from '../common/Services.js'
import { rankTop } from '../common/Rendezvous.js'
import { requestWork } from '../common/placement/PlacementPolicy.js'
import type { SimulatedEngine, SimulatedEngines } from './SimulatedEngines.js'
import type { TraceParameters, TraceRequest } from './Trace.js'

/** Places requests; hooks for what it learns late. */
export interface IExperimentPolicy {
  /** Engine for a request; undefined refuses it. */
  place (req: TraceRequest): SimulatedEngine | undefined
  trackRequest? (req: TraceRequest, engine: SimulatedEngine): { progress (tokens: number): void, end (): void }
  /** Called each step. */
  tick? (now: number): void
}

/** What a policy is built from. */
export interface PolicyContext {
  readonly parameters: TraceParameters
  readonly engines: SimulatedEngines
  readonly random: IRandom
}

/** Load as the engines reported it, late: every router sees the same. */
class DelayedLoads {
  readonly #context: PolicyContext
  #history: Array<{ readonly at: number, readonly loads: ReadonlyMap<SimulatedEngine, number> }> = []
  #sampledAt = -Infinity

  constructor (context: PolicyContext) {
    this.#context = context
  }

  tick (now: number): void {
    if (now - this.#sampledAt < 200) return
    this.#sampledAt = now
    this.#history.push({ at: now, loads: new Map(this.#context.engines.active.map(e => [e, e.batch.work])) })
    while (this.#history.length > 1 && this.#history[1]!.at <= now - this.#context.parameters.loadLagMs) this.#history.shift()
  }

  load (engine: SimulatedEngine): number {
    return this.#history[0]?.loads.get(engine) ?? 0
  }
}

export class RoundRobin implements IExperimentPolicy {
  readonly #context: PolicyContext
  #next = 0

  constructor (context: PolicyContext) {
    this.#context = context
  }

  place (): SimulatedEngine | undefined {
    const active = this.#context.engines.active
    return active[this.#next++ % active.length]
  }
}

/** Base of the policies that go by reported load. */
abstract class ReportedLoadPolicy implements IExperimentPolicy {
  protected readonly context: PolicyContext
  protected readonly loads: DelayedLoads

  constructor (context: PolicyContext) {
    this.context = context
    this.loads = new DelayedLoads(context)
  }

  tick (now: number): void {
    this.loads.tick(now)
  }

  abstract place (): SimulatedEngine | undefined
}

export class LeastReportedLoad extends ReportedLoadPolicy {
  override place (): SimulatedEngine | undefined {
    return this.context.engines.active.reduce((a, b) => this.loads.load(b) < this.loads.load(a) ? b : a)
  }
}

export class PowerOfTwoChoices extends ReportedLoadPolicy {
  override place (): SimulatedEngine | undefined {
    const { engines, random } = this.context
    const pickRandom = (): SimulatedEngine => engines.active[Math.floor(random.next() * engines.active.length)]!
    const [a, b] = [pickRandom(), pickRandom()]
    return this.loads.load(a) <= this.loads.load(b) ? a : b
  }
}

export class RendezvousHashing implements IExperimentPolicy {
  readonly #context: PolicyContext

  constructor (context: PolicyContext) {
    this.#context = context
  }

  place (req: TraceRequest): SimulatedEngine | undefined {
    return rankTop(req.placement.keyHash, this.#context.engines.active, 1)[0]
  }
}

/** Consistent hashing with bounded loads: each router bounds its own requests in flight, as it knows no others. */
export class BoundedLoad implements IExperimentPolicy {
  readonly #context: PolicyContext
  readonly #counts: Array<Map<SimulatedEngine, number>>
  #router = 0

  constructor (context: PolicyContext) {
    this.#context = context
    this.#counts = Array.from({ length: context.parameters.routers }, () => new Map())
  }

  place (req: TraceRequest): SimulatedEngine | undefined {
    const { engines, random, parameters: parameters } = this.#context
    this.#router = Math.floor(random.next() * parameters.routers)
    const counts = this.#counts[this.#router]!
    const total = [...counts.values()].reduce((a, b) => a + b, 0) + 1
    const limit = Math.ceil(parameters.loadBound * total / engines.active.length)
    return rankTop(req.placement.keyHash, engines.active, engines.active.length).find(e => (counts.get(e) ?? 0) < limit)
  }

  trackRequest (_req: TraceRequest, engine: SimulatedEngine): { progress (): void, end (): void } {
    const counts = this.#counts[this.#router]!
    counts.set(engine, (counts.get(engine) ?? 0) + 1)
    return { progress: () => {}, end: () => { counts.set(engine, counts.get(engine)! - 1) } }
  }
}

/** Knows all loads and caches at once: the most cached prefix among the engines within the bound. */
export class Oracle implements IExperimentPolicy {
  readonly #context: PolicyContext

  constructor (context: PolicyContext) {
    this.#context = context
  }

  place (req: TraceRequest): SimulatedEngine | undefined {
    const active = this.#context.engines.active
    const works = new Map(active.map(e => [e, e.batch.work]))
    const total = [...works.values()].reduce((a, b) => a + b, 0)
    let best: SimulatedEngine | undefined
    let bestCached = -1
    for (const engine of active) {
      const cached = engine.cache.peek(req.prompt)
      const added = requestWork(req.placement, cached)
      const work = works.get(engine)!
      if (work > 0 && work + added > this.#context.parameters.loadBound * (total + added) / active.length) continue
      if (cached > bestCached || (cached === bestCached && work < works.get(best!)!)) {
        best = engine
        bestCached = cached
      }
    }
    return best ?? active.reduce((a, b) => works.get(b)! < works.get(a)! ? b : a)
  }
}
