/** Policy experiments: churn, skew and surge, with all policies on the same trace in one run. */
import { formatTable } from '../common/Table.js'
import { POLICIES, runPolicy, type Disruptions, type PolicyResult } from './PolicyRun.js'
import { readParameters, type TraceParameters } from './Trace.js'

const MAX_SKEW_TARGET = 1.5
const REUSE_TARGET = 0.95
const TTFT_TARGET_MS = 1_400
const SURGE_FACTOR = 20
const SURGE_ACCOUNT = 7

/** Parameters and disruptions of one experiment. */
interface PolicyExperiment {
  readonly description: string
  readonly parameters: Partial<TraceParameters>
  readonly disruptions: Disruptions
}

/** Policy experiments by name. */
export const POLICY_EXPERIMENTS: Readonly<Record<string, PolicyExperiment>> = {
  churn: {
    description: '10% of the engines replaced in 10 min, routers disagreeing for up to 5 s',
    parameters: { seconds: 720 },
    disruptions: { replaceAtMs: [300_000, 500_000] }
  },
  skew: {
    description: 'no churn; the skew of each second',
    parameters: { seconds: 420 },
    disruptions: { replaceAtMs: [] }
  },
  surge: {
    description: 'one account at 20 times its traffic for 60 s',
    parameters: { seconds: 420 },
    disruptions: { replaceAtMs: [], surge: { account: SURGE_ACCOUNT, factor: SURGE_FACTOR, fromMs: 240_000, toMs: 300_000 } }
  }
}

type Row = PolicyResult & { readonly reuseOfOracle: number }

/** Runs all policies and prints a table, the missed targets, and one JSON line. */
export function runPolicyExperiment (name: string, seed: number, jsonOnly: boolean): void {
  const experiment = POLICY_EXPERIMENTS[name]!
  const parameters = { ...readParameters(), ...experiment.parameters }
  const results = Object.fromEntries(Object.keys(POLICIES).map(policy => [policy, runPolicy(policy, parameters, seed, experiment.disruptions)]))
  const oracle = results.oracle!.reuse
  const rows = Object.fromEntries(Object.entries(results).map(([policy, r]): [string, Row] => {
    return [policy, { ...r, reuseOfOracle: Number((r.reuse / oracle).toFixed(4)) }]
  }))
  if (!jsonOnly) {
    console.log(`${name}: ${experiment.description}; seed ${seed}\n`)
    const cells = Object.entries(rows).map(([policy, r]) => [policy, r.reuse, r.reuseOfOracle, r.p99Skew, r.maxSkew, r.ttftP95Ms, r.refused, r.hops])
    console.log(formatTable(['POLICY', 'REUSE', 'OF ORACLE', 'P99 SKEW', 'MAX SKEW', 'TTFT P95 MS', 'REFUSED', 'HOMES ASKED'], cells))
    const missed = missedTargets(rows, parameters)
    console.log(missed.length === 0 ? '\nall targets met' : `\nMISSED: ${missed.join('; ')}`)
  }
  console.log(JSON.stringify({ policy: rows }))
}

function missedTargets (rows: Readonly<Record<string, Row>>, parameters: TraceParameters): string[] {
  const ours = rows.ours!
  const missed: string[] = []
  if (ours.reuseOfOracle < REUSE_TARGET) missed.push(`reuse ${ours.reuseOfOracle} of the oracle's, target ${REUSE_TARGET}`)
  if (ours.p99Skew > parameters.loadBound) missed.push(`p99 skew ${ours.p99Skew}, target ${parameters.loadBound}`)
  if (ours.maxSkew > MAX_SKEW_TARGET) missed.push(`max skew ${ours.maxSkew}, target ${MAX_SKEW_TARGET}`)
  if (ours.ttftP95Ms > TTFT_TARGET_MS) missed.push(`first token p95 ${ours.ttftP95Ms} ms, target ${TTFT_TARGET_MS} ms`)
  const better = Object.entries(rows).filter(([name, r]) => name !== 'ours' && name !== 'oracle' && r.p99Skew <= parameters.loadBound && r.reuse > ours.reuse)
  if (better.length > 0) missed.push(`reuse below ${better.map(([name]) => name).join(', ')}, which hold the bound`)
  return missed
}
