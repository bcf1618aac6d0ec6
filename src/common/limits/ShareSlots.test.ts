import { describe, expect, it } from 'vitest'
import { hashString } from '../Hash.js'
import { ShareSlots } from './ShareSlots.js'

const INSTANCES = 131
const PERIOD_MS = 1_000 * INSTANCES / 6 // 6 a second together

/** Most admissions in any second while all instances ask as often as they can from `from` on. */
function mostInSecond (from: number): number {
  const fleet = Array.from({ length: INSTANCES }, (_, i) => new ShareSlots(hashString(`gateway-${i}`)))
  const taken: number[] = []
  for (let now = from; now < from + 30_000; now += 20) fleet.forEach(slots => { if (slots.take('e1', PERIOD_MS, now) === 0) taken.push(now) })
  return Math.max(...taken.map(at => taken.filter(other => other >= at && other < at + 1_000).length))
}

describe('ShareSlots', () => {
  // Each of 131 token buckets had saved one token, and all were spent in one second.
  it('gives a fleet no more than about its rate in any second, however long nobody asked before', () => {
    expect([mostInSecond(0), mostInSecond(600_000)].every(most => most <= 18)).toBe(true)
  })

  it('gives each slot once, and says when the next comes', () => {
    const slots = new ShareSlots(1)
    const start = slots.take('e1', 5_000, 0) // the slot is taken here, or begins in this time
    const answers = [0, 100, 5_000, 5_050].map(ms => slots.take('e1', 5_000, start + ms))
    expect(answers.map(Math.round)).toEqual([0, 4_900, 0, 4_950])
  })
})
