import { describe, expect, it } from 'vitest'
import { PieceJoiner } from './PieceJoiner.js'

const turn = async (): Promise<void> => { await new Promise(resolve => setImmediate(resolve)) }

describe('PieceJoiner', () => {
  // An answer in chunks of four bytes cost a call, a copy of the event so far and three writes for each of them.
  it('passes the pieces of one turn on together and those of another turn by themselves', async () => {
    const passed: string[] = []
    const joiner = new PieceJoiner(bytes => passed.push(Buffer.from(bytes).toString()))
    for (const piece of ['a', 'b', 'c']) joiner.push(Buffer.from(piece))
    await turn()
    joiner.push(Buffer.from('d'))
    await turn()
    expect(passed).toEqual(['abc', 'd'])
  })

  it('passes a single piece on without a copy', async () => {
    const passed: Uint8Array[] = []
    const piece = Buffer.from('a')
    new PieceJoiner(bytes => passed.push(bytes)).push(piece)
    await turn()
    expect(passed[0]).toBe(piece)
  })

  it('passes nothing on twice when it is flushed before the end of the turn', async () => {
    const passed: string[] = []
    const joiner = new PieceJoiner(bytes => passed.push(Buffer.from(bytes).toString()))
    joiner.push(Buffer.from('a'))
    joiner.flush()
    joiner.push(Buffer.from('b'))
    joiner.push(Buffer.from('c'))
    await turn()
    expect(passed).toEqual(['a', 'bc'])
  })
})
