/** Decodes what the operator and the endpoints publish in the store. A record that is malformed names nothing to use. */
import type { Account, CallerLimits, Endpoint, Route, RouteTarget, RoutingConfig, Service } from '../common/routing/Types.js'
import type { StoreItem } from './StoreClient.js'

export const CONFIG_KEY = 'op/config'
export const ENDPOINT_PREFIX = 'servers/'

const DEFAULT_TIMEOUT_MS = 30_000
const DEFAULT_LIMITS: CallerLimits = { maxHeaderBytes: 16_384, maxBodyBytes: 4_194_304, headerTimeoutMs: 3_000, idleTimeoutMs: 15_000 }

type Fields = Readonly<Record<string, unknown>>

function fieldsOf (value: unknown): Fields | undefined {
  return typeof value === 'object' && value !== null && !Array.isArray(value) ? value as Fields : undefined
}

function listOf (value: unknown): readonly Fields[] {
  return Array.isArray(value) ? value.map(fieldsOf).filter(f => f !== undefined) : []
}

function textOf (value: unknown): string | undefined {
  return typeof value === 'string' && value !== '' ? value : undefined
}

function numberOf (value: unknown): number | undefined {
  return typeof value === 'number' && Number.isFinite(value) ? value : undefined
}

function parse (value: Buffer): Fields | undefined {
  try {
    return fieldsOf(JSON.parse(value.toString('utf8')))
  } catch {
    return undefined // the caller logs records that it leaves out
  }
}

function targetsOf (f: Fields): RouteTarget[] {
  const single = textOf(f.service)
  if (single !== undefined) return [{ service: single, weight: 1 }]
  return listOf(f.split)
    .map(t => ({ service: textOf(t.service) ?? '', weight: numberOf(t.weight) ?? 0 }))
    .filter(t => t.service !== '' && t.weight > 0)
}

function routeOf (f: Fields): Route | undefined {
  const host = textOf(f.host)
  const pathPrefix = textOf(f.path_prefix)
  const targets = targetsOf(f)
  if (host === undefined || pathPrefix === undefined || targets.length === 0) return undefined
  return {
    name: textOf(f.name) ?? `${host}${pathPrefix}`,
    host: host.toLowerCase(),
    pathPrefix,
    targets,
    idempotent: f.route_kind === 'idempotent',
    streaming: f.route_kind === 'streaming',
    resumable: f.resumable === true,
    timeoutMs: numberOf(f.timeout_ms) ?? DEFAULT_TIMEOUT_MS,
    latencyGoalMs: numberOf(f.latency_goal_ms) ?? DEFAULT_TIMEOUT_MS,
    maxAttempts: numberOf(f.max_attempts) ?? 1,
    priority: numberOf(f.priority) ?? 5,
    open: f.public === true
  }
}

function serviceOf (f: Fields): Service | undefined {
  const id = textOf(f.name)
  if (id === undefined) return undefined
  const engine = fieldsOf(f.engine)
  return {
    id,
    healthPath: textOf(f.health_path) ?? '/healthz',
    maxConnections: numberOf(f.max_conns) ?? Infinity,
    engine: engine === undefined ? undefined : { slots: numberOf(engine.slots) ?? 1, memoryTokens: numberOf(engine.kv_capacity) ?? 0 }
  }
}

function accountOf (f: Fields): Account | undefined {
  const id = textOf(f.name)
  const keys = Array.isArray(f.api_keys) ? f.api_keys.filter(k => typeof k === 'string') : []
  return id === undefined ? undefined : { id, keys, priority: numberOf(f.priority) }
}

function limitsOf (f: Fields | undefined): CallerLimits {
  return {
    maxHeaderBytes: numberOf(f?.max_header_bytes) ?? DEFAULT_LIMITS.maxHeaderBytes,
    maxBodyBytes: numberOf(f?.max_body_bytes) ?? DEFAULT_LIMITS.maxBodyBytes,
    headerTimeoutMs: numberOf(f?.header_timeout_ms) ?? DEFAULT_LIMITS.headerTimeoutMs,
    idleTimeoutMs: numberOf(f?.idle_timeout_ms) ?? DEFAULT_LIMITS.idleTimeoutMs
  }
}

/** The configuration, or undefined when it can't be read. */
export function configOf (item: StoreItem): RoutingConfig | undefined {
  const f = parse(item.value)
  const revision = numberOf(f?.version)
  if (f === undefined || revision === undefined) return undefined
  return {
    revision,
    routes: listOf(f.routes).map(routeOf).filter(r => r !== undefined),
    services: listOf(f.services).map(serviceOf).filter(s => s !== undefined),
    accounts: Array.isArray(f.tenants) ? listOf(f.tenants).map(accountOf).filter(a => a !== undefined) : undefined,
    limits: limitsOf(fieldsOf(f.limits))
  }
}

/** One endpoint, or undefined when the record is malformed. */
export function endpointOf (item: StoreItem): Endpoint | undefined {
  const f = parse(item.value)
  const id = item.key.slice(ENDPOINT_PREFIX.length)
  const service = textOf(f?.service)
  const address = /^(\d+\.\d+\.\d+\.\d+):(\d+)$/.exec(textOf(f?.address) ?? '')
  if (f === undefined || id === '' || service === undefined || address === null) return undefined
  if (f.state !== 'ready' && f.state !== 'draining') return undefined
  const slots = numberOf(f.slots)
  const startedAtMs = f.born === undefined ? 0 : f.born // Unix ms of the endpoint's start
  if (slots === undefined || typeof startedAtMs !== 'number' || !Number.isInteger(startedAtMs)) return undefined
  return {
    id,
    service,
    address: address[1]!,
    port: Number(address[2]),
    dataCentre: textOf(f.zone) ?? '',
    slots,
    leaving: f.state === 'draining',
    startedAtMs,
    warmUpMs: numberOf(f.cold_left_ms) ?? 0
  }
}
