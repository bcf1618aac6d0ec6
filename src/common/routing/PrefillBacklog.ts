/** Estimated prefill backlog of engines: prompt tokens assigned by this instance that the engines have not processed yet. */

interface Backlog {
  readonly tokens: number
  readonly at: number
}

/** Prefill backlogs by hash of the endpoint's id. */
export class PrefillBacklog {
  readonly #tokensPerMs: number
  readonly #byEndpoint = new Map<number, Backlog>()

  /** @param tokensPerMs prefill rate of an engine. */
  constructor (tokensPerMs: number) {
    this.#tokensPerMs = tokensPerMs
  }

  /** Time in ms until the engine has processed its backlog. */
  remainingMs (endpoint: number, now: number): number {
    const backlog = this.#byEndpoint.get(endpoint)
    if (backlog === undefined) return 0
    const left = backlog.tokens / this.#tokensPerMs - (now - backlog.at)
    if (left > 0) return left
    this.#byEndpoint.delete(endpoint)
    return 0
  }

  /** Adds prompt tokens that were assigned to the engine. */
  add (endpoint: number, tokens: number, now: number): void {
    const left = this.remainingMs(endpoint, now) * this.#tokensPerMs
    this.#byEndpoint.set(endpoint, { tokens: left + tokens, at: now })
  }
}
