/** Lookups in one configuration: the route of a request, the account of a key, the service of a session. */
import { Maybe } from 'true-myth/maybe'
import { combine } from '../Hash.js'
import type { Account, Route, RoutingConfig, Service } from './Types.js'

const HASH_RANGE = 4_294_967_296

/** A configuration, indexed for requests. */
export class RouteTable {
  readonly config: RoutingConfig
  readonly #byHost = new Map<string, readonly Route[]>()
  readonly #accounts = new Map<string, Account>()
  readonly #services = new Map<string, Service>()

  constructor (config: RoutingConfig) {
    this.config = config
    const byHost = new Map<string, Route[]>()
    for (const route of config.routes) {
      const routes = byHost.get(route.host) ?? []
      routes.push(route)
      byHost.set(route.host, routes)
    }
    for (const [host, routes] of byHost) this.#byHost.set(host, routes.sort((a, b) => b.pathPrefix.length - a.pathPrefix.length))
    for (const account of config.accounts ?? []) account.keys.forEach(key => this.#accounts.set(key, account))
    for (const service of config.services) this.#services.set(service.id, service)
  }

  /** The route of `host` with the longest prefix of `path`; a port in `host` is ignored. */
  route (host: string, path: string): Maybe<Route> {
    const name = host.replace(/:\d+$/, '').toLowerCase()
    return Maybe.of(this.#byHost.get(name)?.find(r => path.startsWith(r.pathPrefix)))
  }

  account (key: string): Maybe<Account> {
    return Maybe.of(this.#accounts.get(key))
  }

  service (id: string): Maybe<Service> {
    return Maybe.of(this.#services.get(id))
  }

  /** The service for a request of `route`, by weight. Equal hashes get the same service, so that a session stays where its cache is. */
  serviceFor (route: Route, hash: number): string {
    const total = route.targets.reduce((sum, t) => sum + t.weight, 0)
    let point = combine(hash, 0x51ed270b) / HASH_RANGE * total
    for (const target of route.targets) {
      point -= target.weight
      if (point < 0) return target.service
    }
    return route.targets[route.targets.length - 1]!.service
  }
}
