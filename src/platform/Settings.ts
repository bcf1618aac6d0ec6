/** Reads the settings file that the platform writes from the template in deploy/: a JSON object with all of the platform's fields. */
import { readFileSync } from 'node:fs'
import { err, ok, type Result } from 'neverthrow'
import type { GatewaySettings, ListenAddress } from '../gateway/Gateway.js'

/** Settings of a process on the platform. */
export interface PlatformSettings {
  readonly gateway: GatewaySettings
  readonly store: ListenAddress
  /** Longest delay until a leaving endpoint gets no more new requests. */
  readonly drainMs: number
}

/** Error of a settings file that can't be used. */
export interface SettingsError {
  readonly step: 'settings'
  readonly peer: string
  readonly reason: string
}

const READINESS_PATH = '/v1/readyz'
const METRICS_PATH = '/metrics'
const METRICS_PORT = 9464
const DEFAULT_PEER_PORT = 7_340
const DEFAULT_GRACE_SEC = 8
const DEFAULT_DRAIN_MS = 2_000
const DEFAULT_CONFIG_APPLY_MS = 2_000
const DEFAULT_RETRY_RATIO = 0.2
const DEFAULT_RETRY_WINDOW_SEC = 10
const DEFAULT_RETRY_BURST = 20
const DEFAULT_MEMORY_MB = 256
const DEFAULT_MAX_DESCRIPTORS = 4_096
const BYTES_PER_MB = 1_048_576

/** Fields that are read; the platform may add others. */
interface SettingsFile {
  readonly node_name: string
  readonly ip: string
  readonly zone: string
  /** First and last port that are available for traffic between instances. */
  readonly port_range?: readonly number[]
  /** Addresses of at most three instances; their port is ignored. */
  readonly seeds?: readonly string[]
  readonly listen: { readonly frontend: string, readonly readiness: string }
  readonly platform: { readonly address: string }
  readonly limits?: { readonly memory_mb?: number, readonly max_fds?: number }
  /** Region of each data centre. */
  readonly zones?: Readonly<Record<string, unknown>>
  readonly bounds?: Readonly<Record<string, number | boolean | undefined>>
}

function parseAddress (text: string): ListenAddress {
  const at = text.lastIndexOf(':')
  return { address: text.slice(0, at), port: Number(text.slice(at + 1)) }
}

function boundOrDefault (file: SettingsFile, name: string, defaultValue: number): number {
  const value = file.bounds?.[name]
  return typeof value === 'number' && value >= 0 ? value : defaultValue
}

/** Value of a bound that is absent where the deployment doesn't have what it bounds. */
function optionalBound (file: SettingsFile, name: string): number | undefined {
  const value = file.bounds?.[name]
  return typeof value === 'number' && value > 0 ? value : undefined
}

/** Regions by data centre; entries that aren't texts are left out. */
function parseRegions (zones: unknown): ReadonlyMap<string, string> {
  const entries = typeof zones === 'object' && zones !== null ? Object.entries(zones) : []
  return new Map(entries.filter((entry): entry is [string, string] => typeof entry[1] === 'string'))
}

function missingField (file: Partial<SettingsFile>): string | undefined {
  const texts: Record<string, unknown> = {
    node_name: file.node_name, ip: file.ip, zone: file.zone, 'listen.frontend': file.listen?.frontend, 'listen.readiness': file.listen?.readiness, 'platform.address': file.platform?.address
  }
  return Object.keys(texts).find(name => typeof texts[name] !== 'string')
}

/** Parses the text of the settings file. @param path path of the file, for errors. */
export function parseSettings (text: string, path: string): Result<PlatformSettings, SettingsError> {
  const fail = (reason: string): Result<PlatformSettings, SettingsError> => err({ step: 'settings', peer: path, reason })
  let file: SettingsFile
  try {
    file = JSON.parse(text) as SettingsFile
  } catch (e) {
    return fail(`not JSON: ${(e as Error).message}`)
  }
  const missing = missingField(file)
  if (missing !== undefined) return fail(`${missing} must be a string`)
  const gateway: GatewaySettings = {
    id: file.node_name,
    dataCentre: file.zone,
    callers: parseAddress(file.listen.frontend),
    readiness: parseAddress(file.listen.readiness),
    readinessPath: READINESS_PATH,
    peerPort: file.port_range?.[0] ?? DEFAULT_PEER_PORT,
    seeds: (file.seeds ?? []).map(seed => parseAddress(seed).address),
    metrics: { address: file.ip, port: METRICS_PORT },
    metricsPath: METRICS_PATH,
    graceMs: boundOrDefault(file, 'grace_s', DEFAULT_GRACE_SEC) * 1_000,
    retryRatio: boundOrDefault(file, 'retry_budget_ratio', DEFAULT_RETRY_RATIO),
    retryBurst: boundOrDefault(file, 'retry_burst', DEFAULT_RETRY_BURST),
    retryWindowMs: boundOrDefault(file, 'budget_window_s', DEFAULT_RETRY_WINDOW_SEC) * 1_000,
    configApplyMs: boundOrDefault(file, 'config_apply_ms', DEFAULT_CONFIG_APPLY_MS),
    evacuationMs: optionalBound(file, 'evacuation_ms'),
    regions: parseRegions(file.zones),
    memoryBytes: (file.limits?.memory_mb ?? DEFAULT_MEMORY_MB) * BYTES_PER_MB,
    maxDescriptors: file.limits?.max_fds ?? DEFAULT_MAX_DESCRIPTORS
  }
  return ok({ gateway, store: parseAddress(file.platform.address), drainMs: boundOrDefault(file, 'drain_ms', DEFAULT_DRAIN_MS) })
}

/** Reads and parses the settings file. */
export function loadSettings (path: string): Result<PlatformSettings, SettingsError> {
  try {
    return parseSettings(readFileSync(path, 'utf8'), path)
  } catch (e) {
    return err({ step: 'settings', peer: path, reason: (e as NodeJS.ErrnoException).code ?? String(e) })
  }
}
