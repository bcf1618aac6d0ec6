import { describe, expect, it } from 'vitest'
import { readText } from './BoundedText.js'

/** A body without end; counts the pieces that were read. */
function endlessBody (): { readonly body: AsyncIterable<Uint8Array>, readonly read: () => number } {
  let read = 0
  const body = (async function * () {
    for (;;) {
      read++
      yield new Uint8Array(4)
    }
  })()
  return { body, read: () => read }
}

describe('readText', () => {
  // An answer of the platform or of an engine without end was kept until the process ended.
  it('stops reading a body that is longer than allowed', async () => {
    const { body, read } = endlessBody()
    await expect(readText(body, 100)).rejects.toThrow('more than 100 bytes')
    expect(read()).toBe(26)
  })

  it('decodes a character that is split between two pieces', async () => {
    const bytes = new TextEncoder().encode('añ')
    const body = (async function * () {
      yield bytes.subarray(0, 2)
      yield bytes.subarray(2)
    })()
    expect(await readText(body, 100)).toBe('añ')
  })
})
