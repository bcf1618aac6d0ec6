/** Seeded trace of returning chats: Zipf-distributed accounts, growing prompts, long and short pauses, bulk and interactive chats, a surge. */
import { readFileSync } from 'node:fs'
import { combine, hashString } from '../common/Hash.js'
import type { ChatPlacement } from '../common/placement/ChatKey.js'
import { SeededRandom } from '../common/SeededRandom.js'
import type { PromptSegment } from '../enginemodel/PrefixCache.js'

/** Parameters of the trace and the simulation, as in experiments/trace.json. */
export interface TraceParameters {
  readonly engines: number
  readonly slots: number
  readonly decodeTokensPerSec: number
  readonly prefillTokensPerSec: number
  readonly cacheTokens: number
  readonly requestsPerSec: number
  readonly chats: number
  readonly accounts: number
  readonly accountZipf: number
  readonly openingTokens: number
  readonly turnTokens: number
  readonly answerTokens: number
  readonly bulkPart: number
  readonly bulkPromptTokens: number
  readonly bulkAnswerTokens: number
  readonly longPausePart: number
  readonly maxTurns: number
  readonly routers: number
  readonly gossipMs: number
  readonly loadLagMs: number
  readonly eventLagMs: number
  readonly eventGap: number
  /** Longest time for which the engine lists of the routers differ. */
  readonly disagreeMs: number
  readonly seconds: number
  readonly warmupSeconds: number
  readonly loadBound: number
  readonly reuseWeight: number
}

/** One request of the trace. */
export interface TraceRequest {
  readonly at: number
  readonly account: number
  readonly placement: ChatPlacement
  readonly prompt: readonly PromptSegment[]
  /** Segment that the answer appends to the prompt. */
  readonly answer: PromptSegment
  readonly priority: number
}

/** Time during which the traffic of one account is multiplied by a factor. */
export interface Surge {
  readonly account: number
  readonly factor: number
  readonly fromMs: number
  readonly toMs: number
}

interface Chat {
  readonly key: string
  readonly account: number
  readonly bulk: boolean
  prompt: PromptSegment[]
  turns: number
  busyUntil: number
}

/** Reads experiments/trace.json. */
export function readParameters (): TraceParameters {
  return JSON.parse(readFileSync(new URL('../../experiments/trace.json', import.meta.url), 'utf8')) as TraceParameters
}

/** Generates the requests of a seed; the same seed yields the same requests. */
export class Trace {
  readonly #parameters: TraceParameters
  readonly #random: SeededRandom
  readonly #chats: Chat[] = []
  readonly #recent: Chat[] = []
  readonly #accountCdf: number[] = []
  #createdChats = 0

  constructor (parameters: TraceParameters, seed: number) {
    this.#parameters = parameters
    this.#random = new SeededRandom(seed)
    let sum = 0
    for (let i = 0; i < parameters.accounts; i++) this.#accountCdf.push(sum += 1 / (i + 1) ** parameters.accountZipf)
    for (let i = 0; i < parameters.chats; i++) this.#chats.push(this.#newChat(this.#pickAccount()))
  }

  /** Yields all requests in order of time. */
  * requests (surge?: Surge): Generator<TraceRequest> {
    const share = surge === undefined ? 0 : this.#shareOf(surge.account)
    let now = 0
    while (now < this.#parameters.seconds * 1000) {
      const surging = surge !== undefined && now >= surge.fromMs && now < surge.toMs
      const rate = this.#parameters.requestsPerSec * (surging ? 1 + share * (surge.factor - 1) : 1)
      now += this.#random.exponential(1000 / rate)
      const fromSurge = surging && this.#random.next() < share * (surge.factor - 1) / (1 + share * (surge.factor - 1))
      const chat = fromSurge ? this.#newChat(surge.account) : this.#pickChat(now)
      if (chat !== undefined) yield this.#nextTurn(chat, now)
    }
  }

  #shareOf (account: number): number {
    const below = account === 0 ? 0 : this.#accountCdf[account - 1]!
    return (this.#accountCdf[account]! - below) / this.#accountCdf.at(-1)!
  }

  #pickAccount (): number {
    const target = this.#random.next() * this.#accountCdf.at(-1)!
    return this.#accountCdf.findIndex(c => c >= target)
  }

  #newChat (account: number): Chat {
    return { key: `chat-${this.#createdChats++}`, account, bulk: this.#random.next() < this.#parameters.bulkPart, prompt: [], turns: 0, busyUntil: 0 }
  }

  /** Picks an idle chat for the next request: mostly one that was active recently, otherwise any. Undefined if none is found. */
  #pickChat (now: number): Chat | undefined {
    for (let attempt = 0; attempt < 8; attempt++) {
      const recent = this.#recent.length > 0 && this.#random.next() > this.#parameters.longPausePart
      const index = recent ? this.#random.below(this.#recent.length) : this.#random.below(this.#chats.length)
      const chat = recent ? this.#recent[index]! : this.#chats[index]!
      if (chat.busyUntil > now) continue
      if (chat.turns < this.#parameters.maxTurns) return chat
      if (recent) this.#recent[index] = this.#chats[this.#random.below(this.#chats.length)]!
      else this.#chats[index] = this.#newChat(this.#pickAccount())
    }
    return undefined
  }

  #nextTurn (chat: Chat, now: number): TraceRequest {
    const p = this.#parameters
    const isFirst = chat.turns === 0
    const userTokens = isFirst ? (chat.bulk ? p.bulkPromptTokens : Math.ceil(this.#random.exponential(p.openingTokens))) : p.turnTokens
    const answerTokens = Math.max(8, Math.ceil(this.#random.exponential(chat.bulk ? p.bulkAnswerTokens : p.answerTokens)))
    const previousHash = chat.prompt.at(-1)?.hash ?? hashString(chat.key)
    const prompt = [...chat.prompt, { hash: combine(previousHash, chat.turns * 2 + 1), tokens: userTokens + 1 }]
    const answer = { hash: combine(prompt.at(-1)!.hash, 7), tokens: answerTokens }
    chat.prompt = [...prompt, answer]
    chat.turns++
    chat.busyUntil = now + answerTokens / p.decodeTokensPerSec * 1000 * 1.5 + 2_000
    if (isFirst && this.#recent.length < p.chats / 4) this.#recent.push(chat)
    return {
      at: now,
      account: chat.account,
      placement: {
        keyHash: hashString(chat.key),
        tag: hashString(chat.key, 9),
        promptTokens: prompt.reduce((sum, piece) => sum + piece.tokens, 0),
        answerTokens,
        returning: !isFirst
      },
      prompt,
      answer,
      priority: chat.bulk ? 2 : 6
    }
  }
}
