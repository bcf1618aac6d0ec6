/** Runs one policy on the trace and sums up what the users measure. */
import { SeededRandom } from '../common/SeededRandom.js'
import { FakeEngines } from './FakeEngines.js'
import { OurFleet } from './OurFleet.js'
import { BoundedLoad, LeastReported, Oracle, PlainRendezvous, RoundRobin, TwoChoices, type IPlacementUnderTest, type PolicyWorld } from './Policies.js'
import { Trace, type Surge, type TraceParameters } from './Trace.js'

const STEP_MS = 50
const SAMPLE_MS = 1_000

/** Policies by the name in the output. */
export const POLICIES: Readonly<Record<string, (world: PolicyWorld) => IPlacementUnderTest>> = {
  roundRobin: world => new RoundRobin(world),
  leastReported: world => new LeastReported(world),
  twoChoices: world => new TwoChoices(world),
  rendezvous: world => new PlainRendezvous(world),
  boundedLoad: world => new BoundedLoad(world),
  ours: world => new OurFleet(world),
  oracle: world => new Oracle(world)
}

/** What goes on besides the trace. */
export interface Course {
  /** Times at which an engine leaves and another joins. */
  readonly replaceAtMs: readonly number[]
  readonly surge?: Surge
}

/** Result of one policy. */
export interface PolicyResult {
  readonly reuse: number
  readonly maxSkew: number
  readonly p99Skew: number
  readonly ttftP95Ms: number
  readonly refused: number
  /** Homes asked for each request; 0 for policies without homes. */
  readonly hops: number
}

export function runPolicy (name: string, p: TraceParameters, seed: number, course: Course): PolicyResult {
  const engines = new FakeEngines(p)
  const policy = POLICIES[name]!({ p, engines, random: new SeededRandom(seed + 1) })
  const churn = new SeededRandom(seed + 2)
  const replacements = [...course.replaceAtMs]
  let refused = 0
  let sampledAt = 0
  const advance = (to: number): void => {
    while (engines.now + STEP_MS <= to) {
      if (replacements[0] !== undefined && engines.now >= replacements[0]) {
        replacements.shift()
        engines.present[churn.below(engines.present.length)]!.leftAt = engines.now
        engines.join()
      }
      policy.tick?.(engines.now)
      engines.step(STEP_MS)
      if (engines.now - sampledAt < SAMPLE_MS) continue
      sampledAt = engines.now
      engines.sampleSkew()
    }
  }
  for (const req of new Trace(p, seed).requests(course.surge)) {
    advance(req.at)
    const engine = policy.place(req)
    if (engine === undefined) {
      refused++
      continue
    }
    const started = policy.started?.(req, engine)
    engines.submit({ engine, request: req, onTokens: count => started?.progress(count), onEnd: () => started?.end() })
  }
  const { totals } = engines
  totals.skew.sort((a, b) => a - b)
  totals.firstTokenMs.sort((a, b) => a - b)
  return {
    reuse: round(totals.returningCached / totals.returningTokens, 4),
    maxSkew: round(totals.skew.at(-1) ?? 0, 3),
    p99Skew: round(totals.skew[Math.floor(totals.skew.length * 0.99)] ?? 0, 3),
    ttftP95Ms: Math.round(totals.firstTokenMs[Math.floor(totals.firstTokenMs.length * 0.95)] ?? 0),
    refused,
    hops: policy instanceof OurFleet ? round(policy.hops / policy.requests, 3) : 0
  }
}

function round (value: number, digits: number): number {
  return Number(value.toFixed(digits))
}
