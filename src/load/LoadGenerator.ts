/** Generates returning chats and service calls with unique ids against a fleet for a given time, and counts their outcomes. */
import { Agent } from 'undici'
import type { ChatRequest } from '../common/generated/ChatRequest.js'
import { SeededRandom } from '../common/SeededRandom.js'
import { Balancer } from './Balancer.js'
import { ChatCaller } from './ChatCaller.js'
import { createIdempotencyKey, ServiceCaller } from './ServiceCaller.js'
import type { CallResult, StreamInterruption } from './Types.js'

const FAILED_TURN_DELAY_MS = 300

/** Client account that sends requests. */
export interface LoadAccount {
  readonly id: string
  readonly key: string
  /** Share of the requests, relative to the other accounts. */
  readonly weight: number
}

/** Parameters of a load run. */
export interface LoadPlan {
  readonly entries: readonly string[]
  readonly accounts: readonly LoadAccount[]
  readonly model: string
  readonly service: string
  readonly path: string
  readonly chats: number
  readonly callers: number
  readonly seconds: number
  readonly seed: number
  /** Mean pause between two turns of a chat; callers of the service pause half as long between calls. */
  readonly pauseMs: number
  readonly promptChars: number
  readonly answerTokens: number
}

/** Results of a load run. */
export interface LoadCounts {
  requests: number
  answered: number
  notRun: number
  outcomeUnknown: number
  wrongAnswers: number
  /** Chats that failed after part of the answer had arrived. */
  cutStreams: number
  /** Answers that were completed through another entry after a connection had broken. */
  resumed: number
  /** Outcome of each service call by its id. */
  readonly calls: Map<string, 'answered' | 'not-run' | 'outcome-unknown'>
  readonly firstTokenMs: number[]
  readonly failures: string[]
  readonly cuts: StreamInterruption[]
}

interface Chat {
  readonly id: string
  readonly account: LoadAccount
  messages: ChatRequest['messages']
  turn: number
}

/** Runs the chats and service calls of a load plan concurrently. */
export class LoadGenerator {
  readonly #plan: LoadPlan
  readonly #random: SeededRandom
  readonly #agent = new Agent({ connections: null, pipelining: 1, connect: { timeout: 1_000 } })
  readonly #balancer: Balancer
  readonly counts: LoadCounts = {
    requests: 0,
    answered: 0,
    notRun: 0,
    outcomeUnknown: 0,
    wrongAnswers: 0,
    cutStreams: 0,
    resumed: 0,
    calls: new Map(),
    firstTokenMs: [],
    failures: [],
    cuts: []
  }

  #stopped = false
  #nextCall = 0

  constructor (plan: LoadPlan) {
    this.#plan = plan
    this.#random = new SeededRandom(plan.seed)
    this.#balancer = new Balancer(plan.entries, this.#random, this.#agent)
  }

