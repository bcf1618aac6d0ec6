/**
 * Longest wait for the next event of a stream that can go on at another endpoint. Designed for endpoints that stall
 * without closing the connection, beside sound ones that are slow: it follows from what the route promises its callers,
 * and leaves the other endpoint as much time as this one had.
 */
import type { Route } from './Types.js'

const MIN_PATIENCE_MS = 2_000 // callers wait at least this long for an event
const PATIENCE_GOALS = 4 // multiples of the latency goal
const PATIENCE_PAUSES = 8 // multiples of the longest pause that is still on time
const ENDPOINT_SHARE = 0.5 // of a caller's patience that one endpoint may use up

/** Time without a new event after which the stream goes on elsewhere. @param timeLeftMs time until the request's deadline. */
export function streamIdleMs (route: Pick<Route, 'latencyGoalMs' | 'eventPauseGoalMs'>, timeLeftMs: number): number {
  const patienceMs = Math.max(MIN_PATIENCE_MS, PATIENCE_GOALS * route.latencyGoalMs, PATIENCE_PAUSES * route.eventPauseGoalMs)
  return ENDPOINT_SHARE * Math.min(patienceMs, Math.max(0, timeLeftMs))
}
