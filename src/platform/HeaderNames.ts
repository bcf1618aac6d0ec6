/** Header names of the platform. Nothing outside this folder uses them. */

/** Headers by their meaning for the gateway. */
export const HEADER = {
  requestId: 'Attempt-Id',
  deadline: 'Deadline-Ms',
  promptParts: 'Prefix-Hash', // lists the prompt's parts with their token counts; not a hash of the prompt
  tokenCounts: 'Token-Count',
  account: 'Tenant',
  endpointId: 'Expect-Instance',
  priority: 'Request-Priority',
  signature: 'Server-Signature',
  notRun: 'Not-Executed',
  load: 'Server-Load',
  requestLimit: 'Server-Limit', // requests a second that the endpoint takes from all instances together
  leaving: 'Server-Leaving', // 1 in each answer of an endpoint that is leaving
  lastEventId: 'Last-Event-Id',
  promptSource: 'Kv-Fetch', // address of the engine to copy cached prompt parts from
  retryAfter: 'Retry-After',
  authorization: 'Authorization',
  storeEpoch: 'Store-Era' // of the store: rises each time it is restored from a copy
} as const

/** Headers that callers may not set: they are dropped from requests. */
export const RESERVED_HEADERS: ReadonlySet<string> = new Set([
  HEADER.authorization, HEADER.account, HEADER.endpointId, HEADER.priority, HEADER.deadline,
  'Expect-Version', HEADER.promptSource, 'Kv-From', 'Kv-Backup', 'Cache-Hold', 'Pin-Ms', 'Not-Executed', 'Server-Signature', 'Instance-Id', 'Server-Load', HEADER.requestLimit, HEADER.leaving
].map(name => name.toLowerCase()))

/** Headers that apply to a single connection and aren't forwarded. */
export const HOP_BY_HOP_HEADERS: ReadonlySet<string> = new Set([
  'connection', 'keep-alive', 'proxy-authenticate', 'proxy-authorization', 'proxy-connection', 'te', 'trailer', 'transfer-encoding', 'upgrade', 'expect', 'content-length'
])
