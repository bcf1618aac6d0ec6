/**
 * Recent outcomes at one endpoint, from this instance and from reports of peers. When many instances each send few
 * requests to a failing endpoint, none of them alone records enough outcomes to detect it. Each instance reports only its
 * own outcomes, and only the latest report of each peer counts, so that a few failures in a row at one of many instances
 * don't eject an endpoint from all.
 */

const HALF_LIFE_MS = 1_500
const MAX_PEERS = 64 // a sample of the fleet is enough
const NEGLIGIBLE_COUNT = 0.05 // decayed count of requests below which a report is dropped
const SUM_TTL_MS = 50 // the combined counts are computed at most this often

/** Exponentially decayed counts of the requests that ended and of those that failed among them. */
export interface OutcomeCounts {
  readonly failed: number
  readonly ended: number
}

interface TimedCounts extends OutcomeCounts {
  readonly at: number
}

const NO_COUNTS: TimedCounts = { failed: 0, ended: 0, at: 0 }

/** Decays counts to `now`. */
function decayed (counts: TimedCounts, now: number): TimedCounts {
  const factor = 0.5 ** (Math.max(0, now - counts.at) / HALF_LIFE_MS)
  return { failed: counts.failed * factor, ended: counts.ended * factor, at: now }
}

/** Decayed outcome counts of one endpoint. */
export class OutcomeCounters {
  #local = NO_COUNTS
  readonly #byPeer = new Map<string, TimedCounts>()
  #sum = NO_COUNTS
  #sumUntil = -Infinity

  /** Counts an outcome of this instance. */
  record (failed: boolean, now: number): void {
    const { failed: before, ended } = decayed(this.#local, now)
    this.#local = { failed: before + (failed ? 1 : 0), ended: ended + 1, at: now }
    this.#sumUntil = -Infinity
  }

  /** Records a peer's report of its own outcomes; it replaces the peer's previous report. */
  recordPeerReport (peer: string, counts: OutcomeCounts, now: number): void {
    this.#byPeer.delete(peer) // re-inserted at the end, which keeps the map in order of age
    this.#byPeer.set(peer, { failed: counts.failed, ended: counts.ended, at: now })
    if (this.#byPeer.size > MAX_PEERS) this.#byPeer.delete(this.#byPeer.keys().next().value!)
  }

  /** Counts of this instance, for reports to peers. */
  local (now: number): OutcomeCounts {
    const { failed, ended } = decayed(this.#local, now)
    return { failed, ended }
  }

  /** Counts of this instance and its peers. */
  combined (now: number): OutcomeCounts {
    if (now < this.#sumUntil) return this.#sum
    let { failed, ended } = decayed(this.#local, now)
    for (const [peer, counts] of this.#byPeer) {
      const left = decayed(counts, now)
      failed += left.failed
      ended += left.ended
      if (left.ended < NEGLIGIBLE_COUNT) this.#byPeer.delete(peer)
    }
    this.#sum = { failed, ended, at: now }
    this.#sumUntil = now + SUM_TTL_MS
    return this.#sum
  }
}
