import { describe, expect, it } from 'vitest'
import { isWholeAt, type Liveness } from './UnmarkedEnd.js'

const BOOLEANS = [true, false]
const LIVENESS: readonly Liveness[] = ['held', 'ended', 'unknown']

const CASES = BOOLEANS.flatMap(streaming => BOOLEANS.flatMap(usable => BOOLEANS.flatMap(refused => {
  return LIVENESS.map(liveness => ({ streaming, usable, refused, liveness }))
})))

describe('an answer whose end isn\'t marked', () => {
  // A stream was taken for whole without evidence, as no rule asked for any.
  it('is whole on a streaming route only when the endpoint\'s process is known to live on', () => {
    const whole = CASES.filter(end => end.streaming && isWholeAt(end))
    expect(whole.map(({ usable, refused, liveness }) => ({ usable, refused, liveness }))).toEqual([
      { usable: true, refused: false, liveness: 'held' },
      { usable: false, refused: true, liveness: 'held' },
      { usable: false, refused: false, liveness: 'held' }
    ])
  })

  // An endpoint that has ended closes its connections, or refuses further ones while it is listed.
  it('is broken on any route when the endpoint\'s process is known to have ended', () => {
    const ended = CASES.filter(({ usable, refused, liveness }) => liveness === 'ended' || (usable && refused))
    expect(ended.filter(isWholeAt)).toEqual([])
  })
})
