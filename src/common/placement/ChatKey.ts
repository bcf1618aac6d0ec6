/** Placement key of a chat: its explicit id, else the model and the messages up to the first user message; scoped to the account. */
import type { ChatRequest } from '../generated/ChatRequest.js'
import { hashString } from '../Hash.js'

const CHARS_PER_TOKEN = 4
const DEFAULT_ANSWER_TOKENS = 256 // expected length of an answer without a limit from the caller

/** Properties of a request that placement uses. */
export interface ChatPlacement {
  /** Hash of the key, by which engines are ranked. */
  readonly keyHash: number
  /** Second hash of the key, so that a collision of `keyHash` alone does not prevent prefix reuse. */
  readonly tag: number
  readonly promptTokens: number
  readonly answerTokens: number
  /** True when the prompt contains an earlier answer, so that an engine may hold its prefix. */
  readonly returning: boolean
}

/** Text of a message's content, for hashing and counting tokens; content other than a string is serialised to JSON. */
export function contentText (content: unknown): string {
  if (typeof content === 'string') return content
  return content === undefined || content === null ? '' : JSON.stringify(content)
}

/** Estimated number of tokens in a text. */
export function estimateTokens (text: string): number {
  return Math.ceil(text.length / CHARS_PER_TOKEN)
}

function keyText (account: string, req: ChatRequest, chatId: string | undefined): string {
  if (chatId !== undefined) return `${account}\n#${chatId}`
  const end = req.messages.findIndex(m => m.role === 'user')
  const opening = req.messages.slice(0, end < 0 ? 1 : end + 1)
  return `${account}\n${req.model}\n${opening.map(m => `${m.role}:${contentText(m.content)}`).join('\n')}`
}

/** Derives the placement properties of a request. */
export function placementOf (account: string, req: ChatRequest, chatId: string | undefined): ChatPlacement {
  const key = keyText(account, req, chatId)
  const promptTokens = req.messages.reduce((sum, m) => sum + estimateTokens(contentText(m.content)), 0)
  return {
    keyHash: hashString(key),
    tag: hashString(key, 0x3c6ef372),
    promptTokens,
    answerTokens: req.max_completion_tokens ?? req.max_tokens ?? DEFAULT_ANSWER_TOKENS,
    returning: req.messages.some(m => m.role === 'assistant')
  }
}
