/** Clock of the process. */
import type { IClock } from '../../common/Services.js'

export class SystemClock implements IClock {
  readonly #wallAtStart = Date.now() - performance.now()

  nowMs (): number {
    return performance.now()
  }

  wallMs (): number {
    return this.#wallAtStart + performance.now()
  }
}
