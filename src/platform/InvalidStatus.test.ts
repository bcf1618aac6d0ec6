/** End-to-end tests on loopback of answers whose status isn't one of a final answer. */
import { afterEach, describe, expect, it } from 'vitest'
import { call, createConfig, startRawSite, type TestSite } from './TestUtils.test.js'

const STATUSES = ['000', '0', '00', '001', '099', '100', '102', '103', '199', '600', '601', '700', '999', '-200', '2000', 'abc']
const TIMEOUT_MS = 300 // after an interim status the gateway waits for the final one

let site: TestSite

afterEach(() => site.stop())

/** Starts a site whose only worker answers with this status; `more` are further header lines. */
async function startWorker (status: () => string, more: string): Promise<string[]> {
  const runs: string[] = []
  const config = createConfig(7) as { readonly routes: readonly object[] }
  const routes = config.routes.map(route => ({ ...route, max_attempts: 1, timeout_ms: TIMEOUT_MS }))
  site = await startRawSite(1, ({ id, socket }) => {
    runs.push(id)
    socket.write(`HTTP/1.1 ${status()} Odd\r\nAttempt-Id: ${id}\r\nServer-Signature: s\r\n${more}Content-Length: 2\r\n\r\nok`)
  }, { config: { ...config, routes } })
  return runs
}

// A failing endpoint's answer of status 000 was passed on to the caller; a status without a meaning says nothing of the request.
describe('an answer with a status outside of 200 to 599', () => {
  it.each([
    ['calls', '/write/1', ''],
    ['calls that may be repeated', '/read/1', ''],
    ['streams', '/stream/1', 'Content-Type: text/event-stream\r\n'],
    ['calls that it claims not to have run', '/write/1', 'Not-Executed: 1\r\n'],
    ['calls on a connection that it closes', '/write/1', 'Connection: close\r\n']
  ])('is reported as lost for %s', async (_, path, more) => {
    let status = ''
    const runs = await startWorker(() => status, more)
    const odd = []
    for (status of STATUSES) {
      const answer = await call(site.port, path)
      if (![502, 504].includes(answer.status) || answer.body === 'ok') odd.push([status, answer.status, answer.body])
    }
    expect([odd, runs.length]).toEqual([[], STATUSES.length])
  })

  it('is followed by another attempt where the route allows one', async () => {
    let attempts = 0
    site = await startRawSite(2, ({ id, socket }) => {
      const status = attempts++ === 0 ? '000' : '200'
      socket.write(`HTTP/1.1 ${status} Odd\r\nAttempt-Id: ${id}\r\nServer-Signature: s\r\nContent-Length: 2\r\n\r\nok`)
    })
    const answer = await call(site.port, '/read/1')
    expect([answer.status, answer.body, attempts]).toEqual([200, 'ok', 2])
  })
})
