import { pino } from 'pino'
import { describe, expect, it } from 'vitest'
import { FakeClock } from '../common/TestUtils.test.js'
import { RequestLog } from './RequestLog.js'

describe('RequestLog', () => {
  it('limits the rate of its lines and logs how many it omitted', () => {
    const lines: Array<Record<string, unknown>> = []
    const clock = new FakeClock()
    const log = new RequestLog(pino({ base: null, timestamp: false }, { write: text => { lines.push(JSON.parse(text) as Record<string, unknown>) } }), clock)
    const refuse = (): void => log.refused({ step: 'admit', requestId: 'r', host: 'h', path: '/', code: 'route_not_found', detail: 'configuration 3', status: 404 })
    for (let i = 0; i < 1_000; i++) refuse()
    const written = lines.length
    clock.advance(100)
    refuse()
    expect([written, lines[written]]).toMatchInlineSnapshot(`
      [
        200,
        {
          "code": "route_not_found",
          "detail": "configuration 3",
          "host": "h",
          "level": 30,
          "msg": "refused",
          "omittedLines": 800,
          "path": "/",
          "requestId": "r",
          "status": 404,
          "step": "admit",
        },
      ]
    `)
  })
})
