/**
 * Outstanding work of one endpoint at its home: the exact work of the home's own requests, combined with the endpoint's
 * lagging report, so that the load bound also holds while two instances both act as its home.
 */
import { ENDPOINT_LOAD_TIMEOUT_MS, ENDPOINT_READMIT_MS } from '../Constants.js'
import { UNAVAILABLE } from './LoadView.js'

const LOCAL_PEAK_WINDOW_MS = 1_000 // local work from this long ago may still be part of a lagging report

/** A load report as the endpoint published it. */
export interface LoadReport {
  /** Outstanding work in decode tokens, from all instances. */
  readonly work: number
  readonly running: number
  readonly queued: number
  readonly slots: number
  readonly leaving: boolean
  /** Time since the start of the endpoint. */
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

/** Load and availability of one endpoint. */
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

  /** Number of requests in flight from this instance. */
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

  /** Subtracts completed work; a request that exceeds its estimate keeps a remainder of 1. */
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

  /** Records a report; work beyond this instance's own is attributed to another home. */
  recordReport (report: LoadReport, now: number): void {
    this.#updatePeak(now)
    const localPeak = Math.max(this.#localWork, this.#currentPeak, this.#previousPeak)
    this.#remoteWork = Math.max(0, report.work - localPeak)
    if (now - this.#reportedAt > ENDPOINT_LOAD_TIMEOUT_MS && this.#report !== undefined) this.#ejectedUntil = now + ENDPOINT_READMIT_MS
    this.#report = report
    this.#reportedAt = now
  }

  /** Adds `ms` to the time that a report may be old: this process was paused and could not read reports. */
  excusePause (ms: number): void {
    this.#reportedAt += ms
  }

  /** Sets whether the platform's list has the endpoint as leaving; the endpoint's own report counts as well. */
  setListedLeaving (leaving: boolean): void {
    this.#listedLeaving = leaving
  }

  /** Ejects the endpoint after a failure; each further consecutive failure doubles the time. */
  recordFailure (now: number): void {
    this.#failures = Math.min(this.#failures + 1, 4)
    this.#ejectedUntil = Math.max(this.#ejectedUntil, now + ENDPOINT_READMIT_MS / 8 * 2 ** this.#failures)
  }

  recordSuccess (): void {
    this.#failures = 0
  }

  /** True when no report was received for `timeoutMs`. */
  isReportStale (now: number, timeoutMs: number): boolean {
    return now - this.#reportedAt > timeoutMs
  }

  /** True when new work may be sent to the endpoint. */
  isAvailable (now: number): boolean {
    return !this.leaving && now >= this.#ejectedUntil && now - this.#reportedAt <= ENDPOINT_LOAD_TIMEOUT_MS
  }

  /** Outstanding work from all instances in decode tokens; UNAVAILABLE when no new work may be sent. */
  work (now: number): number {
    return this.isAvailable(now) ? this.#localWork + this.#remoteWork : UNAVAILABLE
  }

  /** Fraction of this instance's outstanding work that belongs to the account, 0 to 1. */
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
