/** What was done to which part of the site and when: decides which promises are in force at a moment. */
import type { Disturbance } from './Types.js'

export const STABLE_PERIOD_MS = 3_000 // a gateway undisturbed for this long keeps the promises that have a time

export class Timeline {
  readonly #events: Disturbance[] = []

  get events (): readonly Disturbance[] {
    return this.#events
  }

  /** Notes a disturbance that begins now; its end is set when it is over. */
  begin (kind: string, what: string): Disturbance {
    const event = { kind, what, from: performance.now(), to: Infinity }
    this.#events.push(event)
    return event
  }

  /** Notes a disturbance while `act` runs. */
  async during (kind: string, what: readonly string[], action: () => Promise<void>): Promise<void> {
    const events = what.map(w => this.begin(kind, w))
    await action()
    for (const event of events) event.to = performance.now()
  }

  /** True when nothing was done to any of `what` from `from` to `to`. @param ignoredKinds kinds that don't count. */
  isUndisturbed (what: readonly string[], from: number, to: number, ignoredKinds: readonly string[] = []): boolean {
    return !this.#events.some(e => what.includes(e.what) && !ignoredKinds.includes(e.kind) && e.from <= to && e.to >= from)
  }

  /** True when the gateway kept in touch with a stable store before `at`. */
  isConnectedToStore (gateway: string, at: number): boolean {
    return this.isUndisturbed([gateway, 'store'], at - STABLE_PERIOD_MS, at)
  }
}
