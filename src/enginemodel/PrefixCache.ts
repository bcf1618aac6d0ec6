/** Prefix cache of an engine: pieces of prompts in limited memory, the least recently used evicted first. */

/** One message of a prompt: hash of everything up to its end, and its own tokens. */
export interface PromptPiece {
  readonly hash: number
  readonly tokens: number
}

export class PrefixCache {
  readonly #capacity: number
  readonly #pieces = new Map<number, number>() // insertion order is the order of use
  #tokens = 0

  /** @param capacity tokens held at most. */
  constructor (capacity: number) {
    this.#capacity = capacity
  }

  get tokens (): number {
    return this.#tokens
  }

  /** Tokens of the longest held prefix, without marking it as used. */
  peek (prompt: readonly PromptPiece[]): number {
    let cached = 0
    for (const piece of prompt) {
      if (!this.#pieces.has(piece.hash)) break
      cached += piece.tokens
    }
    return cached
  }

  /** Tokens of the longest held prefix; marks its pieces as used. */
  lookUp (prompt: readonly PromptPiece[]): number {
    let cached = 0
    for (const piece of prompt) {
      if (!this.#pieces.has(piece.hash)) break
      this.#touch(piece)
      cached += piece.tokens
    }
    return cached
  }

  /** Holds a prompt; returns the hashes that had to go. */
  insert (prompt: readonly PromptPiece[]): number[] {
    for (const piece of prompt) {
      if (this.#pieces.has(piece.hash)) this.#touch(piece)
      else this.#add(piece)
    }
    const evicted: number[] = []
    for (const [hash, tokens] of this.#pieces) {
      if (this.#tokens <= this.#capacity) break
      this.#pieces.delete(hash)
      this.#tokens -= tokens
      evicted.push(hash)
    }
    return evicted
  }

  #touch (piece: PromptPiece): void {
    const tokens = this.#pieces.get(piece.hash) ?? piece.tokens
    this.#pieces.delete(piece.hash)
    this.#pieces.set(piece.hash, tokens)
  }

  #add (piece: PromptPiece): void {
    this.#pieces.set(piece.hash, piece.tokens)
    this.#tokens += piece.tokens
  }
}
