/** Continuous batching of an engine on an injected clock: bounded slots, prefill by uncached tokens, decode by token. */
import type { PrefixCache, PromptSegment } from './PrefixCache.js'

const DECODE_TOKENS_PER_PREFILL_TOKEN = 0.08 // decode tokens that one uncached prompt token costs

/** Speeds of an engine. */
export interface BatchSettings {
  readonly slots: number
  readonly prefillTokensPerSec: number
  /** Tokens a second of each running request. */
  readonly decodeTokensPerSec: number
}

/** A request in the engine. */
export interface BatchJob {
  readonly id: string
  /** 9 goes first. */
  readonly priority: number
  readonly prompt: readonly PromptSegment[]
  readonly answerTokens: number
  /** Tokens of the answer that the caller has already; they count as prompt. */
  readonly resumedTokens: number
  /** Called with the number of tokens decoded so far. */
  readonly onTokens: (total: number) => void
  /** Called once prefill is done, with the prompt tokens found in the cache. */
  readonly onPrefilled?: (cachedTokens: number) => void
}

interface RunningJob {
  readonly job: BatchJob
  prefillRemaining: number
  cached: number
  decodeCredit: number
  decoded: number
}

export class BatchModel {
  readonly #settings: BatchSettings
  readonly #cache: PrefixCache
  readonly #running = new Map<string, RunningJob>()
  #queue: BatchJob[] = []

  constructor (settings: BatchSettings, cache: PrefixCache) {
    this.#settings = settings
    this.#cache = cache
  }

  get running (): number {
    return this.#running.size
  }

  get queued (): number {
    return this.#queue.length
  }

  /** Outstanding work in decode tokens. */
  get work (): number {
    let work = 0
    for (const r of this.#running.values()) work += r.prefillRemaining * DECODE_TOKENS_PER_PREFILL_TOKEN + r.job.answerTokens - r.decoded
    for (const job of this.#queue) work += promptTokenCount(job.prompt) * DECODE_TOKENS_PER_PREFILL_TOKEN + job.answerTokens - job.resumedTokens
    return work
  }

  submit (job: BatchJob): void {
    const index = this.#queue.findIndex(q => q.priority < job.priority)
    if (index < 0) this.#queue.push(job)
    else this.#queue.splice(index, 0, job)
  }

  cancel (id: string): boolean {
    const queued = this.#queue.length
    this.#queue = this.#queue.filter(j => j.id !== id)
    return this.#running.delete(id) || this.#queue.length < queued
  }

  /** Advances the batch by `dtMs`. */
  step (dtMs: number): void {
    this.#admit()
    let prefillBudget = this.#settings.prefillTokensPerSec * dtMs / 1000
    for (const r of [...this.#running.values()]) {
      if (r.prefillRemaining > 0) {
        const prefilled = Math.min(prefillBudget, r.prefillRemaining)
        r.prefillRemaining -= prefilled
        prefillBudget -= prefilled
        if (r.prefillRemaining > 0) continue
        r.job.onPrefilled?.(r.cached)
        r.decodeCredit = 1
      } else {
        r.decodeCredit += this.#settings.decodeTokensPerSec * dtMs / 1000
      }
      this.#decode(r)
    }
  }

  #admit (): void {
    while (this.#running.size < this.#settings.slots && this.#queue.length > 0) {
      const job = this.#queue.shift()!
      const cached = this.#cache.lookUp(job.prompt)
      const prefillRemaining = Math.max(1, promptTokenCount(job.prompt) - cached + job.resumedTokens)
      this.#running.set(job.id, { job, prefillRemaining: prefillRemaining, cached, decodeCredit: 0, decoded: job.resumedTokens })
    }
  }

  #decode (r: RunningJob): void {
    const count = Math.max(0, Math.min(Math.floor(r.decodeCredit), r.job.answerTokens - r.decoded))
    r.decodeCredit -= count
    r.decoded += count
    const complete = r.decoded >= r.job.answerTokens // at once for a continued answer that lacks only its end
    if (complete) this.#running.delete(r.job.id)
    if (count > 0 || complete) r.job.onTokens(r.decoded)
  }
}

/** Tokens of a prompt. */
export function promptTokenCount (prompt: readonly PromptSegment[]): number {
  return prompt.reduce((sum, p) => sum + p.tokens, 0)
}
