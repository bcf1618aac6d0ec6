/**
 * Recent outcomes at one endpoint, this instance's own and those that peers told of. Load pattern: many instances that
 * each send few requests to an endpoint that fails; none of them alone sees enough to tell. Each instance reports only
 * what it saw itself, and only the latest report of each peer counts, so that a few failures in a row at one of many
 * instances don't eject an endpoint from all.
 */

const HALF_LIFE_MS = 1_500
const MAX_PEERS = 64 // a sample of the fleet is enough
const NEGLIGIBLE_COUNT = 0.05 // faded requests that no longer count
const SUM_TTL_MS = 50 // a share is worked out at most this often

/** Faded counts of requests that ended and of those that failed among them. */
export interface OutcomeCounts {
  readonly failed: number
  readonly ended: number
}

interface TimedCounts extends OutcomeCounts {
  readonly at: number
}

const NO_COUNTS: TimedCounts = { failed: 0, ended: 0, at: 0 }

/** What is left of counts at `now`. */
function decayed (counts: TimedCounts, now: number): TimedCounts {
  const factor = 0.5 ** (Math.max(0, now - counts.at) / HALF_LIFE_MS)
  return { failed: counts.failed * factor, ended: counts.ended * factor, at: now }
}

export class OutcomeCounters {
  #local = NO_COUNTS
  readonly #byPeer = new Map<string, TimedCounts>()
  #sum = NO_COUNTS
  #sumUntil = -Infinity

  /** Counts an outcome that this instance saw. */
  record (failed: boolean, now: number): void {
    const { failed: before, ended } = decayed(this.#local, now)
    this.#local = { failed: before + (failed ? 1 : 0), ended: ended + 1, at: now }
    this.#sumUntil = -Infinity
  }

  /** Takes in a peer's report of what it saw itself; it replaces the peer's previous one. */
  recordPeerReport (peer: string, counts: OutcomeCounts, now: number): void {
    this.#byPeer.delete(peer) // moves it to the end of the map's order, which is that of age
    this.#byPeer.set(peer, { failed: counts.failed, ended: counts.ended, at: now })
    if (this.#byPeer.size > MAX_PEERS) this.#byPeer.delete(this.#byPeer.keys().next().value!)
  }

  /** What this instance saw, to tell peers. */
  local (now: number): OutcomeCounts {
    const { failed, ended } = decayed(this.#local, now)
    return { failed, ended }
  }

  /** What this instance and its peers saw. */
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
