/** Decides whether one request may be sent again: within its route's attempts and the retry budget that all gateways share. */
import type { SharedRetryBudget } from '../common/limits/SharedRetryBudget.js'
import type { IClock } from '../common/Services.js'
import type { GatewayMetrics } from './GatewayMetrics.js'
import type { RetryLine } from './RequestLog.js'

/** Services that the decision uses. */
export interface RetryServices {
  readonly clock: IClock
  readonly metrics: GatewayMetrics
  retryBudget (service: string): SharedRetryBudget
}

export class RetryPolicy {
  readonly #services: RetryServices
  readonly #service: string
  readonly #maxAttempts: number
  #executed = 0
  #line: RetryLine | undefined

  /** @param maxAttempts executions that the route allows. */
  constructor (services: RetryServices, service: string, maxAttempts: number) {
    this.#services = services
    this.#service = service
    this.#maxAttempts = maxAttempts
  }

  /** Counts the request itself, which earns the service a fraction of a retry. */
  recordRequest (): void {
    this.#budget.recordRequest(this.#services.clock.nowMs())
  }

  /** Counts an attempt that an endpoint executed, or may have executed. */
  recordExecuted (): void {
    this.#executed++
  }

  /** True when the route allows no execution after the next one. */
  get isLastAttempt (): boolean {
    return this.#executed + 1 >= this.#maxAttempts
  }

  /** Takes a retry from the shared budget if the route allows one more execution. */
  tryRetry (): boolean {
    const now = this.#services.clock.nowMs()
    const withinRoute = this.#executed < this.#maxAttempts
    const granted = withinRoute && this.#budget.tryRetry(now)
    if (withinRoute) {
      this.#services.metrics.retries.inc({ service: this.#service, result: granted ? 'granted' : 'refused' })
      this.#line = { granted, ...this.#budget.state(now) }
    }
    return granted
  }

  /** The last decision on the shared budget, for the log; undefined when there was none since the last call. */
  takeLine (): RetryLine | undefined {
    const line = this.#line
    this.#line = undefined
    return line
  }

  get #budget (): SharedRetryBudget {
    return this.#services.retryBudget(this.#service)
  }
}
