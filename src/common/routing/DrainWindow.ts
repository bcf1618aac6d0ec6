/**
 * Requests that an instance still accepts while it drains. Callers keep using open connections until the process exits. While the load
 * balancer still sends new ones, every request is accepted. Afterwards none is: its caller loses a round trip by coming back at another
 * instance, but loses the answer when it is broken off, and nothing tells how long an answer will take.
 */

const ACCEPT_MS = 2_500 // the load balancer still sends new connections for about two of its probe intervals
const ACCEPT_FRACTION = 0.5 // of a shorter grace time

/** When an instance began to drain, and the time that it has until its process is killed. */
export interface DrainWindow {
  readonly startedAt: number
  readonly graceMs: number
}

/** Time from the start of a drain until no request is accepted any more. */
export function acceptMs (graceMs: number): number {
  return Math.min(ACCEPT_MS, graceMs * ACCEPT_FRACTION)
}

/** True when a request that was read at `now` is accepted. */
export function acceptsWhileDraining (drain: DrainWindow, now: number): boolean {
  return now - drain.startedAt < acceptMs(drain.graceMs)
}
