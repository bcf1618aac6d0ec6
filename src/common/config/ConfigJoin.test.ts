import fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import { sampleFile } from '../TestUtils.test.js'
import { joinVersions } from './ConfigJoin.js'
import { diffFiles, joinParts, splitText } from './ConfigParts.js'

const version = fc.option(fc.record({ revision: fc.integer({ min: 1, max: 4 }), digest: fc.constantFrom('a', 'b', 'c') }), { nil: undefined })
const RUNS = { seed: 7, numRuns: 500 }

describe('joinVersions', () => {
  it('is idempotent, commutative and associative', () => {
    fc.assert(fc.property(version, version, version, (a, b, c) => {
      expect(joinVersions(a, a)).toEqual(a)
      expect(joinVersions(a, b)).toEqual(joinVersions(b, a))
      expect(joinVersions(joinVersions(a, b), c)).toEqual(joinVersions(a, joinVersions(b, c)))
    }), RUNS)
  })

  it('never yields a lower revision than its inputs', () => {
    fc.assert(fc.property(version, version, (a, b) => {
      expect(joinVersions(a, b)?.revision ?? 0).toBeGreaterThanOrEqual(Math.max(a?.revision ?? 0, b?.revision ?? 0))
    }), RUNS)
  })
})

describe('ConfigParts', () => {
  const accounts = (n: number, changed = -1): string => JSON.stringify({
    ...sampleFile(), accounts: Array.from({ length: n }, (_, i) => ({ id: `a${i}`, tier: i === changed ? 'large' : 'small', keys: [`${i}`.padStart(16, '0')] }))
  })
  const hash = (text: string): string => `${text.length}:${text.slice(0, 40)}:${text.slice(-40)}:${[...text].reduce((h, c) => (h * 31 + c.charCodeAt(0)) >>> 0, 0)}`

  it('restores the same text, whatever its formatting', () => {
    fc.assert(fc.property(fc.oneof(fc.string(), fc.integer({ min: 0, max: 400 }).map(n => accounts(n)), fc.json()), text => {
      const { manifest, parts } = splitText(text, hash)
      expect(joinParts(manifest, parts)).toBe(text)
    }), { seed: 5, numRuns: 100 })
  })

  it('changes one part for one changed account', () => {
    const before = splitText(accounts(4_000), hash)
    const after = splitText(accounts(4_000, 2_000), hash)
    expect(before.manifest.length).toBeGreaterThan(15)
    expect(after.manifest.filter(id => !before.parts.has(id))).toHaveLength(1)
  })

  it('does not join while a part is missing', () => {
    const { manifest, parts } = splitText(accounts(1_000), hash)
    const some = new Map([...parts].slice(1))
    expect(joinParts(manifest, some)).toBeUndefined()
  })

  it('lists the rows that differ', () => {
    const before = sampleFile()
    const after = { ...before, loadBound: 1.5, endpoints: before.endpoints.slice(1), tiers: [{ ...before.tiers[0]!, priority: 7 }] }
    expect(diffFiles(before, after)).toMatchInlineSnapshot(`
      [
        {
          "added": [],
          "changed": [
            "loadBound: 1.25 -> 1.5",
          ],
          "removed": [],
          "section": "limits",
        },
        {
          "added": [],
          "changed": [
            "small",
          ],
          "removed": [],
          "section": "tiers",
        },
        {
          "added": [],
          "changed": [],
          "removed": [
            "e1",
          ],
          "section": "endpoints",
        },
      ]
    `)
  })
})
