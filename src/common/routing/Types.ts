/** What routing knows of the world: the configuration in force, the endpoints, and one request. Times in ms. */

/** A service among those a route is split over. */
export interface RouteTarget {
  readonly service: string
  /** Relative part of the route's requests. */
  readonly weight: number
}

/** One route: which service answers, what may be repeated, and within which time. */
export interface Route {
  readonly name: string
  readonly host: string
  /** Begins and ends with a slash. */
  readonly pathPrefix: string
  readonly targets: readonly RouteTarget[]
  /** True when a request may run more than once. */
  readonly idempotent: boolean
  /** True when the answer is a series of events. */
  readonly streaming: boolean
  /** True when a stream may go on at another endpoint after its last event. */
  readonly resumable: boolean
  readonly timeoutMs: number
  /** Time within which an answer, or a stream's first event, is on time. */
  readonly latencyGoalMs: number
  /** Endpoints that may run one request, at most. */
  readonly maxAttempts: number
  /** 0 is first. */
  readonly priority: number
  /** True when no key is asked for. */
  readonly open: boolean
}

/** A client account and the keys that stand for it. */
export interface Account {
  readonly id: string
  readonly keys: readonly string[]
  /** Goes before the route's priority. */
  readonly priority: number | undefined
}

/** What a model engine can hold. */
export interface EngineSize {
  readonly slots: number
  /** Tokens of running requests and cached prompt parts together. */
  readonly memoryTokens: number
}

/** A kind of endpoint that routes point to. */
export interface Service {
  readonly id: string
  readonly healthPath: string
  /** Connections that one endpoint accepts from all callers together. */
  readonly maxConnections: number
  /** Present when the endpoints are model engines. */
  readonly engine: EngineSize | undefined
}

/** Bounds on what a caller may send. */
export interface CallerLimits {
  readonly maxHeaderBytes: number
  readonly maxBodyBytes: number
  readonly headerTimeoutMs: number
  readonly idleTimeoutMs: number
}

/** One whole configuration. */
export interface RoutingConfig {
  /** Grows with each accepted configuration, in uneven steps. */
  readonly revision: number
  readonly routes: readonly Route[]
  readonly services: readonly Service[]
  /** Undefined when no keys are asked for at all. */
  readonly accounts: readonly Account[] | undefined
  readonly limits: CallerLimits
}

/** One listed endpoint. */
export interface Endpoint {
  readonly id: string
  readonly service: string
  readonly address: string
  readonly port: number
  readonly dataCentre: string
  readonly slots: number
  readonly leaving: boolean
  /** Tells two starts under one id apart; 0 when unknown. */
  readonly startedAtMs: number
  /** How much longer it is slow after its start. */
  readonly warmUpMs: number
}

/** Complete list of endpoints as read at one moment. */
export interface EndpointList {
  /** The list's position in the order of all changes. */
  readonly revision: number
  readonly endpoints: readonly Endpoint[]
}

/** A part of a prompt, shared with other requests unless it is the last. */
export interface PromptPart {
  readonly id: string
  readonly tokens: number
}

/** The prompt of a request to a model engine. */
export interface Prompt {
  readonly parts: readonly PromptPart[]
  readonly promptTokens: number
  readonly maxAnswerTokens: number
}

/** Load that an endpoint stated in an answer. */
export interface ReportedLoad {
  readonly running: number
  readonly waiting: number
  readonly slots: number
}

/** Name of one start of an endpoint: another start under the same id is another endpoint. */
export function endpointKey (e: Endpoint): string {
  return `${e.id}/${e.startedAtMs}/${e.service}@${e.address}:${e.port}`
}
