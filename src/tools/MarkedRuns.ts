/** Compares what callers were told of marked calls with what the workers ran. */
import type { LoadCounts } from '../load/LoadGenerator.js'
import type { Site } from './Site.js'

export interface MarkedRuns {
  readonly doubleRuns: number
  /** Calls that ran though their caller was told that they had not. */
  readonly notRunButRan: number
}

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
