/** Runs one policy on the trace and summarises latency, cache reuse and load skew. */
import { SeededRandom } from '../common/SeededRandom.js'
import { BoundedLoad, LeastReportedLoad, Oracle, PowerOfTwoChoices, RendezvousHashing, RoundRobin, type IExperimentPolicy, type PolicyContext } from './Policies.js'
import { RouterFleet } from './RouterFleet.js'
import { SimulatedEngines } from './SimulatedEngines.js'
import { Trace, type Surge, type TraceParameters } from './Trace.js'

const STEP_MS = 50
const SAMPLE_MS = 1_000

/** Policies by their name in the output. */
export const POLICIES: Readonly<Record<string, (context: PolicyContext) => IExperimentPolicy>> = {
  roundRobin: context => new RoundRobin(context),
  leastReported: context => new LeastReportedLoad(context),
  twoChoices: context => new PowerOfTwoChoices(context),
  rendezvous: context => new RendezvousHashing(context),
  boundedLoad: context => new BoundedLoad(context),
  ours: context => new RouterFleet(context),
  oracle: context => new Oracle(context)
}

/** Events besides the trace. */
export interface Disruptions {
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
  /** Mean number of homes queried for a request; 0 for policies without homes. */
  readonly hops: number
}

/** Runs the named policy on the trace of the given seed. */
export function runPolicy (name: string, parameters: TraceParameters, seed: number, disruptions: Disruptions): PolicyResult {
  const engines = new SimulatedEngines(parameters)
  const policy = POLICIES[name]!({ parameters, engines, random: new SeededRandom(seed + 1) })
  const churnRandom = new SeededRandom(seed + 2)
  const replacements = [...disruptions.replaceAtMs]
  let refused = 0
  let sampledAt = 0
  const advance = (until: number): void => {
    while (engines.now + STEP_MS <= until) {
      if (replacements[0] !== undefined && engines.now >= replacements[0]) {
        replacements.shift()
        engines.active[churnRandom.below(engines.active.length)]!.leftAt = engines.now
        engines.join()
      }
      policy.tick?.(engines.now)
      engines.step(STEP_MS)
      if (engines.now - sampledAt < SAMPLE_MS) continue
      sampledAt = engines.now
      engines.sampleSkew()
    }
  }
  for (const req of new Trace(parameters, seed).requests(disruptions.surge)) {
    advance(req.at)
    const engine = policy.place(req)
    if (engine === undefined) {
      refused++
      continue
    }
    const tracker = policy.trackRequest?.(req, engine)
    engines.submit({ engine, request: req, onTokens: count => tracker?.progress(count), onEnd: () => tracker?.end() })
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
    hops: policy instanceof RouterFleet ? round(policy.hops / policy.requests, 3) : 0
  }
}

function round (value: number, digits: number): number {
  return Number(value.toFixed(digits))
}
