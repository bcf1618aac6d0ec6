/** Fake engines on virtual time, with the batch and cache models of the stand-in; they join, leave and report late. */
import { hashString } from '../common/Hash.js'
import type { LoadReport } from '../common/placement/EndpointLoad.js'
import type { RendezvousCandidate } from '../common/Rendezvous.js'
import { BatchModel } from '../enginemodel/BatchModel.js'
import { PrefixCache } from '../enginemodel/PrefixCache.js'
import type { TraceParameters, TraceRequest } from './Trace.js'

/** One engine. */
export interface FakeEngine extends RendezvousCandidate {
  readonly id: string
  readonly batch: BatchModel
  readonly cache: PrefixCache
  readonly joinedAt: number
  leftAt: number
}

/** What happens to a request, for the policy that sent it. */
export interface Running {
  readonly engine: FakeEngine
  readonly request: TraceRequest
  onTokens (count: number): void
  onEnd (): void
}

/** Sums over a run, after the warm-up. */
export interface EngineTotals {
  returningTokens: number
  returningCached: number
  readonly firstTokenMs: number[]
  readonly skew: number[]
}

export class FakeEngines {
  readonly #p: TraceParameters
  readonly engines: FakeEngine[] = []
  readonly totals: EngineTotals = { returningTokens: 0, returningCached: 0, firstTokenMs: [], skew: [] }
  now = 0
  #created = 0
  #jobs = 0

  constructor (p: TraceParameters) {
    this.#p = p
    for (let i = 0; i < p.engines; i++) this.join()
  }

  /** Engines that have not left. */
  get present (): readonly FakeEngine[] {
    return this.engines.filter(e => e.leftAt === Infinity)
  }

  join (): FakeEngine {
    const id = `engine-${this.#created++}`
    const cache = new PrefixCache(this.#p.cacheTokens)
    const engine: FakeEngine = { id, hash: hashString(id), weight: 1, cache, batch: new BatchModel(this.#p, cache), joinedAt: this.now, leftAt: Infinity }
    this.engines.push(engine)
    return engine
  }

  report (engine: FakeEngine): LoadReport {
    const { batch } = engine
    return {
      work: batch.work,
      running: batch.running,
      queued: batch.queued,
      slots: this.#p.slots,
      leaving: engine.leftAt !== Infinity,
      uptimeMs: this.now - engine.joinedAt,
      fencing: 0
    }
  }

  submit (run: Running): void {
    const { engine, request } = run
    const measured = this.now >= this.#p.warmupSeconds * 1000
    let decoded = 0
    engine.batch.submit({
      id: `job-${this.#jobs++}`,
      priority: request.priority,
      prompt: request.prompt,
      answerTokens: request.placement.answerTokens,
      from: 0,
      onPrefilled: cached => {
        engine.cache.insert(request.prompt)
        if (!measured) return
        this.totals.firstTokenMs.push(this.now - request.at)
        if (!request.placement.returning) return
        this.totals.returningTokens += request.placement.promptTokens
        this.totals.returningCached += cached
      },
      onTokens: total => {
        run.onTokens(total - decoded)
        decoded = total
        if (total < request.placement.answerTokens) return
        engine.cache.insert([...request.prompt, request.answer])
        run.onEnd()
      }
    })
  }

  step (dtMs: number): void {
    this.now += dtMs
    for (const engine of this.engines) engine.batch.step(dtMs)
  }

  /** Takes one sample of the highest work over the mean. */
  sampleSkew (): void {
    if (this.now < this.#p.warmupSeconds * 1000) return
    const works = this.present.map(e => e.batch.work)
    const mean = works.reduce((a, b) => a + b, 0) / works.length
    this.totals.skew.push(Math.max(...works) / mean)
  }
}
