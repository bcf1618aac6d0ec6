/** How the end of an HTTP answer is marked: only a marked end tells an answer that is whole from one that was broken off. */

/** By a length, by a last chunk, or by nothing but the end of the connection. */
export type AnswerFraming = 'length' | 'chunked' | 'connection'

/**
 * What a normal end tells of an answer: `whole` when its framing marked the end, `unknown` when the connection alone ended, as it
 * also does when the sender crashes. An answer that contradicts its framing, or whose connection was reset, is broken off.
 */
export type AnswerEnd = 'whole' | 'unknown'

const BODILESS_STATUSES: ReadonlySet<number> = new Set([204, 304])

/** What the framing of an answer follows from; header values as received. */
export interface AnswerHead {
  readonly method: string
  readonly status: number
  readonly contentLength: string | undefined
  readonly transferEncoding: string | undefined
}

/** Framing of an answer. An answer without a body counts as one with a length. */
export function framingOf ({ method, status, contentLength, transferEncoding }: AnswerHead): AnswerFraming {
  if (method === 'HEAD' || BODILESS_STATUSES.has(status)) return 'length'
  if (transferEncoding !== undefined) return /(^|[\s,])chunked\s*$/i.test(transferEncoding) ? 'chunked' : 'connection'
  return contentLength === undefined ? 'connection' : 'length'
}
