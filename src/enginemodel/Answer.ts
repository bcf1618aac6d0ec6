/** Deterministic answers: the text is derived from the request, so that a caller can detect the answer to another request. */
import type { ChatRequest } from '../common/generated/ChatRequest.js'
import { combine, hashString } from '../common/Hash.js'
import { contentText, estimateTokens } from '../common/placement/ChatKey.js'
import type { PromptSegment } from './PrefixCache.js'

const DEFAULT_ANSWER_TOKENS = 64

/** Number of tokens in the answer to a request. */
export function answerLength (req: ChatRequest): number {
  return req.max_completion_tokens ?? req.max_tokens ?? DEFAULT_ANSWER_TOKENS
}

/** Seed of the answer: hash of the whole conversation and the `user` field, which callers set to a unique value. */
export function answerSeed (req: ChatRequest): number {
  const text = req.messages.map(m => contentText(m.content)).join('\n')
  return hashString(`${req.user ?? ''}\n${text}`)
}

/** Token `index` of an answer: three characters and a space. */
export function answerToken (seed: number, index: number): string {
  return `${(combine(seed, index) % 46656).toString(36).padStart(3, 'z')} `
}

/** Complete text of the answer to a request. */
export function answerText (req: ChatRequest): string {
  const seed = answerSeed(req)
  let text = ''
  for (let i = 0; i < answerLength(req); i++) text += answerToken(seed, i)
  return text
}

/** Splits a prompt into one segment per message; each hash covers the prompt up to the end of the message. */
export function promptSegments (req: ChatRequest): PromptSegment[] {
  let hash = hashString(req.model)
  return req.messages.map(m => {
    const text = contentText(m.content)
    hash = combine(hash, hashString(`${m.role}:${text}`))
    return { hash, tokens: Math.max(1, estimateTokens(text)) }
  })
}

/** Segment that an answer appends to its prompt. */
export function answerSegment (prompt: readonly PromptSegment[], text: string): PromptSegment {
  const last = prompt[prompt.length - 1]?.hash ?? 0
  return { hash: combine(last, hashString(`assistant:${text}`)), tokens: Math.max(1, estimateTokens(text)) }
}
