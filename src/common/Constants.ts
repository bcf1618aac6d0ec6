/** Constants used by more than one folder; sizes and times carry their unit in the name. */

export const PROBE_INTERVAL_MS = 300
export const PROBE_TIMEOUT_MS = 500 // direct and indirect probe together
export const SUSPECT_TIMEOUT_MS = 900 // time a live node has to refute a suspicion
export const DEAD_RETENTION_MS = 60_000 // a stale rumour of life must not outlive the memory of the death
export const DEAD_PROBE_INTERVAL_MS = 2_000 // finds the other side again after a partition heals
export const LOAD_SAMPLE_TTL_MS = 5_000 // older load samples do not count towards the mean

export const LEASE_PING_INTERVAL_MS = 1_000
export const LEASE_MS = 3_000 // three lost pings lapse the lease
export const CLOCK_SKEW_MS = 1_000 // bound on the difference of wall clocks between hosts and callers
export const KEY_RETENTION_MS = 600_000 // a caller may retry a key this long

export const ENDPOINT_LOAD_TIMEOUT_MS = 3_000 // an engine silent this long takes no new work
export const ENDPOINT_READMIT_MS = 5_000 // a flapping endpoint stays out at least this long
export const MAX_PLACEMENT_ATTEMPTS = 4
export const REQUEST_TIMEOUT_MS = 120_000
export const STREAM_RETAIN_MS = 30_000 // how long an engine keeps an ended stream for a caller that resumes
export const SUSPEND_DETECT_MS = 1_500 // a timer this late means that the process was suspended

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
