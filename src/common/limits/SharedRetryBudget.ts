/**
 * One instance's part of a retry budget that all instances share: a fraction of the requests of a time window, and a
 * burst. Designed for large fleets, in which an instance gets few requests a second and endpoints fail in bursts: what the
 * instance didn't use in the last window it may use at once, while all instances together stay within the budget.
 *
 * The burst is granted once to each process, and slowly, for as long as it has known the fleet: the process before it on the
 * same machine may just have used its part up, and so may instances that counted fewer.
 */
import { wholePart } from './WholePart.js'

const BURST_FRACTION = 0.7 // the rest is for instances that restart, and those whose counts of the fleet differ
const RATIO_FRACTION = 0.45 // earned by requests of this window, and as much saved from the last one; the rest is a margin for windows that differ
const GRANT_WINDOWS = 3 // over which the burst is granted: a fleet that is restarted within one window gets a third of it again

/** The budget that all instances share. */
export interface RetryLimits {
  /** Retries as a fraction of the requests. */
  readonly ratio: number
  /** Retries beyond that fraction. */
  readonly burst: number
  /** Time over which the budget is measured, in ms. */
  readonly windowMs: number
}

/** The fleet as one instance sees it. */
export interface IFleetView {
  /** Number of instances that share the budget. */
  readonly instances: number
  /** Fraction of the burst that this side of a cut may have; 1 when there is none. */
  readonly fraction: number
  /** Time for which this instance has known the fleet. */
  readonly knownMs: number
  /** True when this instance is among the first `count` of them, in an order that all instances agree on. */
  isAmongFirst (count: number): boolean
}

/** The budget of one instance, for logs. */
export interface RetryBudgetState {
  /** Retries that the instance may make now. */
  readonly left: number
  /** Its part of the burst, as far as it has been granted. */
  readonly burst: number
  /** Number of instances among which the burst is divided. */
  readonly gateways: number
}

export class SharedRetryBudget {
  readonly #limits: () => RetryLimits
  readonly #fleet: () => IFleetView
  #windowStart: number
  #requests = 0
  #previousRequests = 0
  #tokens = 0
  /** This instance's part of the burst, as far as it is granted by now. */
  #burst = 0
  /** The most of it that has been granted. */
  #granted = 0
  /** Time for which the fleet had been known at the last grant, in ms. */
  #grantedMs = 0

  /** @param limits the limits in force, which may change. @param fleet the fleet as seen now. */
  constructor (limits: () => RetryLimits, fleet: () => IFleetView, now: number) {
    this.#limits = limits
    this.#fleet = fleet
    this.#windowStart = now
  }

  /** Counts the first attempt of a request. */
  recordRequest (now: number): void {
    this.#advance(now)
    this.#requests++
    this.#tokens = Math.min(this.#tokens + this.#ratio, this.#capacity(now))
  }

  /** Takes one retry; returns false when this instance's part is used up. */
  tryRetry (now: number): boolean {
    this.#advance(now)
    this.#tokens = Math.min(this.#tokens, this.#capacity(now))
    if (this.#tokens < 1) return false
    this.#tokens -= 1
    return true
  }

  /** What the last decision was based on, in whole retries. */
  state (now: number): RetryBudgetState {
    this.#advance(now)
    return { left: Math.floor(this.#tokens), burst: Math.floor(this.#burst), gateways: this.#fleet().instances }
  }

  get #ratio (): number {
    return this.#limits().ratio * RATIO_FRACTION
  }

  /** Retries that may be saved up. */
  #capacity (now: number): number {
    return this.#burst + this.#ratio * this.#recentRequests(now)
  }

  /** Estimated requests in the last window: those of the current one, and the part of the one before that it still covers. */
  #recentRequests (now: number): number {
    return this.#requests + this.#previousRequests * (1 - (now - this.#windowStart) / this.#limits().windowMs)
  }

  #advance (now: number): void {
    this.#grant()
    const { windowMs } = this.#limits()
    if (now - this.#windowStart < windowMs) return
    const isNext = now - this.#windowStart < 2 * windowMs
    this.#previousRequests = isNext ? this.#requests : 0
    this.#windowStart = isNext ? this.#windowStart + windowMs : now
    this.#requests = 0
  }

  /** Grants of this instance's part of the burst what is due for the time in which the fleet was known since the last grant. */
  #grant (): void {
    const { instances, fraction, knownMs, isAmongFirst } = this.#fleet()
    const { burst, windowMs } = this.#limits()
    const part = wholePart(burst * BURST_FRACTION * fraction, instances, isAmongFirst)
    const due = part * (knownMs - this.#grantedMs) / (GRANT_WINDOWS * windowMs)
    this.#grantedMs = knownMs
    const granted = Math.min(due, Math.max(0, part - this.#granted))
    this.#granted += granted
    this.#tokens += granted
    this.#burst = Math.min(part, this.#granted)
  }
}
