/** Prefix cache of an engine: prompt segments in bounded memory with LRU eviction. */

/** One message of a prompt: hash of the prompt up to the end of the message, and the number of tokens of the message. */
export interface PromptSegment {
  readonly hash: number
  readonly tokens: number
}

/** LRU cache of prompt segments, bounded by their number of tokens. */
export class PrefixCache {
  readonly #capacity: number
  readonly #segments = new Map<number, number>() // tokens by hash, least recently used first
  #tokens = 0

  /** @param capacity maximum number of cached tokens. */
  constructor (capacity: number) {
    this.#capacity = capacity
  }

  get tokens (): number {
    return this.#tokens
  }

  /** Tokens of the longest cached prefix; does not mark it as used. */
  peek (prompt: readonly PromptSegment[]): number {
    let cached = 0
    for (const segment of prompt) {
      if (!this.#segments.has(segment.hash)) break
      cached += segment.tokens
    }
    return cached
  }

  /** Tokens of the longest cached prefix; marks its segments as used. */
  lookUp (prompt: readonly PromptSegment[]): number {
    let cached = 0
    for (const segment of prompt) {
      if (!this.#segments.has(segment.hash)) break
      this.#touch(segment)
      cached += segment.tokens
    }
    return cached
  }

  /** Caches a prompt; returns the hashes of the evicted segments. */
  insert (prompt: readonly PromptSegment[]): number[] {
    for (const segment of prompt) {
      if (this.#segments.has(segment.hash)) this.#touch(segment)
      else this.#add(segment)
    }
    const evicted: number[] = []
    for (const [hash, tokens] of this.#segments) {
      if (this.#tokens <= this.#capacity) break
      this.#segments.delete(hash)
      this.#tokens -= tokens
      evicted.push(hash)
    }
    return evicted
  }

  #touch (segment: PromptSegment): void {
    const tokens = this.#segments.get(segment.hash) ?? segment.tokens
    this.#segments.delete(segment.hash)
    this.#segments.set(segment.hash, tokens)
  }

  #add (segment: PromptSegment): void {
    this.#segments.set(segment.hash, segment.tokens)
    this.#tokens += segment.tokens
  }
}
