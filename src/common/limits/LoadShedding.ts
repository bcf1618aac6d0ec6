/** Load shedding: rejects requests that have not run yet, by priority and by the account's share of the fleet. */
import type { LoadReport } from '../placement/EndpointLoad.js'

const QUEUE_PER_SLOT = [0.5, 0.6, 0.7, 0.8, 1, 1.2, 1.4, 1.6, 1.8, 2] as const // indexed by priority; priority 9 accepts the longest queue
const WITHIN_SHARE_EXTRA_QUEUE = 1 // added queue per slot for an account within its share

/** True when the engine's queue is too long for a request of this priority. */
export function shouldShed (report: LoadReport, inFlight: number, priority: number, withinShare: boolean): boolean {
  const requests = Math.max(inFlight, report.running + report.queued)
  const queue = requests - report.slots
  const limit = QUEUE_PER_SLOT[Math.min(9, Math.max(0, priority))]! + (withinShare ? WITHIN_SHARE_EXTRA_QUEUE : 0)
  return queue >= report.slots * limit
}
