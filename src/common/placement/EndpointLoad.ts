/**
 * Exact outstanding work of one endpoint at its home, joined with the endpoint's lagging report, so that the
 * load bound holds also while two nodes both act as its home.
 */
import { ENDPOINT_LOAD_TIMEOUT_MS, ENDPOINT_READMIT_MS } from '../Constants.js'
import { UNAVAILABLE } from './LoadView.js'

const LOCAL_PEAK_WINDOW_MS = 1_000 // own work that a lagging report may still show

/** A load report as the endpoint published it. */
export interface LoadReport {
  /** Outstanding work in decode tokens, from all nodes. */
  readonly work: number
  readonly running: number
  readonly queued: number
  readonly slots: number
  readonly leaving: boolean
  /** Time since the endpoint started. */
  readonly uptimeMs: number
  /** Highest fencing number that the endpoint accepted. */
  readonly fencing: number
}

/** One request in flight; owned by the task that dispatched it. */
export interface WorkItem {
  readonly account: string
  /** Decode tokens still expected. */
  remaining: number
}

export class EndpointLoad {
  #localWork = 0
  #currentPeak = 0
  #previousPeak = 0
  #peakWindowAt = 0
  #remoteWork = 0
  #report: LoadReport | undefined
  #reportedAt = -Infinity
  #ejectedUntil = -Infinity
  #listedLeaving = false
  #failures = 0
  readonly #byAccount = new Map<string, number>()
  readonly #items = new Set<WorkItem>()

  /** Requests in flight from this node. */
  get inFlight (): number {
    return this.#items.size
  }

  get report (): LoadReport | undefined {
    return this.#report
  }

  get leaving (): boolean {
    return this.#listedLeaving || (this.#report?.leaving ?? false)
  }

  /** Adds a request. */
  begin (account: string, work: number, now: number): WorkItem {
    const item: WorkItem = { account, remaining: work }
    this.#items.add(item)
    this.#change(account, work)
    this.#updatePeak(now)
    return item
  }

  /** Takes off work that was done; a request that runs past its estimate keeps the least of 1. */
  progress (item: WorkItem, tokens: number): void {
    const done = Math.min(tokens, Math.max(0, item.remaining - 1))
    if (done <= 0 || !this.#items.has(item)) return
    item.remaining -= done
    this.#change(item.account, -done)
  }

  end (item: WorkItem): void {
    if (!this.#items.delete(item)) return
    this.#change(item.account, -item.remaining)
  }

  /** Takes a report in; work beyond this node's own comes from another home. */
  recordReport (report: LoadReport, now: number): void {
    this.#updatePeak(now)
    const localPeak = Math.max(this.#localWork, this.#currentPeak, this.#previousPeak)
    this.#remoteWork = Math.max(0, report.work - localPeak)
    if (now - this.#reportedAt > ENDPOINT_LOAD_TIMEOUT_MS && this.#report !== undefined) this.#ejectedUntil = now + ENDPOINT_READMIT_MS
    this.#report = report
    this.#reportedAt = now
  }

  /** Takes in what the platform's list says; the endpoint's own report counts as well. */
  setListedLeaving (leaving: boolean): void {
    this.#listedLeaving = leaving
  }

  /** Closes the endpoint after a failure; each further failure in a row doubles the time. */
  recordFailure (now: number): void {
    this.#failures = Math.min(this.#failures + 1, 4)
    this.#ejectedUntil = Math.max(this.#ejectedUntil, now + ENDPOINT_READMIT_MS / 8 * 2 ** this.#failures)
  }

  recordSuccess (): void {
    this.#failures = 0
  }

  /** True when no report came for `timeoutMs`. */
  isReportStale (now: number, timeoutMs: number): boolean {
    return now - this.#reportedAt > timeoutMs
  }

  /** True when new work may be sent. */
  isAvailable (now: number): boolean {
    return !this.leaving && now >= this.#ejectedUntil && now - this.#reportedAt <= ENDPOINT_LOAD_TIMEOUT_MS
  }

  /** Outstanding work from all nodes in decode tokens; UNAVAILABLE when closed. */
  work (now: number): number {
    return this.isAvailable(now) ? this.#localWork + this.#remoteWork : UNAVAILABLE
  }

  /** Part of this node's outstanding work that belongs to the account, 0 to 1. */
  accountFraction (account: string): number {
    return this.#localWork === 0 ? 0 : (this.#byAccount.get(account) ?? 0) / this.#localWork
  }

  #change (account: string, work: number): void {
    this.#localWork = this.#items.size === 0 ? 0 : this.#localWork + work
    const left = (this.#byAccount.get(account) ?? 0) + work
    if (left <= 1e-6) this.#byAccount.delete(account)
    else this.#byAccount.set(account, left)
  }

  #updatePeak (now: number): void {
    if (now - this.#peakWindowAt > LOCAL_PEAK_WINDOW_MS) {
      this.#previousPeak = now - this.#peakWindowAt > LOCAL_PEAK_WINDOW_MS * 2 ? this.#localWork : this.#currentPeak
      this.#currentPeak = this.#localWork
      this.#peakWindowAt = now
    }
    this.#currentPeak = Math.max(this.#currentPeak, this.#localWork)
  }
}
