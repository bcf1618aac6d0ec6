import { describe, expect, it } from 'vitest'
import { acceptsWhileDraining } from './DrainWindow.js'

describe('acceptsWhileDraining, for callers that keep using open connections', () => {
  // Answers that were expected to end in time were accepted until late, and broken off at the exit when their engines were slower.
  it('accepts every request while the load balancer sends new connections, and none afterwards', () => {
    const acceptedAt = (graceMs: number, ms: number): boolean => acceptsWhileDraining({ startedAt: 10_000, graceMs }, 10_000 + ms)
    const table = [8_000, 3_000].map(graceMs => [graceMs, ...[0, 1_400, 1_600, 2_400, 2_500, 5_000, 7_400].map(ms => acceptedAt(graceMs, ms))])
    expect(table).toMatchInlineSnapshot(`
      [
        [
          8000,
          true,
          true,
          true,
          true,
          false,
          false,
          false,
        ],
        [
          3000,
          true,
          true,
          false,
          false,
          false,
          false,
          false,
        ],
      ]
    `)
  })
})
