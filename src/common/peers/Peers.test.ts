import { describe, expect, it } from 'vitest'
import { compareConfig, compareList, type ViewVersion } from './ViewVersion.js'
import { listOf } from '../TestUtils.test.js'
import { readerOf, readWaitMs } from './ReaderElection.js'

const view: ViewVersion = { configRevision: 5, configAgeMs: 900, listVersion: { epoch: 1, revision: 100 }, listDigest: 7, listAgeMs: 900 }

describe('gossip of a peer', () => {
  it('is fetched when newer, confirms an equal view, and is ignored when older', () => {
    const actions = [
      compareConfig(view, { ...view, configRevision: 6 }),
      compareConfig(view, { ...view, configAgeMs: 100 }),
      compareConfig(view, { ...view, configRevision: 4, configAgeMs: 0 }),
      compareList(view, { ...view, listVersion: { epoch: 1, revision: 104 }, listAgeMs: 100 }),
      compareList(view, { ...view, listVersion: { epoch: 1, revision: 104 }, listAgeMs: 100, listDigest: 8 }),
      compareList(view, { ...view, listVersion: { epoch: 1, revision: 99 }, listAgeMs: 0, listDigest: 8 }),
      compareList(view, { ...view, listVersion: { epoch: 1, revision: 104 }, listAgeMs: 2_000, listDigest: 8 })
    ]
    expect(actions).toEqual(['fetch', 'confirm', 'ignore', 'confirm', 'fetch', 'ignore', 'ignore'])
  })

  // Revisions are given out again after the platform was restored: peers with the history before won over those with the new one.
  it('is newer in a later epoch, whatever its revision and age, and older in an earlier one', () => {
    const actions = [
      compareList(view, { ...view, listVersion: { epoch: 2, revision: 40 }, listDigest: 8 }),
      compareList(view, { ...view, listVersion: { epoch: 2, revision: 40 }, listAgeMs: 2_000, listDigest: 8 }),
      compareList(view, { ...view, listVersion: { epoch: 2, revision: 40 }, listAgeMs: 2_000 }),
      compareList(view, { ...view, listVersion: { epoch: 0, revision: 900 }, listAgeMs: 0, listDigest: 8 })
    ]
    expect(actions).toEqual(['fetch', 'fetch', 'confirm', 'ignore'])
  })

  // At the start of a fleet a gateway took an empty list, an hour old, from a peer that had read none, and all endpoints for new ones after it.
  it('is no list while the peer has read none', () => {
    const none: ViewVersion = { ...view, listVersion: { epoch: 0, revision: 0 }, listDigest: 0 }
    const actions = [compareList({ ...none, listAgeMs: Infinity }, { ...none, listAgeMs: 3_600_000 }), compareList({ ...none, listAgeMs: Infinity }, view)]
    expect(actions).toEqual(['ignore', 'fetch'])
  })
})

describe('reader election, for many instances that need the same few values', () => {
  const ids = Array.from({ length: 120 }, (_, i) => `i${i}`)

  it('elects one instance of a data centre, and another when that one is gone', () => {
    const reader = readerOf('endpoints', listOf(ids))!
    const next = readerOf('endpoints', listOf(ids.filter(id => id !== reader)))!
    expect([ids.includes(reader), next !== reader, readerOf('endpoints', listOf([]))]).toEqual([true, true, undefined])
  })

  it('makes the other instances wait for gossip, and read by themselves within 1.8 intervals without it', () => {
    const waits = ids.map((_, i) => readWaitMs(false, 0, 1_000, i / ids.length))
    expect([readWaitMs(true, 0, 1_000, 0), readWaitMs(true, 0, 1_000, 1)]).toEqual([1_000, 1_200])
    expect(Math.min(...waits)).toBeGreaterThanOrEqual(1_600)
    expect(Math.max(...waits)).toBeLessThanOrEqual(1_800)
    expect(readWaitMs(false, Infinity, 1_000, 1)).toBe(0)
  })
})
