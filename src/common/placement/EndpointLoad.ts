/**
 * Exact outstanding work of one endpoint at its home, joined with the endpoint's lagging report, so that the
 * load bound holds also while two nodes both act as its home.
 */
import { ENDPOINT_LOAD_TIMEOUT_MS, ENDPOINT_READMIT_MS } from '../Constants.js'
import { UNAVAILABLE } from './LoadView.js'

const OWN_PEAK_WINDOW_MS = 1_000 // own work that a lagging report may still show

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
  #own = 0
  #peakNow = 0
  #peakBefore = 0
  #peakAt = 0
  #foreign = 0
  #report: LoadReport | undefined
  #heardAt = -Infinity
  #closedUntil = -Infinity
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
    this.#notePeak(now)
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
  heard (report: LoadReport, now: number): void {
    this.#notePeak(now)
    const mine = Math.max(this.#own, this.#peakNow, this.#peakBefore)
    this.#foreign = Math.max(0, report.work - mine)
    if (now - this.#heardAt > ENDPOINT_LOAD_TIMEOUT_MS && this.#report !== undefined) this.#closedUntil = now + ENDPOINT_READMIT_MS
    this.#report = report
    this.#heardAt = now
  }

  /** Takes in what the platform's list says; the endpoint's own report counts as well. */
  listed (leaving: boolean): void {
    this.#listedLeaving = leaving
  }

  /** Closes the endpoint after a failure; each further failure in a row doubles the time. */
  failed (now: number): void {
    this.#failures = Math.min(this.#failures + 1, 4)
    this.#closedUntil = Math.max(this.#closedUntil, now + ENDPOINT_READMIT_MS / 8 * 2 ** this.#failures)
  }

  succeeded (): void {
    this.#failures = 0
  }

  /** True when no report came for `timeoutMs`. */
  silent (now: number, timeoutMs: number): boolean {
    return now - this.#heardAt > timeoutMs
  }

  /** True when new work may be sent. */
  open (now: number): boolean {
    return !this.leaving && now >= this.#closedUntil && now - this.#heardAt <= ENDPOINT_LOAD_TIMEOUT_MS
  }

  /** Outstanding work from all nodes in decode tokens; UNAVAILABLE when closed. */
  work (now: number): number {
    return this.open(now) ? this.#own + this.#foreign : UNAVAILABLE
  }

  /** Part of this node's outstanding work that belongs to the account, 0 to 1. */
  accountPart (account: string): number {
    return this.#own === 0 ? 0 : (this.#byAccount.get(account) ?? 0) / this.#own
  }

  #change (account: string, work: number): void {
    this.#own = this.#items.size === 0 ? 0 : this.#own + work
    const left = (this.#byAccount.get(account) ?? 0) + work
    if (left <= 1e-6) this.#byAccount.delete(account)
    else this.#byAccount.set(account, left)
  }

  #notePeak (now: number): void {
    if (now - this.#peakAt > OWN_PEAK_WINDOW_MS) {
      this.#peakBefore = now - this.#peakAt > OWN_PEAK_WINDOW_MS * 2 ? this.#own : this.#peakNow
      this.#peakNow = this.#own
      this.#peakAt = now
    }
    this.#peakNow = Math.max(this.#peakNow, this.#own)
  }
}
