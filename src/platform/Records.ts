/** Decodes the records that the operator and the endpoints publish in the store. Malformed records decode to undefined. */
import { isIPv4 } from 'node:net'
import type { Account, CallerLimits, Endpoint, Route, RouteTarget, RoutingConfig, Service, WarmUpLimit } from '../common/routing/Types.js'
import type { StoreItem } from './StoreClient.js'

/** Key of the configuration in the store. */
export const CONFIG_KEY = 'op/config'
/** Prefix of the endpoints' keys in the store; the rest of a key is the endpoint's id. */
export const ENDPOINT_PREFIX = 'servers/'
/** Prefix of all that the operator writes. */
export const OPERATOR_PREFIX = 'op/'
/** Prefix of the keys by which the operator evacuates data centres; the rest of a key is the data centre. */
export const EVACUATION_PREFIX = 'op/evacuate/'

const DEFAULT_TIMEOUT_MS = 30_000
const DEFAULT_LIMITS: CallerLimits = { maxHeaderBytes: 16_384, maxBodyBytes: 4_194_304, headerTimeoutMs: 3_000, idleTimeoutMs: 15_000 }

const DEFAULT_WARM_UP_MS = 3_000 // of a service that limits requests during it and doesn't say how long it takes
const MAX_REGIONS = 64
const MAX_REGION_LENGTH = 200
const MAX_DURATION_MS = 86_400_000 // timers can't take much more than 24 days
const MAX_SLOTS = 1_000_000
const MAX_PORT = 65_535
const MAX_EVACUATIONS = 64 // as many as a datagram to peers may name
const DATA_CENTRE = /^[\x21-\x7e]{1,63}$/ // as in datagrams to peers
const ENDPOINT_ID = /^[\x21-\x7e]{1,200}$/ // it is sent in a header

type Fields = Readonly<Record<string, unknown>>

function asObject (value: unknown): Fields | undefined {
  return typeof value === 'object' && value !== null && !Array.isArray(value) ? value as Fields : undefined
}

function asObjectList (value: unknown): readonly Fields[] {
  return Array.isArray(value) ? value.map(asObject).filter(f => f !== undefined) : []
}

function asString (value: unknown): string | undefined {
  return typeof value === 'string' && value !== '' ? value : undefined
}

function asNumber (value: unknown): number | undefined {
  return typeof value === 'number' && Number.isFinite(value) ? value : undefined
}

/** A duration in ms, at most a day; undefined when it isn't a number that is 0 or more. */
function asDurationMs (value: unknown): number | undefined {
  const ms = asNumber(value)
  return ms === undefined || ms < 0 ? undefined : Math.min(ms, MAX_DURATION_MS)
}

function isCount (value: unknown, max: number): value is number {
  return Number.isInteger(value) && (value as number) > 0 && (value as number) <= max
}

function parseJson (value: Buffer): Fields | undefined {
  try {
    return asObject(JSON.parse(value.toString('utf8')))
  } catch {
    return undefined // the caller logs records that it omits
  }
}

function parseTargets (f: Fields): RouteTarget[] {
  const single = asString(f.service)
  if (single !== undefined) return [{ service: single, weight: 1 }]
  return asObjectList(f.split)
    .map(t => ({ service: asString(t.service) ?? '', weight: asNumber(t.weight) ?? 0 }))
    .filter(t => t.service !== '' && t.weight > 0)
}

function parseRoute (f: Fields): Route | undefined {
  const host = asString(f.host)
  const pathPrefix = asString(f.path_prefix)
  const targets = parseTargets(f)
  if (host === undefined || pathPrefix === undefined || targets.length === 0) return undefined
  return {
    name: asString(f.name) ?? `${host}${pathPrefix}`,
    host: host.toLowerCase(),
    pathPrefix,
    targets,
    idempotent: f.route_kind === 'idempotent',
    streaming: f.route_kind === 'streaming',
    resumable: f.resumable === true,
    timeoutMs: asDurationMs(f.timeout_ms) ?? DEFAULT_TIMEOUT_MS,
    latencyGoalMs: asDurationMs(f.latency_goal_ms) ?? DEFAULT_TIMEOUT_MS,
    eventPauseGoalMs: asDurationMs(f.itl_target_ms) ?? 0,
    maxAttempts: asNumber(f.max_attempts) ?? 1,
    priority: asNumber(f.priority) ?? 5,
    open: f.public === true,
    allowedRegions: parseRegions(f.allowed_regions)
  }
}

