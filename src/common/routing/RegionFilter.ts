/**
 * Allowed regions: which data centres may get a request whose route or account has a list. Designed so that nothing is assumed in
 * favour of a data centre: one without a known region is outside each list, and a list that allows nothing allows no endpoint.
 */
import { combine, hashString } from '../Hash.js'
import type { PromptKey } from './PromptPlacement.js'
import type { Account, Route } from './Types.js'

/** Names of regions in order, each once; undefined when all are allowed. */
export type AllowedRegions = readonly string[] | undefined

/** Regions that both the route and the account of a request allow. */
export function allowedRegions (route: Route, account: Account | undefined): AllowedRegions {
  const [first, second] = [route.allowedRegions, account?.allowedRegions]
  const both = first === undefined || second === undefined ? first ?? second : first.filter(region => second.includes(region))
  return both === undefined ? undefined : [...new Set(both)].sort()
}

/** Key of a session whose request may only go to these regions: those with other lists, or none, have records and engines of their own. */
export function keyWithin (regions: AllowedRegions, key: PromptKey): PromptKey {
  return regions === undefined ? key : { ...key, session: combine(key.session, hashString(regions.join('\n'))) }
}

/** Tells which data centres are in the allowed regions. */
export class RegionFilter {
  readonly #regionOf: ReadonlyMap<string, string>

  /** @param regionOf region of each data centre. */
  constructor (regionOf: ReadonlyMap<string, string>) {
    this.#regionOf = regionOf
  }

  allows (dataCentre: string, regions: AllowedRegions): boolean {
    if (regions === undefined) return true
    const region = this.#regionOf.get(dataCentre)
    return region !== undefined && regions.includes(region)
  }
}
