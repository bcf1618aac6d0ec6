import { describe, expect, it } from 'vitest'
import { acceptsWhileDraining } from './DrainWindow.js'

const drain = { startedAt: 10_000, endsAt: 17_500 }
const guide = { parts: [], promptTokens: 700, maxAnswerTokens: 400 }
const report = { parts: [], promptTokens: 9_200, maxAnswerTokens: 50 }

describe('acceptsWhileDraining, for callers that keep using open connections', () => {
  it('accepts short answers until the end and rejects long streams that would be cut off', () => {
    const at = (ms: number): readonly unknown[] => [ms, ...[guide, report, undefined].map(p => acceptsWhileDraining(drain, p, drain.startedAt + ms))]
    const taken = [0, 2_400, 3_400, 5_000, 6_600, 7_400].map(at)
    expect(taken).toMatchInlineSnapshot(`
      [
        [
          0,
          true,
          true,
          true,
        ],
        [
          2400,
          true,
          true,
          true,
        ],
        [
          3400,
          false,
          true,
          true,
        ],
        [
          5000,
          false,
          true,
          true,
        ],
        [
          6600,
          false,
          false,
          true,
        ],
        [
          7400,
          false,
          false,
          false,
        ],
      ]
    `)
  })
})
