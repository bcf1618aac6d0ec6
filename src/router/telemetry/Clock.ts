/** System clock. */
import type { IClock } from '../../common/Services.js'

/** Times in ms. The wall time is the start time plus the monotonic time, so that clock adjustments do not make it jump. */
export class SystemClock implements IClock {
  readonly #wallAtStart = Date.now() - performance.now()

  nowMs (): number {
    return performance.now()
  }

  wallMs (): number {
    return this.#wallAtStart + performance.now()
  }
}
