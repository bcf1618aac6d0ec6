/** Prefix cache of an engine: pieces of prompts in limited memory, the least recently used evicted first. */

/** One message of a prompt: hash of everything up to its end, and its own tokens. */
export interface PromptSegment {
  readonly hash: number
  readonly tokens: number
}

export class PrefixCache {
  readonly #capacity: number
  readonly #segments = new Map<number, number>() // insertion order is the order of use
  #tokens = 0

  /** @param capacity tokens held at most. */
  constructor (capacity: number) {
    this.#capacity = capacity
  }

  get tokens (): number {
    return this.#tokens
  }

  /** Tokens of the longest held prefix, without marking it as used. */
  peek (prompt: readonly PromptSegment[]): number {
    let cached = 0
    for (const segment of prompt) {
      if (!this.#segments.has(segment.hash)) break
      cached += segment.tokens
    }
    return cached
  }

  /** Tokens of the longest held prefix; marks its pieces as used. */
  lookUp (prompt: readonly PromptSegment[]): number {
    let cached = 0
    for (const segment of prompt) {
      if (!this.#segments.has(segment.hash)) break
      this.#touch(segment)
      cached += segment.tokens
    }
    return cached
  }

  /** Holds a prompt; returns the hashes that had to go. */
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
