/** Key of a chat: an explicit id, else the account and the messages up to the first of the user. */
import type { ChatRequest } from '../generated/ChatRequest.js'
import { hashString } from '../Hash.js'

const CHARS_PER_TOKEN = 4
const DEFAULT_ANSWER_TOKENS = 256 // expected length when the caller sets no limit

/** What placement needs to know of a request. */
export interface ChatPlacement {
  /** Ranks the engines. */
  readonly keyHash: number
  /** Second hash, so that a collision of `keyHash` alone costs no reuse. */
  readonly tag: number
  readonly promptTokens: number
  readonly answerTokens: number
  /** True when the prompt holds an earlier answer, so that some engine may hold its prefix. */
  readonly returning: boolean
}

/** Text of a message's content, for hashing and counting; parts that are not text count by their JSON. */
export function contentText (content: unknown): string {
  if (typeof content === 'string') return content
  return content === undefined || content === null ? '' : JSON.stringify(content)
}

/** Estimated tokens of a text. */
export function estimateTokens (text: string): number {
  return Math.ceil(text.length / CHARS_PER_TOKEN)
}

function keyText (account: string, req: ChatRequest, chatId: string | undefined): string {
  if (chatId !== undefined) return `${account}\n#${chatId}`
  const end = req.messages.findIndex(m => m.role === 'user')
  const opening = req.messages.slice(0, end < 0 ? 1 : end + 1)
  return `${account}\n${req.model}\n${opening.map(m => `${m.role}:${contentText(m.content)}`).join('\n')}`
}

/** Works out the placement data of a request. */
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
