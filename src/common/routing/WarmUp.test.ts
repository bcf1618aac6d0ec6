import { describe, expect, it } from 'vitest'
import { WarmUp } from './WarmUp.js'

const LIMIT = { durationMs: 3_000, requestsPerSec: 12 }

/** Time at which an endpoint is warm after `record`, with the limit known before or after. */
function coldUntil (record: (warmUp: WarmUp) => void): number {
  const [early, late] = [new WarmUp(), new WarmUp()]
  early.limit = LIMIT
  record(early)
  record(late)
  late.limit = LIMIT
  expect(late.coldUntil).toBe(early.coldUntil)
  return early.coldUntil
}

describe('WarmUp', () => {
  // A remaining time that was read seconds ago counts from that read, not from when it became known.
  it('ends when the listed time has passed since the list was read', () => {
    expect(coldUntil(w => w.recordEntry(2_000, 100, 900))).toBe(2_100)
  })

  // An entry without a readable time was taken as warm.
  it('is assumed for the service\'s time from when an entry was first seen without a remaining time', () => {
    expect(coldUntil(w => { [500, 1_500, 2_500].forEach(at => w.recordEntry(undefined, at, at + 10)) })).toBe(3_510)
  })

  it('is assumed anew when an entry ceases to state the time', () => {
    expect(coldUntil(w => { [[0, 500], [undefined, 9_000], [undefined, 10_000]].forEach(([left, at]) => w.recordEntry(left, at!, at!)) })).toBe(12_000)
  })

  // An endpoint writes its first entry before it knows that it starts during traffic.
  it('is assumed for an incarnation that joins after the first list, though its entry says that it is warm', () => {
    expect(coldUntil(w => {
      w.recordJoin(1_000)
      w.recordEntry(0, 900, 1_000)
    })).toBe(4_000)
  })

  it('is longer when an endpoint turns cold again, and never shorter by an earlier end', () => {
    expect(coldUntil(w => { [[2_500, 500], [3_000, 1_500], [100, 1_600], [0, 1_700]].forEach(([left, at]) => w.recordEntry(left, at!, at!)) })).toBe(4_500)
  })

  // Peers tell that the list is the same while its remaining times differ: an endpoint that turned cold again looked warm in time.
  it('goes on after its end while lists still have the endpoint as cold, until one has it as warm', () => {
    const record = (w: WarmUp): void => {
      w.recordEntry(1_000, 0, 0)
      w.recordStillCold(900)
      w.recordStillCold(1_100)
    }
    expect([coldUntil(record), coldUntil(w => { record(w); w.recordEntry(0, 1_500, 1_500) })]).toEqual([4_100, 1_000])
  })

  it('limits nothing at an endpoint whose service has none', () => {
    const warmUp = new WarmUp()
    warmUp.recordJoin(1_000)
    warmUp.recordEntry(3_000, 1_000, 1_000)
    const without = [warmUp.isCold(1_001), warmUp.requestsPerSec(1_001)]
    warmUp.limit = LIMIT
    expect([without, warmUp.requestsPerSec(3_999), warmUp.requestsPerSec(4_000)]).toEqual([[false, undefined], 12, undefined])
  })
})
