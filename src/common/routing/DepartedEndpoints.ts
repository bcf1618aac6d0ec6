/** Remembers endpoints that left the list a short while ago, as a platform that is restored from a copy may list them again. */
import { endpointKey, type Endpoint } from './Types.js'

const MEMORY_MS = 30_000 // copies are seconds old

export class DepartedEndpoints {
  /** When each incarnation left, in that order. */
  readonly #leftAt = new Map<string, number>()

  /** Records an endpoint that is gone. */
  add (e: Endpoint, now: number): void {
    const key = endpointKey(e)
    this.#leftAt.delete(key)
    this.#leftAt.set(key, now)
    for (const [oldest, at] of this.#leftAt) {
      if (now - at <= MEMORY_MS) return
      this.#leftAt.delete(oldest)
    }
  }

  /** True when this incarnation of the endpoint left a short while ago. */
  has (e: Endpoint, now: number): boolean {
    const leftAt = this.#leftAt.get(endpointKey(e))
    return leftAt !== undefined && now - leftAt <= MEMORY_MS
  }
}
