import { describe, expect, it } from 'vitest'
import { ERROR_CODES, errorBody, outcomeOf, routeError, type ErrorCode } from './Errors.js'

describe('errors', () => {
  it('define the status and the outcome of every code', () => {
    const table = Object.entries(ERROR_CODES).map(([code, info]) => `${info.outcome} ${info.status} ${code}`)
    expect(table.sort()).toMatchInlineSnapshot(`
      [
        "not-run 400 invalid_request",
        "not-run 401 invalid_api_key",
        "not-run 404 model_not_found",
        "not-run 404 route_not_found",
        "not-run 404 service_not_found",
        "not-run 405 method_not_allowed",
        "not-run 408 deadline_passed",
        "not-run 413 body_too_large",
        "not-run 422 key_conflict",
        "not-run 429 rate_limited",
        "not-run 431 headers_too_large",
        "not-run 503 connections_full",
        "not-run 503 endpoint_refused",
        "not-run 503 evacuated",
        "not-run 503 limit_reached",
        "not-run 503 memory_full",
        "not-run 503 no_endpoint",
        "not-run 503 not_ready",
        "not-run 503 overloaded",
        "not-run 503 peer_unreachable",
        "not-run 503 placement_declined",
        "not-run 503 prompt_blocked",
        "not-run 503 stale_configuration",
        "not-run 503 stopping",
        "outcome-unknown 404 stream_not_found",
        "outcome-unknown 409 owner_cannot_vouch",
        "outcome-unknown 409 ticket_lost",
        "outcome-unknown 500 internal",
        "outcome-unknown 502 bad_endpoint_answer",
        "outcome-unknown 502 response_lost",
        "outcome-unknown 504 timed_out",
      ]
    `)
  })

  it('have the format of the chat-completions API', () => {
    for (const code of Object.keys(ERROR_CODES) as ErrorCode[]) {
      const body = errorBody(routeError(code, 'place', '10.0.0.9:1', 'a detail'))
      expect(body.error).toMatchObject({ code, param: null, outcome: outcomeOf(routeError(code, 'place', 'p')) })
      expect(JSON.stringify(body)).not.toContain('10.0.0.9')
    }
  })

  it('hide details of internal steps from callers', () => {
    expect(errorBody(routeError('response_lost', 'dispatch', 'e1', 'ECONNRESET 10.0.0.9')).error.message).not.toContain('ECONNRESET')
  })
})
