/** Header and path names of the platform. Nothing outside this folder knows them. */

export const HEADER = {
  requestId: 'Attempt-Id',
  deadline: 'Deadline-Ms',
  promptParts: 'Prefix-Hash', // names the parts themselves with their sizes, not a hash of the prompt
  tokenCounts: 'Token-Count',
  account: 'Tenant',
  endpointId: 'Expect-Instance',
  priority: 'Request-Priority',
  signature: 'Server-Signature',
  notRun: 'Not-Executed',
  load: 'Server-Load',
  lastEventId: 'Last-Event-Id',
  promptSource: 'Kv-Fetch', // address of the engine to copy cached prompt parts from
  retryAfter: 'Retry-After',
  authorization: 'Authorization'
} as const

/** Headers that only this system may set; a caller's own are dropped. */
export const RESERVED_HEADERS: ReadonlySet<string> = new Set([
  HEADER.authorization, HEADER.account, HEADER.endpointId, HEADER.priority, HEADER.deadline,
  'Expect-Version', HEADER.promptSource, 'Kv-From', 'Kv-Backup', 'Cache-Hold', 'Pin-Ms', 'Not-Executed', 'Server-Signature', 'Instance-Id', 'Server-Load'
].map(name => name.toLowerCase()))

/** Headers that concern one connection only. */
export const HOP_BY_HOP_HEADERS: ReadonlySet<string> = new Set([
  'connection', 'keep-alive', 'proxy-authenticate', 'proxy-authorization', 'proxy-connection', 'te', 'trailer', 'transfer-encoding', 'upgrade', 'expect', 'content-length'
])
