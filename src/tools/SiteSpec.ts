/** Sizes, names and configuration files of the sites that the development tools start on loopback. */
import { createHash } from 'node:crypto'
import type { EngineSettings } from '../common/generated/EngineSettings.js'
import type { LoadPlan } from '../load/LoadGenerator.js'
import type { VotedFile } from '../common/generated/VotedFile.js'

/** Size and settings of a site. */
export interface SiteSpec {
  /** First port; the site uses ports up to 500 above it. */
  readonly basePort: number
  readonly dataCentres: readonly string[]
  readonly routers: number
  readonly engines: number
  readonly workers: number
  readonly engine: Partial<EngineSettings>
  readonly loadBound: number
  readonly reuseWeight: number
  readonly listLagMs: number
}

/** Site with the size of the Cusco deployment: three data centres, 13 routers, 6 engines, 3 workers of the order service, 10 client accounts. */
export function referenceSiteSpec (basePort: number): SiteSpec {
  return {
    basePort,
    dataCentres: ['dc-a', 'dc-b', 'dc-c'],
    routers: 13,
    engines: 6,
    workers: 3,
    engine: { slots: 24, prefillTokensPerSec: 20_000, decodeTokensPerSec: 60, cacheTokens: 300_000 },
    loadBound: 1.25,
    reuseWeight: 0.4,
    listLagMs: 2_000
  }
}

/** API key of a client account in the development configuration. */
export function apiKeyOf (account: string): string {
  return `sk-dev-${account}`
}

/** Hash of an API key as it stands in the configuration file. */
function keyHash (account: string): string {
  return createHash('sha256').update(apiKeyOf(account)).digest('base64url').slice(0, 22)
}

/** Load of the demo and of chaos runs: 140 multi-turn chats and 6 callers of marked calls; the two large client accounts get 8 times the weight. */
export function loadPlan (site: { readonly spec: SiteSpec, readonly entries: readonly string[] }): Omit<LoadPlan, 'seconds' | 'seed'> {
  return {
    entries: site.entries,
    accounts: siteConfigFile(site.spec).accounts.map(a => ({ id: a.id, key: apiKeyOf(a.id), weight: a.tier === 'large' ? 8 : 1 })),
    model: 'assistant',
    service: 'orders',
    path: '/reservations',
    chats: 140,
    callers: 6,
    pauseMs: 500,
    promptChars: 1_600,
    answerTokens: 40
  }
}

/** Ids, data centres and ports of the parts of a site. */
export interface SiteNames {
  readonly platformPort: number
  readonly routers: ReadonlyArray<{ readonly id: string, readonly dataCentre: string, readonly callerPort: number, readonly peerPort: number }>
  readonly engines: ReadonlyArray<{ readonly id: string, readonly dataCentre: string, readonly port: number }>
  readonly workers: ReadonlyArray<{ readonly id: string, readonly dataCentre: string, readonly port: number }>
}

/** Assigns ids, data centres (round robin) and ports. */
export function siteNames (spec: SiteSpec): SiteNames {
  const dataCentre = (i: number): string => spec.dataCentres[i % spec.dataCentres.length]!
  const range = (n: number): number[] => Array.from({ length: n }, (_, i) => i)
  return {
    platformPort: spec.basePort,
    routers: range(spec.routers).map(i => ({ id: `r${i + 1}`, dataCentre: dataCentre(i), callerPort: spec.basePort + 100 + i, peerPort: spec.basePort + 200 + i })),
    engines: range(spec.engines).map(i => ({ id: `e${i + 1}`, dataCentre: dataCentre(i), port: spec.basePort + 300 + i })),
    workers: range(spec.workers).map(i => ({ id: `w${i + 1}`, dataCentre: dataCentre(i), port: spec.basePort + 400 + i }))
  }
}

/** Configuration file of a site. @param smallRate requests per second of the small tier; tests vary it to get different files. */
export function siteConfigFile (spec: SiteSpec, smallRate = 50): VotedFile {
  const names = siteNames(spec)
  const accounts = ['council', 'looms', ...Array.from({ length: 8 }, (_, i) => `atelier-${i + 1}`)]
  return {
    format: 1,
    loadBound: spec.loadBound,
    reuseWeight: spec.reuseWeight,
    dataCentres: spec.dataCentres.map(id => ({ id, region: 'andes' })),
    models: [{ id: 'assistant' }],
    tiers: [
      { id: 'large', requestsPerSec: 500, sharePercent: 25, priority: 6 },
      { id: 'small', requestsPerSec: smallRate, sharePercent: 5, priority: 5 }
    ],
    accounts: accounts.map((id, i) => ({ id, tier: i < 2 ? 'large' : 'small', keys: [keyHash(id)] })),
    endpointGroups: spec.dataCentres.flatMap(dc => [
      { id: `engines-${dc}`, kind: 'engine' as const, dataCentre: dc, models: ['assistant'], checksFencing: true },
      { id: `orders-${dc}`, kind: 'service' as const, dataCentre: dc, services: ['orders'] }
    ]),
    endpoints: [
      ...names.engines.map(e => ({ id: e.id, group: `engines-${e.dataCentre}`, address: `127.0.0.1:${e.port}` })),
      ...names.workers.map(w => ({ id: w.id, group: `orders-${w.dataCentre}`, address: `127.0.0.1:${w.port}` }))
    ],
    services: [{
      id: 'orders',
      timeoutMs: 8_000,
      calls: [
        { method: 'GET', path: '/*', neverRepeat: false },
        { method: 'POST', path: '/quotes', neverRepeat: false },
        { method: 'POST', path: '/reservations', neverRepeat: true }
      ]
    }]
  }
}
