import { describe, expect, it } from 'vitest'
import { InputDelay } from './InputDelay.js'

describe('InputDelay, in a process that stands still', () => {
  it('is 0 before the first tick, and while ticks come in time or a little late', () => {
    const delay = new InputDelay(100)
    const before = delay.delayMs(5_000)
    const delays = [0, 100, 210, 400].map(now => [delay.tick(now), delay.delayMs(now + 90)])
    expect([before, delays]).toEqual([0, [[0, 0], [0, 0], [0, 0], [0, 0]]])
  })

  it('is the whole pause for input that is read before the late tick, and for one interval after it', () => {
    const delay = new InputDelay(100)
    delay.tick(0)
    const first = delay.delayMs(3_000)
    const pausedMs = delay.tick(3_000)
    expect([first, pausedMs, delay.delayMs(3_050), delay.tick(3_100), delay.delayMs(3_100)]).toEqual([3_000, 3_000, 3_050, 0, 0])
  })

  it('covers two pauses that follow each other', () => {
    const delay = new InputDelay(100)
    ;[0, 2_000].forEach(now => delay.tick(now))
    expect([delay.delayMs(4_000), delay.tick(4_000), delay.delayMs(4_000)]).toEqual([4_000, 2_000, 4_000])
  })
})
