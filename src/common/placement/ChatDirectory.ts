/**
 * Maps chats to the engines that hold their prefixes. A set-associative table in typed arrays: 20 bytes a slot, no
 * allocation on lookup, replacement of the least recently used slot of a set.
 */

const WAYS = 8 // slots of a set

/** Where the prefix of a chat was last placed. */
export interface ChatEntry {
  /** Hash of the endpoint's id. */
  readonly endpoint: number
  /** Tokens of the prefix that the engine is expected to hold. */
  readonly tokens: number
}

/** Table of the most recently used chats. */
export class ChatDirectory {
  readonly #sets: number
  readonly #keys: Uint32Array
  readonly #tags: Uint32Array
  readonly #endpoints: Uint32Array
  readonly #tokens: Uint32Array
  readonly #lastUsed: Uint32Array
  #clock = 1
  #size = 0

  /** @param capacity maximum number of chats; rounded up to whole sets. */
  constructor (capacity: number) {
    this.#sets = Math.max(1, Math.ceil(capacity / WAYS))
    const slots = this.#sets * WAYS
    this.#keys = new Uint32Array(slots)
    this.#tags = new Uint32Array(slots)
    this.#endpoints = new Uint32Array(slots)
    this.#tokens = new Uint32Array(slots)
    this.#lastUsed = new Uint32Array(slots) // 0 marks a free slot
  }

  /** Number of chats in the directory. */
  get size (): number {
    return this.#size
  }

  /** Size of the table in bytes. */
  get bytes (): number {
    return this.#sets * WAYS * 20
  }

  get (keyHash: number, tag: number): ChatEntry | undefined {
    const slot = this.#find(keyHash, tag)
    if (slot < 0) return undefined
    this.#lastUsed[slot] = this.#clock++
    return { endpoint: this.#endpoints[slot]!, tokens: this.#tokens[slot]! }
  }

  set (keyHash: number, tag: number, endpoint: number, tokens: number): void {
    let slot = this.#find(keyHash, tag)
    if (slot < 0) slot = this.#victim(keyHash)
    this.#keys[slot] = keyHash
    this.#tags[slot] = tag
    this.#endpoints[slot] = endpoint
    this.#tokens[slot] = tokens
    this.#lastUsed[slot] = this.#clock++
  }

  delete (keyHash: number, tag: number): void {
    const slot = this.#find(keyHash, tag)
    if (slot < 0) return
    this.#lastUsed[slot] = 0
    this.#size--
  }

  #find (keyHash: number, tag: number): number {
    const start = (keyHash % this.#sets) * WAYS
    for (let slot = start; slot < start + WAYS; slot++) {
      if (this.#lastUsed[slot] !== 0 && this.#keys[slot] === keyHash && this.#tags[slot] === tag) return slot
    }
    return -1
  }

  /** A free slot of the set, else its least recently used one. */
  #victim (keyHash: number): number {
    const start = (keyHash % this.#sets) * WAYS
    let oldest = start
    for (let slot = start; slot < start + WAYS; slot++) {
      if (this.#lastUsed[slot]! < this.#lastUsed[oldest]!) oldest = slot
    }
    if (this.#lastUsed[oldest] === 0) this.#size++
    return oldest
  }
}
