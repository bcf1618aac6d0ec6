/** Constants used by more than one folder; sizes and times carry their unit in the name. */

export const PROBE_INTERVAL_MS = 300
export const PROBE_TIMEOUT_MS = 500 // direct and indirect probe together
export const SUSPECT_TIMEOUT_MS = 900 // time for a live instance to refute a suspicion
export const DEAD_RETENTION_MS = 60_000 // dead members are kept for longer than a stale rumour that they are alive can circulate
export const DEAD_PROBE_INTERVAL_MS = 2_000 // rediscovers the other side after a partition heals
export const LOAD_SAMPLE_TTL_MS = 5_000 // older load samples are left out of the mean

export const LEASE_PING_INTERVAL_MS = 1_000
export const LEASE_MS = 3_000 // the lease expires after three lost pings
export const CLOCK_SKEW_MS = 1_000 // maximum difference between the wall clocks of instances and callers
export const KEY_RETENTION_MS = 600_000 // how long a caller may retry a key

export const ENDPOINT_LOAD_TIMEOUT_MS = 3_000 // an engine without a report for this long gets no new work
export const ENDPOINT_READMIT_MS = 5_000 // a flapping endpoint is ejected for at least this long
export const MAX_PLACEMENT_ATTEMPTS = 4
export const REQUEST_TIMEOUT_MS = 120_000
export const STREAM_RETAIN_MS = 30_000 // how long an engine keeps an ended stream for a caller that resumes
export const SUSPEND_DETECT_MS = 1_500 // a timer this late means that the process was suspended

/** Names of HTTP headers. */
export const HEADER = {
  requestId: 'x-request-id',
  outcome: 'x-radishloft-outcome',
  deadlineMs: 'x-radishloft-timeout-ms',
  prefixKey: 'x-prefix-key',
  priority: 'x-priority',
  resumeFrom: 'x-resume-from',
  chatId: 'x-chat-id',
  peerAuth: 'x-peer-auth',
  peerCall: 'x-peer-call',
  peerId: 'x-peer-id',
  endpoint: 'x-endpoint',
  idempotencyKey: 'idempotency-key',
  lastEventId: 'last-event-id',
  traceparent: 'traceparent',
  neverRepeat: 'x-radishloft-never-repeat'
} as const
