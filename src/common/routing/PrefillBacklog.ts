/** Prompt tokens that engines were given to read and have not read yet, as far as one instance gave them out. */

interface Backlog {
  readonly tokens: number
  readonly at: number
}

export class PrefillBacklog {
  readonly #tokensPerMs: number
  readonly #byEndpoint = new Map<number, Backlog>()

  /** @param tokensPerMs prompt tokens that an engine reads. */
  constructor (tokensPerMs: number) {
    this.#tokensPerMs = tokensPerMs
  }

  /** Time that the engine needs to read what it was given. */
  remainingMs (endpoint: number, now: number): number {
    const backlog = this.#byEndpoint.get(endpoint)
    if (backlog === undefined) return 0
    const left = backlog.tokens / this.#tokensPerMs - (now - backlog.at)
    if (left > 0) return left
    this.#byEndpoint.delete(endpoint)
    return 0
  }

  add (endpoint: number, tokens: number, now: number): void {
    const left = this.remainingMs(endpoint, now) * this.#tokensPerMs
    this.#byEndpoint.set(endpoint, { tokens: left + tokens, at: now })
  }
}
