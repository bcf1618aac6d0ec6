/** A voted file indexed for the request path: built once for each accepted file, immutable afterwards. */
import { Maybe } from 'true-myth/maybe'
import type { Account, Service, Tier } from '../generated/VotedFile.js'
import { hashString } from '../Hash.js'
import type { RendezvousCandidate } from '../Rendezvous.js'
import type { ConfigVersion } from './ConfigJoin.js'

/** An endpoint with the properties of its group. */
export interface EndpointInfo extends RendezvousCandidate {
  readonly id: string
  readonly kind: 'engine' | 'service'
  readonly dataCentre: string
  readonly region: string
  /** IP address and port. */
  readonly address: string
  readonly models: readonly string[]
  readonly services: readonly string[]
  readonly checksFencing: boolean
}

/** A client account with the limits of its tier. */
export interface ClientAccount {
  readonly id: string
  readonly keys: readonly string[]
  readonly requestsPerSec: number
  /** Guaranteed fraction of the fleet, 0 to 1. */
  readonly share: number
  readonly priority: number
}

/** Retry rule and timeout of a service call. */
export interface CallRule {
  readonly service: string
  readonly neverRepeat: boolean
  readonly timeoutMs: number
}

function resolveAccount (account: Account, tier: Tier): ClientAccount {
  return { id: account.id, keys: account.keys, requestsPerSec: tier.requestsPerSec, share: tier.sharePercent / 100, priority: tier.priority }
}

function matches (pattern: string, path: string): boolean {
  return pattern.endsWith('*') ? path.startsWith(pattern.slice(0, -1)) : path === pattern
}

/** Indexes over one version of the voted file. */
export class VotedConfig {
  readonly version: ConfigVersion
  readonly endpoints: readonly EndpointInfo[]
  readonly #byId = new Map<string, EndpointInfo>()
  readonly #byHash = new Map<number, EndpointInfo>()
  readonly #engines = new Map<string, EndpointInfo[]>()
  readonly #workers = new Map<string, EndpointInfo[]>()
  readonly #services = new Map<string, Service>()
  readonly #accountsByKey = new Map<string, ClientAccount>()
  readonly #accounts = new Map<string, ClientAccount>()
  readonly #regions: ReadonlyMap<string, string>

  constructor (version: ConfigVersion) {
    this.version = version
    const file = version.file
    this.#regions = new Map(file.dataCentres.map(d => [d.id, d.region]))
    const groups = new Map(file.endpointGroups.map(g => [g.id, g]))
    this.endpoints = file.endpoints.map(e => {
      const group = groups.get(e.group)!
      return {
        id: e.id,
        hash: hashString(e.id),
        weight: group.capacity ?? 1,
        kind: group.kind,
        dataCentre: group.dataCentre,
        region: this.regionOf(group.dataCentre),
        address: e.address,
        models: group.models ?? [],
        services: group.services ?? [],
        checksFencing: group.checksFencing ?? false
      }
    })
    for (const e of this.endpoints) this.#indexEndpoint(e)
    for (const s of file.services) this.#services.set(s.id, s)
    const tiers = new Map(file.tiers.map(t => [t.id, t]))
    for (const a of file.accounts) this.#indexAccount(resolveAccount(a, tiers.get(a.tier)!))
  }

  get loadBound (): number {
    return this.version.file.loadBound
  }

  get reuseWeight (): number {
    return this.version.file.reuseWeight
  }

  /** Region of a data centre; a data centre that is not in the file is its own region. */
  regionOf (dataCentre: string): string {
    return this.#regions.get(dataCentre) ?? dataCentre
  }

  /** Engines that serve a model; empty when the model is unknown. */
  enginesOf (model: string): readonly EndpointInfo[] {
    return this.#engines.get(model) ?? []
  }

  /** Endpoints that serve a plain service. */
  workersOf (service: string): readonly EndpointInfo[] {
    return this.#workers.get(service) ?? []
  }

  endpoint (id: string): EndpointInfo | undefined {
    return this.#byId.get(id)
  }

  endpointByHash (hash: number): EndpointInfo | undefined {
    return this.#byHash.get(hash)
  }

  /** Finds an account by a prefix of the SHA-256 of its key (base64url); the caller compares the whole hash in constant time. */
  accountByKeyHash (keyHash: string): Maybe<ClientAccount> {
    return Maybe.of(this.#accountsByKey.get(keyHash.slice(0, 16)))
  }

  account (id: string): Maybe<ClientAccount> {
    return Maybe.of(this.#accounts.get(id))
  }

  /** The rule of a call; a call that is not in the file must never be repeated. */
  callRule (service: string, method: string, path: string): Maybe<CallRule> {
    const found = this.#services.get(service)
    if (found === undefined) return Maybe.nothing()
    const rule = found.calls.find(c => c.method === method && matches(c.path, path))
    return Maybe.just({ service, neverRepeat: rule?.neverRepeat ?? true, timeoutMs: found.timeoutMs })
  }

  #indexEndpoint (e: EndpointInfo): void {
    this.#byId.set(e.id, e)
    this.#byHash.set(e.hash, e)
    for (const m of e.models) pushTo(this.#engines, m, e)
    for (const s of e.services) pushTo(this.#workers, s, e)
  }

  #indexAccount (account: ClientAccount): void {
    this.#accounts.set(account.id, account)
    for (const key of account.keys) this.#accountsByKey.set(key.slice(0, 16), account)
  }
}

function pushTo<T> (map: Map<string, T[]>, key: string, item: T): void {
  const list = map.get(key)
  if (list === undefined) map.set(key, [item])
  else list.push(item)
}
