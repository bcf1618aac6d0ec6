/** 32-bit hashes for placement; not for security. */

/** Murmur3 finaliser: spreads every input bit over the output. */
export function mix32 (h: number): number {
  h ^= h >>> 16
  h = Math.imul(h, 0x85ebca6b)
  h ^= h >>> 13
  h = Math.imul(h, 0xc2b2ae35)
  return (h ^ (h >>> 16)) >>> 0
}

/** Hash of a string over UTF-16 code units, finalised. */
export function hashString (text: string, seed = 0): number {
  let h = (0x811c9dc5 ^ seed) >>> 0
  for (let i = 0; i < text.length; i++) {
    h = Math.imul(h ^ text.charCodeAt(i), 0x01000193)
  }
  return mix32(h)
}

/** Hash of two hashes; not symmetric. */
export function combine (a: number, b: number): number {
  return mix32((Math.imul(a, 0x9e3779b1) ^ b) >>> 0)
}

/** Writes `combine(a, b)` for each of `hashes` to `out`. Written out in one loop, as calls cost more than the arithmetic where code isn't optimised. */
export function combineAll (a: number, hashes: Uint32Array, out: Uint32Array): void {
  const imul = Math.imul
  const left = imul(a, 0x9e3779b1)
  for (let i = 0; i < hashes.length; i++) {
    let h = left ^ hashes[i]!
    h = imul(h ^ (h >>> 16), 0x85ebca6b)
    h = imul(h ^ (h >>> 13), 0xc2b2ae35)
    out[i] = h ^ (h >>> 16)
  }
}

/** Order-independent digest of a set of strings. */
export function digestOfSet (items: Iterable<string>): number {
  let sum = 0
  for (const item of items) sum = (sum + hashString(item, 0x5bd1e995)) >>> 0
  return sum
}
