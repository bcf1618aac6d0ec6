/**
 * Recent outcomes at one endpoint, this instance's own and those that peers told of. Load pattern: many instances that
 * each send few requests to an endpoint that fails; none of them alone sees enough to tell. Each instance reports only
 * what it saw itself, and only the latest report of each peer counts, so that a few failures in a row at one of many
 * instances don't eject an endpoint from all.
 */

const HALF_LIFE_MS = 1_500
const MAX_PEERS = 64 // a sample of the fleet is enough
const FORGOTTEN = 0.05 // faded requests that no longer count
const SHARE_KEPT_MS = 50 // a share is worked out at most this often

/** Faded counts of requests that ended and of those that failed among them. */
export interface OutcomeCounts {
  readonly failed: number
  readonly ended: number
}

interface Told extends OutcomeCounts {
  readonly at: number
}

const NONE: Told = { failed: 0, ended: 0, at: 0 }

/** What is left of counts at `now`. */
function faded (counts: Told, now: number): Told {
  const factor = 0.5 ** (Math.max(0, now - counts.at) / HALF_LIFE_MS)
  return { failed: counts.failed * factor, ended: counts.ended * factor, at: now }
}

export class Outcomes {
  #own = NONE
  readonly #told = new Map<string, Told>()
  #sum = NONE
  #sumUntil = -Infinity

  /** Counts an outcome that this instance saw. */
  note (failed: boolean, now: number): void {
    const { failed: before, ended } = faded(this.#own, now)
    this.#own = { failed: before + (failed ? 1 : 0), ended: ended + 1, at: now }
    this.#sumUntil = -Infinity
  }

  /** Takes in a peer's report of what it saw itself; it replaces the peer's previous one. */
  told (peer: string, counts: OutcomeCounts, now: number): void {
    this.#told.delete(peer) // moves it to the end of the map's order, which is that of age
    this.#told.set(peer, { failed: counts.failed, ended: counts.ended, at: now })
    if (this.#told.size > MAX_PEERS) this.#told.delete(this.#told.keys().next().value!)
  }

  /** What this instance saw, to tell peers. */
  own (now: number): OutcomeCounts {
    const { failed, ended } = faded(this.#own, now)
    return { failed, ended }
  }

  /** What this instance and its peers saw. */
  all (now: number): OutcomeCounts {
    if (now < this.#sumUntil) return this.#sum
    let { failed, ended } = faded(this.#own, now)
    for (const [peer, counts] of this.#told) {
      const left = faded(counts, now)
      failed += left.failed
      ended += left.ended
      if (left.ended < FORGOTTEN) this.#told.delete(peer)
    }
    this.#sum = { failed, ended, at: now }
    this.#sumUntil = now + SHARE_KEPT_MS
    return this.#sum
  }
}