/** Regions that a list allows: undefined, for all, when there is no list or an empty one; none when the list can't be read. */
function parseRegions (value: unknown): readonly string[] | undefined {
  if (value === undefined || value === null || (Array.isArray(value) && value.length === 0)) return undefined
  const isReadable = Array.isArray(value) && value.length <= MAX_REGIONS && value.every(region => typeof region === 'string' && region.length <= MAX_REGION_LENGTH)
  return isReadable ? value as string[] : []
}

function parseWarmUp (f: Fields): WarmUpLimit | undefined {
  const requestsPerSec = asNumber(f.cold_per_s) ?? 0
  const seconds = asNumber(f.cold_s) ?? 0
  const durationMs = seconds > 0 ? Math.min(seconds * 1_000, MAX_DURATION_MS) : DEFAULT_WARM_UP_MS
  return requestsPerSec > 0 ? { durationMs, requestsPerSec } : undefined
}

function parseService (f: Fields): Service | undefined {
  const id = asString(f.name)
  if (id === undefined) return undefined
  const engine = asObject(f.engine)
  return {
    id,
    healthPath: asString(f.health_path) ?? '/healthz',
    maxConnections: asNumber(f.max_conns) ?? Infinity,
    engine: engine === undefined ? undefined : { slots: asNumber(engine.slots) ?? 1, memoryTokens: asNumber(engine.kv_capacity) ?? 0 },
    warmUp: parseWarmUp(f)
  }
}

function parseAccount (f: Fields): Account | undefined {
  const id = asString(f.name)
  const keys = Array.isArray(f.api_keys) ? f.api_keys.filter(k => typeof k === 'string') : []
  return id === undefined ? undefined : { id, keys, priority: asNumber(f.priority), allowedRegions: parseRegions(f.allowed_regions) }
}

function parseLimits (f: Fields | undefined): CallerLimits {
  return {
    maxHeaderBytes: asNumber(f?.max_header_bytes) ?? DEFAULT_LIMITS.maxHeaderBytes,
    maxBodyBytes: asNumber(f?.max_body_bytes) ?? DEFAULT_LIMITS.maxBodyBytes,
    headerTimeoutMs: asDurationMs(f?.header_timeout_ms) ?? DEFAULT_LIMITS.headerTimeoutMs,
    idleTimeoutMs: asDurationMs(f?.idle_timeout_ms) ?? DEFAULT_LIMITS.idleTimeoutMs
  }
}

/** The data centre that a key evacuates; undefined for any other key, or one that names no data centre. The value says nothing. */
export function parseEvacuation (key: string): string | undefined {
  const dataCentre = key.startsWith(EVACUATION_PREFIX) ? key.slice(EVACUATION_PREFIX.length) : ''
  return DATA_CENTRE.test(dataCentre) ? dataCentre : undefined
}

/** The evacuated data centres, as many as are kept. */
export function limitEvacuations (dataCentres: Iterable<string>): readonly string[] {
  return [...dataCentres].sort().slice(0, MAX_EVACUATIONS)
}

/** Decodes the configuration; undefined when it is malformed. */
export function parseConfig (item: StoreItem): RoutingConfig | undefined {
  const f = parseJson(item.value)
  const revision = asNumber(f?.version)
  if (f === undefined || revision === undefined) return undefined
  return {
    revision,
    routes: asObjectList(f.routes).map(parseRoute).filter(r => r !== undefined),
    services: asObjectList(f.services).map(parseService).filter(s => s !== undefined),
    accounts: Array.isArray(f.tenants) ? asObjectList(f.tenants).map(parseAccount).filter(a => a !== undefined) : undefined,
    limits: parseLimits(asObject(f.limits))
  }
}

/** Decodes the record of one endpoint; undefined when it is malformed. */
export function parseEndpoint (item: StoreItem): Endpoint | undefined {
  const f = parseJson(item.value)
  const id = item.key.slice(ENDPOINT_PREFIX.length)
  const service = asString(f?.service)
  const [, address = '', portText] = /^([\d.]+):(\d{1,5})$/.exec(asString(f?.address) ?? '') ?? []
  const port = Number(portText)
  if (f === undefined || !ENDPOINT_ID.test(id) || service === undefined || !isIPv4(address) || !isCount(port, MAX_PORT)) return undefined
  if (f.state !== 'ready' && f.state !== 'draining') return undefined
  const { slots } = f
  const startedAtMs = f.born === undefined ? 0 : f.born // start time of the endpoint in Unix ms
  if (!isCount(slots, MAX_SLOTS) || !Number.isSafeInteger(startedAtMs)) return undefined
  return {
    id,
    service,
    address,
    port,
    dataCentre: asString(f.zone) ?? '',
    slots,
    leaving: f.state === 'draining',
    startedAtMs: startedAtMs as number,
    warmUpMs: asDurationMs(f.cold_left_ms)
  }
}
