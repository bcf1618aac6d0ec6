import { describe, expect, it } from 'vitest'
import { ConfigSchedule } from './ConfigSchedule.js'

const CALL_MS = 100 // of a platform that answers late, but isn't slow

/** Times of a fleet in ms: what a watch waits and when it is given up, and when each rank reads; the last two are the first and the last of all others. */
function timesOf (boundMs: number): number[] {
  const schedule = new ConfigSchedule(boundMs)
  const { waitMs, timeoutMs } = schedule.watch(0)
  return [waitMs, ...[1, 2, 3].map(rank => schedule.readAgeMs(rank, 0)), schedule.readAgeMs(3, 1), timeoutMs].map(ms => Math.round(ms))
}

describe('ConfigSchedule, when those that watch lose the platform', () => {
  it('follows the bound, within limits', () => {
    expect([2_000, 3_000, 0, 60_000].map(timesOf)).toMatchInlineSnapshot(`
      [
        [
          1200,
          1400,
          1500,
          1600,
          1700,
          1700,
        ],
        [
          1800,
          2100,
          2250,
          2400,
          2550,
          2550,
        ],
        [
          300,
          350,
          375,
          400,
          425,
          425,
        ],
        [
          4800,
          5600,
          6000,
          6400,
          6800,
          6800,
        ],
      ]
    `)
  })

  // The waits were constants, and longer than a bound of 2 s.
  it.each([1_000, 2_000, 3_000, 5_000])('leaves time for a call after the last wait of any instance: %i ms', boundMs => {
    const times = timesOf(boundMs)
    expect([times, Math.max(...times) + CALL_MS < boundMs]).toEqual([[...times].sort((a, b) => a - b), true])
  })

  it('shortens a watch whose configuration was confirmed some time ago', () => {
    const schedule = new ConfigSchedule(2_000)
    expect([0, 500, 1_200, 5_000, Infinity].map(ageMs => schedule.watch(ageMs))).toMatchInlineSnapshot(`
      [
        {
          "timeoutMs": 1700,
          "waitMs": 1200,
        },
        {
          "timeoutMs": 1200,
          "waitMs": 700,
        },
        {
          "timeoutMs": 500,
          "waitMs": 0,
        },
        {
          "timeoutMs": 500,
          "waitMs": 0,
        },
        {
          "timeoutMs": 500,
          "waitMs": 0,
        },
      ]
    `)
  })
})
