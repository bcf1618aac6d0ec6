/**
 * Recent outcomes at one endpoint, from this instance and from reports of peers. When many instances each send few
 * requests to a failing endpoint, none of them alone records enough outcomes to detect it. Each instance reports only its
 * own outcomes, and only the latest report of each peer counts, so that a few failures in a row at one of many instances
 * don't eject an endpoint from all. The sums are kept up to date, so that a report costs the same however many peers there are.
 */
import { DecayedCounts, type OutcomeCounts } from './DecayedCounts.js'

const MAX_PEERS = 64 // a sample of the fleet is enough
const NEGLIGIBLE_COUNT = 0.05 // decayed count of requests below which a report is dropped

/** Decayed outcome counts of one endpoint. */
export class OutcomeCounters {
  readonly #local = new DecayedCounts()
  /** Latest report of each peer, in order of receipt. */
  readonly #byPeer = new Map<string, DecayedCounts>()
  readonly #sum = new DecayedCounts()
  /** Counts of the endpoint's service, while the endpoint is one of those that are counted there. */
  #service: DecayedCounts | undefined

  /** Adds this endpoint's counts to those of its service from now on. */
  joinService (service: DecayedCounts, now: number): void {
    this.leaveService(now)
    this.#service = service
    service.add(this.#sum.failed(now), this.#sum.ended(now), now)
  }

  /** Takes this endpoint's counts off those of its service. */
  leaveService (now: number): void {
    this.#service?.add(-this.#sum.failed(now), -this.#sum.ended(now), now)
    this.#service = undefined
  }

  /** Counts an outcome of this instance. */
  record (failed: boolean, now: number): void {
    this.#local.add(failed ? 1 : 0, 1, now)
    this.#add(failed ? 1 : 0, 1, now)
  }

  /** Records a peer's report of its own outcomes; it replaces the peer's previous report. */
  recordPeerReport (peer: string, counts: OutcomeCounts, now: number): void {
    const previous = this.#byPeer.get(peer)
    if (previous === undefined) this.#add(counts.failed, counts.ended, now)
    else this.#add(counts.failed - previous.failed(now), counts.ended - previous.ended(now), now)
    const report = previous ?? new DecayedCounts()
    report.set(counts.failed, counts.ended, now)
    if (previous !== undefined) this.#byPeer.delete(peer) // re-inserted at the end, which keeps the map in order of receipt
    this.#byPeer.set(peer, report)
    this.#dropOldest(now)
  }

  /** Counts of this instance, for reports to peers. */
  local (now: number): OutcomeCounts {
    return this.#local.counts(now)
  }

  /** Counts of this instance and its peers. */
  combined (now: number): OutcomeCounts {
    return this.#sum.counts(now)
  }

  #add (failed: number, ended: number, now: number): void {
    this.#sum.add(failed, ended, now)
    this.#service?.add(failed, ended, now)
  }

  #dropOldest (now: number): void {
    for (const [peer, report] of this.#byPeer) {
      const { failed, ended } = report.counts(now)
      if (this.#byPeer.size <= MAX_PEERS && ended >= NEGLIGIBLE_COUNT) return
      this.#add(-failed, -ended, now)
      this.#byPeer.delete(peer)
    }
  }
}
