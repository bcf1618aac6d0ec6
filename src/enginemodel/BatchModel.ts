/** Model of an engine's continuous batching on an external clock: bounded slots, prefill of uncached prompt tokens, decoding by token. */
import type { PrefixCache, PromptSegment } from './PrefixCache.js'

const DECODE_TOKENS_PER_PREFILL_TOKEN = 0.08 // cost of prefilling one uncached prompt token

/** Capacity and speeds of an engine. */
export interface BatchSettings {
  readonly slots: number
  readonly prefillTokensPerSec: number
  /** Rate of each running request. */
  readonly decodeTokensPerSec: number
}

/** A request to the engine. */
export interface BatchJob {
  readonly id: string
  /** Higher values are served first; 9 is the highest. */
  readonly priority: number
  readonly prompt: readonly PromptSegment[]
  readonly answerTokens: number
  /** Answer tokens that the caller already has; they are prefilled like prompt tokens. */
  readonly resumedTokens: number
  /** Called with the number of answer tokens so far, including those that the caller already had. */
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

/** Batch and queue of one engine; the queue is ordered by priority, then by arrival. */
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

  /** Remaining work of the running and queued requests, in decode tokens. */
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

  /** Removes a request; returns false if it is neither queued nor running. */
  cancel (id: string): boolean {
    const queued = this.#queue.length
    this.#queue = this.#queue.filter(j => j.id !== id)
    return this.#running.delete(id) || this.#queue.length < queued
  }

  /** Advances the model by `dtMs` milliseconds. */
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
      this.#running.set(job.id, { job, prefillRemaining, cached, decodeCredit: 0, decoded: job.resumedTokens })
    }
  }

  #decode (r: RunningJob): void {
    const count = Math.max(0, Math.min(Math.floor(r.decodeCredit), r.job.answerTokens - r.decoded))
    r.decodeCredit -= count
    r.decoded += count
    const complete = r.decoded >= r.job.answerTokens // true at once for a resumed answer that has all its tokens already
    if (complete) this.#running.delete(r.job.id)
    if (count > 0 || complete) r.job.onTokens(r.decoded)
  }
}

/** Total number of tokens of a prompt. */
export function promptTokenCount (prompt: readonly PromptSegment[]): number {
  return prompt.reduce((sum, p) => sum + p.tokens, 0)
}
