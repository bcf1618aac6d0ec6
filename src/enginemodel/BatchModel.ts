/** Continuous batching of an engine on an injected clock: bounded slots, prefill by uncached tokens, decode by token. */
import type { PrefixCache, PromptPiece } from './PrefixCache.js'

const PREFILL_COST = 0.08 // decode tokens that one uncached prompt token costs

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
  readonly prompt: readonly PromptPiece[]
  readonly answerTokens: number
  /** Tokens of the answer that the caller has already; they count as prompt. */
  readonly from: number
  /** Called with the number of tokens decoded so far. */
  readonly onTokens: (total: number) => void
  /** Called once prefill is done, with the prompt tokens found in the cache. */
  readonly onPrefilled?: (cachedTokens: number) => void
}

interface Running {
  readonly job: BatchJob
  prefillLeft: number
  cached: number
  credit: number
  decoded: number
}

export class BatchModel {
  readonly #settings: BatchSettings
  readonly #cache: PrefixCache
  readonly #running = new Map<string, Running>()
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
    for (const r of this.#running.values()) work += r.prefillLeft * PREFILL_COST + r.job.answerTokens - r.decoded
    for (const job of this.#queue) work += tokensOf(job.prompt) * PREFILL_COST + job.answerTokens - job.from
    return work
  }

  submit (job: BatchJob): void {
    const at = this.#queue.findIndex(q => q.priority < job.priority)
    if (at < 0) this.#queue.push(job)
    else this.#queue.splice(at, 0, job)
  }

  cancel (id: string): boolean {
    const queued = this.#queue.length
    this.#queue = this.#queue.filter(j => j.id !== id)
    return this.#running.delete(id) || this.#queue.length < queued
  }

  /** Advances the batch by `dtMs`. */
  step (dtMs: number): void {
    this.#admit()
    let prefill = this.#settings.prefillTokensPerSec * dtMs / 1000
    for (const r of [...this.#running.values()]) {
      if (r.prefillLeft > 0) {
        const done = Math.min(prefill, r.prefillLeft)
        r.prefillLeft -= done
        prefill -= done
        if (r.prefillLeft > 0) continue
        r.job.onPrefilled?.(r.cached)
        r.credit = 1
      } else {
        r.credit += this.#settings.decodeTokensPerSec * dtMs / 1000
      }
      this.#decode(r)
    }
  }

  #admit (): void {
    while (this.#running.size < this.#settings.slots && this.#queue.length > 0) {
      const job = this.#queue.shift()!
      const cached = this.#cache.lookUp(job.prompt)
      const prefillLeft = Math.max(1, tokensOf(job.prompt) - cached + job.from)
      this.#running.set(job.id, { job, prefillLeft, cached, credit: 0, decoded: job.from })
    }
  }

  #decode (r: Running): void {
    const count = Math.max(0, Math.min(Math.floor(r.credit), r.job.answerTokens - r.decoded))
    r.credit -= count
    r.decoded += count
    const ended = r.decoded >= r.job.answerTokens // at once for a continued answer that lacks only its end
    if (ended) this.#running.delete(r.job.id)
    if (count > 0 || ended) r.job.onTokens(r.decoded)
  }
}

/** Tokens of a prompt. */
export function tokensOf (prompt: readonly PromptPiece[]): number {
  return prompt.reduce((sum, p) => sum + p.tokens, 0)
}
