import { describe, expect, it } from 'vitest'
import { framingOf, type AnswerHead } from './AnswerFraming.js'

const head: AnswerHead = { method: 'GET', status: 200, contentLength: undefined, transferEncoding: undefined }

describe('framingOf', () => {
  it('is a length, chunks, or nothing but the end of the connection', () => {
    expect([
      framingOf({ ...head, contentLength: '5' }),
      framingOf({ ...head, transferEncoding: 'chunked' }),
      framingOf({ ...head, transferEncoding: 'gzip, Chunked ' }),
      framingOf(head),
      framingOf({ ...head, transferEncoding: 'gzip' }),
      framingOf({ ...head, transferEncoding: 'identity', contentLength: '5' })
    ]).toEqual(['length', 'chunked', 'chunked', 'connection', 'connection', 'connection'])
  })

  it('needs no mark for an answer without a body', () => {
    expect([framingOf({ ...head, method: 'HEAD' }), framingOf({ ...head, status: 204 }), framingOf({ ...head, status: 304 })]).toEqual(['length', 'length', 'length'])
  })
})
