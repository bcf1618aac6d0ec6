/** Data that routing works on: the configuration in force, the endpoints, and one request. Times are in ms. */
import type { ListVersion } from '../generated/PeerDatagram.js'

/** One of the services that a route's requests are split over. */
export interface RouteTarget {
  readonly service: string
  /** Relative share of the route's requests. */
  readonly weight: number
}

/** One route: its target services, whether requests may be repeated, and its time limits. */
export interface Route {
  readonly name: string
  readonly host: string
  /** Begins and ends with a slash. */
  readonly pathPrefix: string
  readonly targets: readonly RouteTarget[]
  /** True when a request may run more than once. */
  readonly idempotent: boolean
  /** True when the answer is a stream of server-sent events. */
  readonly streaming: boolean
  /** True when an interrupted stream can be resumed at another endpoint after its last event. */
  readonly resumable: boolean
  readonly timeoutMs: number
  /** Latency target for an answer, or for the first event of a stream. */
  readonly latencyGoalMs: number
  /** Longest pause between events at which a stream is still on time; 0 when the route states none. */
  readonly eventPauseGoalMs: number
  /** Maximum number of endpoints that may run one request. */
  readonly maxAttempts: number
  /** 0 is the highest priority. */
  readonly priority: number
  /** True when the route requires no key. */
  readonly open: boolean
  /** Regions whose endpoints may serve the route; undefined when all may. */
  readonly allowedRegions?: readonly string[] | undefined
}

/** A client account and its keys. */
export interface Account {
  readonly id: string
  readonly keys: readonly string[]
  /** Takes precedence over the route's priority. */
  readonly priority: number | undefined
  /** Regions whose endpoints may serve the account; undefined when all may. Binds beside the route's. */
  readonly allowedRegions?: readonly string[] | undefined
}

/** Capacity of a model engine. */
export interface EngineSize {
  readonly slots: number
  /** Tokens of running requests and cached prompt parts together. */
  readonly memoryTokens: number
}

/** What the endpoints of a service take while they warm up. */
export interface WarmUpLimit {
  /** Time that an endpoint warms up after its start. */
  readonly durationMs: number
  /** Requests a second that it takes during that time from all instances together. */
  readonly requestsPerSec: number
}

/** A service that routes refer to, with the properties that its endpoints have in common. */
export interface Service {
  readonly id: string
  readonly healthPath: string
  /** Connections that one endpoint accepts from all callers together. */
  readonly maxConnections: number
  /** Present when the endpoints are model engines. */
  readonly engine: EngineSize | undefined
  /** Present when endpoints take fewer requests while they warm up. */
  readonly warmUp?: WarmUpLimit | undefined
}

/** Size limits and timeouts for requests of callers. */
export interface CallerLimits {
  readonly maxHeaderBytes: number
  readonly maxBodyBytes: number
  readonly headerTimeoutMs: number
  readonly idleTimeoutMs: number
}

/** A complete configuration. */
export interface RoutingConfig {
  /** Increases with each accepted configuration, not necessarily by 1. */
  readonly revision: number
  readonly routes: readonly Route[]
  readonly services: readonly Service[]
  /** Undefined when no route requires a key. */
  readonly accounts: readonly Account[] | undefined
  readonly limits: CallerLimits
}

/** One endpoint of the list. */
export interface Endpoint {
  readonly id: string
  readonly service: string
  readonly address: string
  readonly port: number
  readonly dataCentre: string
  readonly slots: number
  readonly leaving: boolean
  /** Distinguishes restarts under the same id; 0 when unknown. */
  readonly startedAtMs: number
  /** Remaining time of its warm-up, during which it is slow; undefined when the record doesn't say. */
  readonly warmUpMs?: number | undefined
}

/** Snapshot of the complete list of endpoints. */
export interface EndpointList {
  /** Position of the snapshot in the order of all changes. */
  readonly version: ListVersion
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

/** Load that an endpoint reported with an answer. */
export interface ReportedLoad {
  readonly running: number
  readonly waiting: number
  readonly slots: number
}

/** True when the entry says that the endpoint warms up, or doesn't say that it has. */
export function isListedCold (e: Endpoint): boolean {
  return e.warmUpMs === undefined || e.warmUpMs > 0
}

/** True when both are the same incarnation of an endpoint; cheaper than comparing their keys. */
export function isSameIncarnation (a: Endpoint, b: Endpoint): boolean {
  return a.id === b.id && a.startedAtMs === b.startedAtMs && a.service === b.service && a.address === b.address && a.port === b.port
}

/** Key of one incarnation of an endpoint: a restart under the same id counts as another endpoint. */
export function endpointKey (e: Endpoint): string {
  return `${e.id}/${e.startedAtMs}/${e.service}@${e.address}:${e.port}`
}