  /** Runs until the time has elapsed and every request has finished. */
  async run (): Promise<LoadCounts> {
    await this.#balancer.check()
    const endAt = performance.now() + this.#plan.seconds * 1000
    const chats = Array.from({ length: this.#plan.chats }, (_, i) => this.#runChatLoop(i, endAt))
    const callers = Array.from({ length: this.#plan.callers }, () => this.#runCallLoop(endAt))
    await Promise.all([...chats, ...callers])
    this.#balancer.dispose()
    await this.#agent.destroy()
    return this.counts
  }

  /** Stops sending new requests; those in flight are finished. */
  stop (): void {
    this.#stopped = true
  }

  #pickAccount (): LoadAccount {
    const total = this.#plan.accounts.reduce((sum, a) => sum + a.weight, 0)
    let remaining = this.#random.next() * total
    return this.#plan.accounts.find(a => (remaining -= a.weight) < 0) ?? this.#plan.accounts[0]!
  }

  async #runChatLoop (index: number, endAt: number): Promise<void> {
    let chat = this.#newChat(`${this.#plan.seed}-${index}-0`)
    for (let n = 1; performance.now() < endAt && !this.#stopped; n++) {
      await sleep(this.#random.exponential(this.#plan.pauseMs))
      if (performance.now() >= endAt) return
      const ok = await this.#sendTurn(chat)
      if (!ok || chat.turn > 6) chat = this.#newChat(`${this.#plan.seed}-${index}-${n}`)
    }
  }

  #newChat (id: string): Chat {
    const prompt = `${id} ${'stock of beads and wire '.repeat(Math.ceil(this.#plan.promptChars / 24)).slice(0, this.#plan.promptChars)}`
    return { id, account: this.#pickAccount(), messages: [{ role: 'user', content: prompt }], turn: 0 }
  }

  async #sendTurn (chat: Chat): Promise<boolean> {
    const caller = new ChatCaller(this.#agent, this.#balancer, chat.account.key)
    const req: ChatRequest = { model: this.#plan.model, messages: chat.messages, max_tokens: this.#plan.answerTokens, user: `${chat.id}:${chat.turn}` }
    const result = await caller.chat(chat.account.id, req)
    this.#recordResult(result)
    if (result.outcome !== 'answered') {
      await sleep(FAILED_TURN_DELAY_MS)
      return false
    }
    chat.turn++
    chat.messages = [...chat.messages, { role: 'assistant', content: result.text }, { role: 'user', content: `and turn ${chat.turn}?` }]
    return true
  }

  #recordResult (result: CallResult): void {
    this.counts.requests++
    this.counts.cuts.push(...result.cuts)
    if (result.outcome === 'answered') {
      this.counts.answered++
      this.counts.firstTokenMs.push(result.firstTokenMs)
      if (result.cuts.length > 0) this.counts.resumed++
      if (!result.correct) this.counts.wrongAnswers++
    } else {
      if (result.outcome === 'not-run') this.counts.notRun++
      else this.counts.outcomeUnknown++
      if (result.tokens > 0) this.counts.cutStreams++
      this.counts.failures.push(`${result.code}@${result.entry}`)
    }
  }

  async #runCallLoop (endAt: number): Promise<void> {
    while (performance.now() < endAt && !this.#stopped) {
      await sleep(this.#random.exponential(this.#plan.pauseMs / 2))
      await this.#sendServiceCall()
    }
  }

  /**
   * Sends one service call without a key, with a key of the caller or with a ticket. A call with a key is repeated
   * through another entry if it failed, and in 30% of the other cases.
   */
  async #sendServiceCall (): Promise<void> {
    const caller = new ServiceCaller(this.#agent, this.#pickAccount().key)
    const callId = `call-${this.#plan.seed}-${this.#nextCall++}`
    const entry = this.#balancer.pick()
    const keyKind = this.#random.below(3)
    const idempotencyKey = keyKind === 0 ? undefined : keyKind === 1 ? createIdempotencyKey() : await caller.requestTicket(entry)
    const results = [await caller.call(entry, this.#plan.service, this.#plan.path, { callId }, idempotencyKey)]
    if (idempotencyKey !== undefined && (results[0]!.outcome !== 'answered' || this.#random.next() < 0.3)) {
      results.push(await caller.call(this.#balancer.pick(entry), this.#plan.service, this.#plan.path, { callId }, idempotencyKey))
    }
    const outcomes = results.map(r => r.outcome)
    const outcome = outcomes.includes('answered') ? 'answered' : outcomes.includes('outcome-unknown') ? 'outcome-unknown' : 'not-run'
    this.counts.requests++
    this.counts.calls.set(callId, outcome)
    if (outcome === 'answered') this.counts.answered++
    else if (outcome === 'not-run') this.counts.notRun++
    else this.counts.outcomeUnknown++
    if (outcome !== 'answered') this.counts.failures.push(`${results.map(r => r.code).join('+')}@${entry} key kind ${keyKind}`)
  }
}

async function sleep (ms: number): Promise<void> {
  await new Promise(resolve => setTimeout(resolve, ms))
}
