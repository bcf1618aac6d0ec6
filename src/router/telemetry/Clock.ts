/** System clock. */
import type { IClock } from '../../common/Services.js'

/** Monotonic time, and wall time that is read once at the start, so that clock adjustments do not make it jump; both in ms. */
export class SystemClock implements IClock {
  readonly #wallAtStart = Date.now() - performance.now()

  nowMs (): number {
    return performance.now()
  }

  wallMs (): number {
    return this.#wallAtStart + performance.now()
  }
}
