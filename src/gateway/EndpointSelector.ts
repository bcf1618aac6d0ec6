/** Chooses the endpoint for each attempt of one request, and takes an admission of those that named a limit. */
import { placeCall } from '../common/routing/CallPlacement.js'
import type { Candidates } from '../common/routing/Candidates.js'
import { placePrompt, promptKey, type EndpointChoice } from '../common/routing/PromptPlacement.js'
import { keyWithin, type AllowedRegions } from '../common/routing/RegionFilter.js'
import type { Endpoint, Prompt } from '../common/routing/Types.js'
import type { IClock } from '../common/Services.js'
import type { EndpointLimiter } from './EndpointLimiter.js'
import type { EndpointPool, PooledEndpoint } from './EndpointPool.js'
import type { GatewayMetrics } from './GatewayMetrics.js'
import type { SessionAffinity } from './OwnerQueries.js'
import type { SessionLine } from './RequestLog.js'
import type { SessionAffinityTask } from './SessionAffinityTask.js'
import type { RoutedRequest } from './Types.js'

const FAILURES_BEFORE_NEAR = 2 // failed connections after which the own data centre is preferred

/** Services that choices use. */
export interface SelectorServices {
  readonly clock: IClock
  readonly pool: EndpointPool
  readonly sessionAffinity: SessionAffinityTask
  readonly limiter: EndpointLimiter
  readonly metrics: GatewayMetrics
  readonly dataCentre: string
}

export class EndpointSelector {
  readonly #services: SelectorServices
  readonly #service: string
  readonly #request: RoutedRequest
  readonly #regions: AllowedRegions
  readonly #tried = new Set<string>()
  #affinity: SessionAffinity | undefined
  #sessionLine: SessionLine | undefined
  readonly #session: number | undefined
  #connectFailures = 0

  /** @param regions regions whose endpoints may get the request. */
  constructor (services: SelectorServices, service: string, request: RoutedRequest, regions?: AllowedRegions) {
    this.#services = services
    this.#service = service
    this.#request = request
    this.#regions = regions
    this.#session = request.prompt === undefined ? undefined : keyWithin(regions, promptKey(request.prompt)).session
  }

  /** How the session's engine was found; undefined for requests without a prompt. */
  get sessionLine (): SessionLine | undefined {
    return this.#sessionLine
  }

  /** Number of attempts whose connection failed. */
  get connectFailures (): number {
    return this.#connectFailures
  }

  /** Chooses an endpoint that wasn't tried; undefined when none is left or takes a request. */
  async select (): Promise<EndpointChoice | undefined> {
    const { metrics } = this.#services
    for (;;) {
      const choice = await this.#choose()
      if (choice !== undefined && !await this.#admit(choice)) continue
      if (choice !== undefined) metrics.placements.inc({ reason: choice.reason })
      return choice
    }
  }

  /** False when the chosen endpoint's data centre was evacuated since the choice, so that it may not get the request. */
  isOpen ({ state, reason }: EndpointChoice): boolean {
    return this.#services.pool.isOpen(state, reason === 'holder' ? this.#session : undefined)
  }

  /** True when endpoints of the service are left out as their data centres are evacuated. */
  get hasEvacuated (): boolean {
    return this.#services.pool.hasEvacuated(this.#service, this.#regions)
  }

  /** Takes an admission of an endpoint that named a limit or is cold; others admit all. False also when the data centre was evacuated meanwhile. */
  async #admit (choice: EndpointChoice): Promise<boolean> {
    const { limiter, metrics, clock } = this.#services
    const { state } = choice
    if (!limiter.isLimited(state)) return true
    const limit = state.warmUp.isCold(clock.nowMs()) ? 'warm-up' : 'named'
    const admitted = await limiter.admit(state)
    metrics.admissions.inc({ limit, result: admitted ? 'granted' : 'refused' })
    return admitted && this.isOpen(choice)
  }

  /** Time in ms until an endpoint that is at its limit, or in a pause, may take a request; undefined when none is. */
  openWaitMs (): number | undefined {
    return this.#candidates().openWaitMs()
  }

  /** Excludes an endpoint from further choices, as an attempt is made there. */
  recordAttempt (endpoint: Endpoint): void {
    this.#tried.add(endpoint.id)
  }

  recordConnectFailure (): void {
    this.#connectFailures++
  }

  /** A healthy engine to copy cached prompt parts from: the session's engine copies from its source, others from the session's engine. */
  promptSource (state: PooledEndpoint): Endpoint | undefined {
    if (this.#affinity === undefined) return undefined
    const { endpoint, source } = this.#affinity
    const { pool, clock } = this.#services
    const holder = state.hash === endpoint ? source : endpoint
    const engine = pool.isWithin(holder, this.#regions) && pool.isCopySource(holder) ? pool.getReachable(holder) : undefined
    return engine?.health.isAvailable(clock.nowMs()) === true ? engine.endpoint : undefined
  }

  async #choose (): Promise<EndpointChoice | undefined> {
    const { prompt, id } = this.#request
    const { clock, dataCentre } = this.#services
    return prompt === undefined ? placeCall(id, dataCentre, this.#candidates(), clock.nowMs()) : await this.#chooseEngine(prompt)
  }

  /** Looks up the session's engine once; further attempts reuse the result. */
  async #chooseEngine (prompt: Prompt): Promise<EndpointChoice | undefined> {
    const { clock, sessionAffinity } = this.#services
    const key = keyWithin(this.#regions, promptKey(prompt))
    if (this.#affinity === undefined) {
      const startedAt = clock.nowMs()
      this.#affinity = await sessionAffinity.resolve(this.#service, key, this.#regions)
      this.#sessionLine = { id: key.session, by: this.#affinity?.decidedBy ?? '', ms: Math.round(clock.nowMs() - startedAt) }
    }
    return placePrompt(key.session, this.#affinity?.endpoint, this.#candidates(), clock.nowMs())
  }

  /** After connections to several endpoints failed, those of the own data centre: this one may be cut off from the others. */
  #candidates (): Candidates {
    const { pool, dataCentre } = this.#services
    const only = this.#connectFailures < FAILURES_BEFORE_NEAR ? undefined : dataCentre
    return pool.candidates(this.#service, { tried: this.#tried, only, session: this.#session, regions: this.#regions })
  }
}
