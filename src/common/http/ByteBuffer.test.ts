import fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import { ByteBuffer } from './ByteBuffer.js'

const RUNS = { seed: 5, numRuns: 300 }

describe('ByteBuffer', () => {
  it('gives the bytes back in order, however they were split', () => {
    fc.assert(fc.property(fc.array(fc.uint8Array({ maxLength: 3_000 }), { maxLength: 60 }), pieces => {
      const buffer = new ByteBuffer(Infinity)
      for (const piece of pieces) expect(buffer.push(piece)).toBe(true)
      expect(buffer.length).toBe(pieces.reduce((sum, piece) => sum + piece.length, 0))
      expect(Buffer.concat(pieces).equals(buffer.take())).toBe(true)
      expect([buffer.length, buffer.blockCount]).toEqual([0, 0])
    }), RUNS)
  })

  // A list of pieces took a hundred times the bytes of a body that came in pieces of four.
  it('holds a long body in few blocks, however small its pieces are', () => {
    const buffer = new ByteBuffer(Infinity)
    for (let i = 0; i < 250_000; i++) buffer.push(new Uint8Array(4))
    expect([buffer.length, buffer.blockCount]).toMatchInlineSnapshot(`
      [
        1000000,
        22,
      ]
    `)
  })

  it('takes nothing of a piece that would exceed the maximum', () => {
    const buffer = new ByteBuffer(10)
    expect([buffer.push(new Uint8Array(6)), buffer.push(new Uint8Array(5)), buffer.push(new Uint8Array(4)), buffer.length]).toEqual([true, false, true, 10])
  })

  it('does not keep the memory that a piece is a view of', () => {
    const piece = new Uint8Array([1, 2])
    const buffer = new ByteBuffer(10)
    buffer.push(piece)
    piece[0] = 9
    expect([...buffer.take()]).toEqual([1, 2])
  })
})
