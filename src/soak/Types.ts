/** Records shared by the parts of the soak test. Times are in ms of the monotonic clock of its process. */

/** Kinds of requests that callers send; each kind has a route of the same name. */
export const REQUEST_KINDS = ['read', 'write', 'stream', 'stream-resumable'] as const
/** One of the request kinds. */
export type RequestKind = typeof REQUEST_KINDS[number]

/** Services of the workers. */
export type ServiceName = 'engines' | 'orders'

/** Service that runs the requests of a kind. */
export function serviceOf (kind: RequestKind): ServiceName {
  return kind === 'read' || kind === 'write' ? 'orders' : 'engines'
}

/** How a request ended for its caller; `left` when the caller itself closed the connection early. */
export type CallEnd = 'whole' | 'cut' | 'no-connection' | 'timeout' | 'left'

/** One request as observed by its caller. */
export interface CallRecord {
  readonly id: string
  readonly kind: RequestKind
  readonly gateway: string
  readonly account: string
  readonly startedAt: number
  readonly endedAt: number
  readonly end: CallEnd
  /** HTTP status; 0 when no response headers arrived. */
  readonly status: number
  readonly body: string
  readonly signature: string
  /** Request id in the response. */
  readonly answerId: string
  /** True when the connection had carried an earlier request. */
  readonly reused: boolean
}

/** One execution of a request at a worker. */
export interface RunRecord {
  readonly id: string
  readonly worker: string
  readonly at: number
  readonly account: string
  /** When the answer was sent or the connection closed; Infinity before. */
  overAt: number
}

/** One arrival of a request at a worker, which may refuse it. */
export interface ArrivalRecord {
  readonly id: string
  readonly worker: string
  readonly service: ServiceName
  readonly dataCentre: string
  readonly at: number
  /** Pause in ms that the worker asked for when it refused the request; 0 for none. */
  readonly pauseMs: number
}

/** A route that is added, and possibly removed, during the run. */
export interface ExtraRoute {
  readonly name: string
  readonly addedAt: number
  /** Infinity while the route is configured. */
  removedAt: number
}

/** An evacuation of a data centre, as the operator wrote it. */
export interface EvacuationRecord {
  readonly dataCentre: string
  readonly writtenAt: number
  /** Infinity before the key is deleted. */
  deletedAt: number
}

/** One probe request to a gateway on a route that was added or removed. */
export interface ProbeRecord {
  readonly route: string
  readonly gateway: string
  /** Number of restarts of the gateway before the probe, which identifies the process. */
  readonly restarts: number
  /** When the probe was sent. */
  readonly at: number
  readonly answeredAt: number
  /** HTTP status; 0 when no response headers arrived. */
  readonly status: number
}

/** A violated guarantee. */
export interface Violation {
  /** Name of the check. */
  readonly rule: string
  readonly at: number
  /** Id of the request, or name of the probed route; may be empty. */
  readonly id: string
  readonly detail: string
}

/** An injected fault or planned operation on one part of the site, from start to end. */
export interface Disturbance {
  readonly kind: string
  /** Name of a gateway or worker; `store` for the store. */
  readonly what: string
  from: number
  /** Infinity while it lasts. */
  to: number
  /** When the last of the ended processes was started again; undefined before that, and where no process ended. */
  restartedAt?: number
}
