/** Compares the outcomes that callers got for marked calls (calls that must not be executed twice) with the executions at the workers. */
import type { LoadCounts } from '../load/LoadGenerator.js'
import type { Site } from './Site.js'

/** Violations of the at-most-once guarantee. */
export interface MarkedRuns {
  /** Calls that were executed more than once. */
  readonly doubleRuns: number
  /** Calls that were executed although their caller got the outcome `not-run`. */
  readonly notRunButRan: number
}

/** Reads the executions of all workers that answer and compares them with the counted calls. */
export async function compareMarkedRuns (site: Site, counts: LoadCounts): Promise<MarkedRuns> {
  const runs = new Map<string, number>()
  for (const worker of await site.workerStats()) {
    for (const [id, n] of Object.entries(worker.runs)) runs.set(id, (runs.get(id) ?? 0) + n)
  }
  return {
    doubleRuns: [...runs.values()].filter(n => n > 1).length,
    notRunButRan: [...counts.calls].filter(([id, outcome]) => outcome === 'not-run' && runs.has(id)).length
  }
}
