import { describe, expect, it } from 'vitest'
import { allowedRegions, keyWithin, RegionFilter } from './RegionFilter.js'
import type { Account, Route } from './Types.js'

const route = (regions?: readonly string[]): Route => ({ allowedRegions: regions }) as unknown as Route
const account = (regions?: readonly string[]): Account => ({ id: 'looms', keys: [], priority: undefined, allowedRegions: regions })

describe('RegionFilter', () => {
  // A list of the account replaced the route's, or the reverse.
  it('takes the regions that both lists allow, and a single list as it is', () => {
    const results = [
      allowedRegions(route(), undefined),
      allowedRegions(route(), account()),
      allowedRegions(route(['south', 'north', 'south']), undefined),
      allowedRegions(route(), account(['north'])),
      allowedRegions(route(['south', 'north']), account(['north', 'east'])),
      allowedRegions(route(['south']), account(['north'])),
      allowedRegions(route([]), account(['north']))
    ]
    expect(results).toEqual([undefined, undefined, ['north', 'south'], ['north'], ['north'], [], []])
  })

  it('allows no data centre of an unknown region in any list, and all without a list', () => {
    const filter = new RegionFilter(new Map([['a', 'north'], ['b', 'south']]))
    const allowed = [undefined, ['north'], ['north', 'south'], ['a', ''], []].map(regions => ['a', 'b', 'c', ''].filter(dataCentre => filter.allows(dataCentre, regions)))
    expect(allowed).toEqual([['a', 'b', 'c', ''], ['a'], ['a', 'b'], [], []])
  })

  // Sessions of an account without a list were recorded at engines that one with a list had chosen, and the reverse.
  it('gives a session another key for each list, and its own without one', () => {
    const key = { session: 7, template: 5, templateTokens: 100, sessionTokens: 800 }
    const keys = [undefined, ['north'], ['south'], ['north', 'south'], []].map(regions => keyWithin(regions, key))
    expect([keys[0], new Set(keys.map(k => k.session)).size, keys.every(k => k.template === 5)]).toEqual([key, 5, true])
  })
})
