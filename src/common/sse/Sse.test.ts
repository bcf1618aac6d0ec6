import fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import { ChatAssembler } from './ChatAssembler.js'
import { SseFramer } from './SseFramer.js'

const encoder = new TextEncoder()
const RUNS = { seed: 3, numRuns: 300 }

function eventsOf (tokens: readonly string[]): string {
  const chunks = tokens.map((content, i) => `id: ${i + 1}\ndata: ${JSON.stringify({ id: 'x', model: 'm', created: 1, choices: [{ index: 0, delta: { content }, finish_reason: null }] })}\n\n`)
  const end = `id: ${tokens.length + 1}\ndata: ${JSON.stringify({ choices: [{ index: 0, delta: {}, finish_reason: 'stop' }], usage: { total_tokens: tokens.length } })}\n\n`
  return `${chunks.join('')}${end}id: ${tokens.length + 2}\ndata: [DONE]\n\n`
}

/** Splits bytes at the given offsets. */
function cut (bytes: Uint8Array, cuts: readonly number[]): Uint8Array[] {
  const at = [0, ...cuts.map(c => c % (bytes.length + 1)).sort((a, b) => a - b), bytes.length]
  return at.slice(1).map((end, i) => bytes.subarray(at[i]!, end))
}

describe('SseFramer', () => {
  it('outputs the same bytes and counts the same events, however the input is split', () => {
    fc.assert(fc.property(fc.array(fc.string({ maxLength: 8 }), { maxLength: 12 }), fc.array(fc.nat(), { maxLength: 20 }), (tokens, cuts) => {
      const bytes = encoder.encode(eventsOf(tokens))
      const framer = new SseFramer()
      const frames = cut(bytes, cuts).map(chunk => framer.push(chunk))
      expect(Buffer.concat(frames.map(f => f.bytes)).equals(Buffer.from(bytes))).toBe(true)
      expect(frames.reduce((sum, f) => sum + f.events, 0)).toBe(tokens.length + 2)
      expect(frames.some(f => f.done)).toBe(true)
      expect(framer.pendingBytes).toBe(0)
    }), RUNS)
  })

  // Of such streams no event was passed on, and at its end the stream counted as broken off; so did one with one empty line too many.
  it.each([['CR LF', '\r\n'], ['CR', '\r'], ['LF', '\n']])('recognises events whose lines end with %s, however the input is split', (_name, lineEnd) => {
    const text = ['id: 1', 'data: a', '', 'id: 2', 'data: b', '', ''].join(lineEnd) + lineEnd
    const bytes = encoder.encode(text)
    for (let at = 0; at <= bytes.length; at++) {
      const framer = new SseFramer()
      const frames = [framer.push(bytes.subarray(0, at)), framer.push(bytes.subarray(at))]
      const output = frames.map(f => new TextDecoder().decode(f.bytes)).join('')
      expect([at, output, frames[0]!.events + frames[1]!.events, framer.pendingBytes]).toEqual([at, text, 2, 0])
    }
  })

  it('keeps an event that lacks its empty line', () => {
    const pending = ['data: a\r', 'data: a\n', 'data: a\r\n', 'data: a'].map(text => {
      const framer = new SseFramer()
      return [framer.push(encoder.encode(text)).events, framer.pendingBytes]
    })
    expect(pending).toEqual([[0, 8], [0, 8], [0, 9], [0, 7]])
  })

  it('detects the end marker when it is split over several chunks', () => {
    const framer = new SseFramer()
    expect(framer.push(encoder.encode('id: 9\ndata: [DO')).done).toBe(false)
    expect(framer.push(encoder.encode('NE]\n')).done).toBe(false)
    expect(framer.push(encoder.encode('\n')).done).toBe(true)
  })

  it('never ends inside an event, so that a resumed stream has no gap and no duplicate', () => {
    fc.assert(fc.property(fc.array(fc.string({ maxLength: 8 }), { minLength: 1, maxLength: 12 }), fc.nat(), (tokens, at) => {
      const text = eventsOf(tokens)
      const bytes = encoder.encode(text)
      const framer = new SseFramer()
      const first = framer.push(bytes.subarray(0, at % bytes.length))
      framer.reset()
      const rest = text.split('\n\n').slice(first.events).join('\n\n')
      const second = framer.push(encoder.encode(rest))
      expect(Buffer.concat([first.bytes, second.bytes]).toString()).toBe(text)
    }), RUNS)
  })
})

describe('ChatAssembler', () => {
  it('assembles the complete answer', () => {
    fc.assert(fc.property(fc.array(fc.string(), { maxLength: 12 }), tokens => {
      const assembler = new ChatAssembler()
      expect(assembler.push(encoder.encode(eventsOf(tokens)))).toBe(true)
      expect(assembler.toCompletion('id')).toMatchObject({ object: 'chat.completion', choices: [{ message: { role: 'assistant', content: tokens.join('') }, finish_reason: 'stop' }] })
    }), RUNS)
  })

  it('returns no answer before the end, and rejects data that is not JSON', () => {
    const assembler = new ChatAssembler()
    assembler.push(encoder.encode('data: {"choices":[{"index":0,"delta":{"content":"a"},"finish_reason":null}]}\n\n'))
    expect(assembler.toCompletion('id')).toBeUndefined()
    expect(assembler.push(encoder.encode('data: <html>\n\n'))).toBe(false)
  })

  it('joins tool calls by index', () => {
    const assembler = new ChatAssembler()
    const delta = (d: object, finish: string | null = null): string => `data: ${JSON.stringify({ choices: [{ index: 0, delta: d, finish_reason: finish }] })}\n\n`
    assembler.push(encoder.encode(delta({ tool_calls: [{ index: 0, id: 'c1', function: { name: 'stock', arguments: '{"a"' } }] }) + delta({ tool_calls: [{ index: 0, function: { arguments: ':1}' } }] }, 'tool_calls')))
    expect(assembler.toCompletion('id')).toMatchObject({ choices: [{ message: { tool_calls: [{ id: 'c1', function: { name: 'stock', arguments: '{"a":1}' } }] } }] })
  })
})
