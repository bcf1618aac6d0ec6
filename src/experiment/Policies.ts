/** Baseline policies and the oracle, which run on the same trace as the router's own placement. */
import type { IRandom } from '../common/Services.js'
import { rankTop } from '../common/Rendezvous.js'
import { requestWork } from '../common/placement/PlacementPolicy.js'
import type { SimulatedEngine, SimulatedEngines } from './SimulatedEngines.js'
import type { TraceParameters, TraceRequest } from './Trace.js'

/** A placement policy, with hooks for information that reaches it late. */
export interface IExperimentPolicy {
  /** Picks the engine for a request; undefined refuses the request. */
  place (req: TraceRequest): SimulatedEngine | undefined
  /** Called when a request has been placed; returns callbacks for its decoded tokens and its end. */
  trackRequest? (req: TraceRequest, engine: SimulatedEngine): { progress (tokens: number): void, end (): void }
  /** Called in each step of the simulation. */
  tick? (now: number): void
}

/** Environment of a policy. */
export interface PolicyContext {
  readonly parameters: TraceParameters
  readonly engines: SimulatedEngines
  readonly random: IRandom
}

/** Loads as reported by the engines with a delay; every router sees the same. */
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

/** Picks the engines in turn. */
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

/** Base class of the policies that use reported loads. */
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

/** Picks the engine with the lowest reported load. */
export class LeastReportedLoad extends ReportedLoadPolicy {
  override place (): SimulatedEngine | undefined {
    return this.context.engines.active.reduce((a, b) => this.loads.load(b) < this.loads.load(a) ? b : a)
  }
}

/** Picks the less loaded of two random engines. */
export class PowerOfTwoChoices extends ReportedLoadPolicy {
  override place (): SimulatedEngine | undefined {
    const { engines, random } = this.context
    const pickRandom = (): SimulatedEngine => engines.active[Math.floor(random.next() * engines.active.length)]!
    const [a, b] = [pickRandom(), pickRandom()]
    return this.loads.load(a) <= this.loads.load(b) ? a : b
  }
}

/** Picks the engine by rendezvous hashing of the chat's key, regardless of load. */
export class RendezvousHashing implements IExperimentPolicy {
  readonly #context: PolicyContext

  constructor (context: PolicyContext) {
    this.#context = context
  }

  place (req: TraceRequest): SimulatedEngine | undefined {
    return rankTop(req.placement.keyHash, this.#context.engines.active, 1)[0]
  }
}

/** Consistent hashing with bounded loads: each router bounds its own requests in flight, as it has no data of the others. */
export class BoundedLoad implements IExperimentPolicy {
  readonly #context: PolicyContext
  readonly #counts: Array<Map<SimulatedEngine, number>>
  #router = 0

  constructor (context: PolicyContext) {
    this.#context = context
    this.#counts = Array.from({ length: context.parameters.routers }, () => new Map())
  }

  place (req: TraceRequest): SimulatedEngine | undefined {
    const { engines, random, parameters } = this.#context
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

/** Uses the current loads and caches of all engines: picks the longest cached prefix among the engines within the bound. */
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
