/** Records that the users' platform and its operator write: settings files, worker entries and the configuration. */

/** Store key of the configuration. */
export const CONFIGURATION_KEY = 'op/config'
/** Path of the readiness endpoint of a gateway. */
export const READINESS_PATH = '/v1/readyz'
/** Environment variable with the path of the settings file. */
export const SETTINGS_VARIABLE = 'RADISHLOFT_CONFIG'
/** Host name of all routes. */
export const ROUTE_HOST = 'standin.example'
/** API key of each client account in the configuration. */
export const API_KEYS: Readonly<Record<string, string>> = { looms: 'key-looms', beads: 'key-beads' }

const MAX_CONNECTIONS = 500
const LATENCY_GOAL_MS = 300

/** Store key of a worker's entry. */
export function workerEntryKey (worker: string): string {
  return `servers/${worker}`
}

/** Store key with which the operator evacuates a data centre; its value is `{}`. */
export function evacuationKey (dataCentre: string): string {
  return `op/evacuate/${dataCentre}`
}

/** Route of the generated configuration; its path prefix is its name. */
export interface RouteSpec {
  readonly name: string
  readonly kind: 'read' | 'write' | 'stream' | 'stream-resumable'
  readonly service: string
}

/** Configuration record as the operator writes it. @param timeoutMs timeout of each route. */
export function configurationRecord (version: number, routes: readonly RouteSpec[], timeoutMs: number): object {
  return {
    version,
    routes: routes.map(({ name, kind, service }) => ({
      name,
      host: ROUTE_HOST,
      path_prefix: `/${name}/`,
      service,
      route_kind: kind === 'read' ? 'idempotent' : kind === 'write' ? 'non_idempotent' : 'streaming',
      resumable: kind === 'stream-resumable',
      max_attempts: kind === 'read' || kind === 'stream-resumable' ? 2 : 1,
      timeout_ms: timeoutMs,
      latency_goal_ms: LATENCY_GOAL_MS,
      priority: 1
    })),
    services: [...new Set(routes.map(r => r.service))].map(name => ({ name, health_path: '/healthz', max_conns: MAX_CONNECTIONS })),
    limits: { max_header_bytes: 8_000, max_body_bytes: 100_000, header_timeout_ms: 3_000, idle_timeout_ms: 15_000 },
    tenants: Object.entries(API_KEYS).map(([name, key]) => ({ name, api_keys: [key] }))
  }
}

/** Bounds of the platform in a settings file. */
export interface GatewayBoundsSpec {
  readonly drainMs: number
  readonly graceSec: number
  readonly retryRatio: number
  readonly retryBurst: number
  /** Absent for the gateway's default. */
  readonly configApplyMs?: number
  /** Absent where data centres are never evacuated. */
  readonly evacuationMs?: number
}

/** Values that differ between the settings files of gateways. */
export interface GatewaySettingsSpec {
  readonly name: string
  readonly address: string
  readonly dataCentre: string
  readonly frontPort: number
  readonly readinessPort: number
  readonly storePort: number
  readonly peerPort: number
  readonly seeds: readonly string[]
  /** True when the whole fleet starts for the first time. */
  readonly bootstrap: boolean
  readonly bounds: GatewayBoundsSpec
  /** What the process may take; absent for the gateway's defaults. */
  readonly limits?: { readonly memoryMb: number, readonly maxDescriptors: number }
}

/** Text of a settings file in the format of the template in deploy/. */
export function settingsFileText (spec: GatewaySettingsSpec): string {
  const { configApplyMs, drainMs, graceSec, retryRatio, retryBurst, evacuationMs } = spec.bounds
  return JSON.stringify({
    node_name: spec.name,
    ip: spec.address,
    zone: spec.dataCentre,
    port_range: [spec.peerPort, spec.peerPort + 15],
    seeds: spec.seeds.map(address => `${address}:1`),
    bootstrap: spec.bootstrap,
    listen: { frontend: `${spec.address}:${spec.frontPort}`, readiness: `${spec.address}:${spec.readinessPort}` },
    platform: { address: `127.0.0.1:${spec.storePort}` },
    bounds: {
      config_apply_ms: configApplyMs,
      drain_ms: drainMs,
      grace_s: graceSec,
      retry_budget_ratio: retryRatio,
      retry_burst: retryBurst,
      evacuation_ms: evacuationMs
    },
    limits: spec.limits === undefined ? undefined : { memory_mb: spec.limits.memoryMb, max_fds: spec.limits.maxDescriptors }
  })
}
