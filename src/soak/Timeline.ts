/** Records which part of the site was disturbed and when. The checks use it to decide which guarantees apply at a given time. */
import type { Disturbance } from './Types.js'

/** Guarantees with a time limit apply to a gateway that has been undisturbed for this long. */
export const STABLE_PERIOD_MS = 3_000

/** Name of the soak's own process, which may be kept from running. */
export const SOAK_PROCESS = 'soak'

/** List of the disturbances of a run. */
export class Timeline {
  readonly #events: Disturbance[] = []

  get events (): readonly Disturbance[] {
    return this.#events
  }

  /** Records a disturbance that has ended. */
  add (event: Disturbance): void {
    this.#events.push(event)
  }

  /** Time between `from` and `to` in which the soak's own process was kept from running. */
  pausedMs (from: number, to: number): number {
    const pauses = this.#events.filter(e => e.what === SOAK_PROCESS && e.from < to && e.to > from)
    return pauses.reduce((sum, e) => sum + Math.min(to, e.to) - Math.max(from, e.from), 0)
  }

  /** Records a disturbance that starts now; the caller sets `to` when it ends. */
  begin (kind: string, what: string): Disturbance {
    const event = { kind, what, from: performance.now(), to: Infinity }
    this.#events.push(event)
    return event
  }

  /** Records a disturbance of each of `what` for the duration of `action`. */
  async during (kind: string, what: readonly string[], action: () => Promise<void>): Promise<void> {
    const events = what.map(w => this.begin(kind, w))
    await action()
    for (const event of events) event.to = performance.now()
  }

  /** True when none of `what` was disturbed between `from` and `to`. @param ignoredKinds kinds of disturbances that are ignored. */
  isUndisturbed (what: readonly string[], from: number, to: number, ignoredKinds: readonly string[] = []): boolean {
    return !this.#events.some(e => what.includes(e.what) && !ignoredKinds.includes(e.kind) && e.from <= to && e.to >= from)
  }

  /** True when neither the gateway nor the store was disturbed during the stable period before `at`. */
  isConnectedToStore (gateway: string, at: number): boolean {
    return this.isUndisturbed([gateway, 'store'], at - STABLE_PERIOD_MS, at)
  }
}
