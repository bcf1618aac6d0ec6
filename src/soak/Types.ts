/** What the parts of the soak tell each other. Times are of the soak's own monotonic clock. */

/** Kinds of requests that callers make, each with a route. */
export const REQUEST_KINDS = ['read', 'write', 'stream', 'stream-resumable'] as const
export type RequestKind = typeof REQUEST_KINDS[number]

/** How a request ended for its caller. */
export type CallEnd = 'whole' | 'cut' | 'no-connection' | 'timeout' | 'left'

/** One request as its caller saw it. */
export interface CallRecord {
  readonly id: string
  readonly kind: RequestKind
  readonly gateway: string
  readonly account: string
  readonly startedAt: number
  readonly endedAt: number
  readonly end: CallEnd
  /** 0 when no head came. */
  readonly status: number
  readonly body: string
  readonly signature: string
  /** Id that the answer bears. */
  readonly answerId: string
  /** True when the connection had served another request before. */
  readonly reused: boolean
}

/** One start of a request at a worker. */
export interface RunRecord {
  readonly id: string
  readonly worker: string
  readonly at: number
  readonly account: string
  /** When its answer was sent or its connection closed. */
  overAt: number
}

/** A route that is added and removed while the soak runs. */
export interface ExtraRoute {
  readonly name: string
  readonly addedAt: number
  removedAt: number
}

/** One question to a gateway for a route that was added or removed. */
export interface ProbeRecord {
  readonly route: string
  readonly gateway: string
  /** Starts of the gateway's process so far. */
  readonly processStarts: number
  /** When it was asked. */
  readonly at: number
  readonly answeredAt: number
  /** 0 when there was no answer. */
  readonly status: number
}

/** A promise that was broken. */
export interface Violation {
  readonly rule: string
  readonly at: number
  readonly id: string
  readonly detail: string
}

/** Something that was done to a part of the site, from its begin to its end. */
export interface Disturbance {
  readonly kind: string
  /** Names of gateways or workers; `store` for the store. */
  readonly what: string
  from: number
  to: number
}
