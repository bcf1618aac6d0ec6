/** Engines simulated in virtual time with the batch and cache models of the stand-in; engines may join and leave. */
import { hashString } from '../common/Hash.js'
import type { LoadReport } from '../common/placement/EndpointLoad.js'
import type { RendezvousCandidate } from '../common/Rendezvous.js'
import { BatchModel } from '../enginemodel/BatchModel.js'
import { PrefixCache } from '../enginemodel/PrefixCache.js'
import type { TraceParameters, TraceRequest } from './Trace.js'

/** One simulated engine. */
export interface SimulatedEngine extends RendezvousCandidate {
  readonly id: string
  readonly batch: BatchModel
  readonly cache: PrefixCache
  readonly joinedAt: number
  leftAt: number
}

/** A request placed on an engine, with callbacks for the policy that placed it. */
export interface RunningRequest {
  readonly engine: SimulatedEngine
  readonly request: TraceRequest
  onTokens (count: number): void
  onEnd (): void
}

/** Totals of a run, without its warm-up. */
export interface EngineTotals {
  returningTokens: number
  returningCached: number
  readonly firstTokenMs: number[]
  readonly skew: number[]
}

/** All engines of a run, advanced in steps. */
export class SimulatedEngines {
  readonly #parameters: TraceParameters
  readonly all: SimulatedEngine[] = []
  readonly totals: EngineTotals = { returningTokens: 0, returningCached: 0, firstTokenMs: [], skew: [] }
  now = 0
  #createdEngines = 0
  #submittedJobs = 0

  constructor (parameters: TraceParameters) {
    this.#parameters = parameters
    for (let i = 0; i < parameters.engines; i++) this.join()
  }

  /** Engines that have not left. */
  get active (): readonly SimulatedEngine[] {
    return this.all.filter(e => e.leftAt === Infinity)
  }

  join (): SimulatedEngine {
    const id = `engine-${this.#createdEngines++}`
    const cache = new PrefixCache(this.#parameters.cacheTokens)
    const engine: SimulatedEngine = {
      id,
      hash: hashString(id),
      weight: 1,
      cache,
      batch: new BatchModel(this.#parameters, cache),
      joinedAt: this.now,
      leftAt: Infinity
    }
    this.all.push(engine)
    return engine
  }

  report (engine: SimulatedEngine): LoadReport {
    const { batch } = engine
    return {
      work: batch.work,
      running: batch.running,
      queued: batch.queued,
      slots: this.#parameters.slots,
      leaving: engine.leftAt !== Infinity,
      uptimeMs: this.now - engine.joinedAt,
      fencing: 0
    }
  }

  submit (run: RunningRequest): void {
    const { engine, request } = run
    const measured = this.now >= this.#parameters.warmupSeconds * 1000
    let decoded = 0
    engine.batch.submit({
      id: `job-${this.#submittedJobs++}`,
      priority: request.priority,
      prompt: request.prompt,
      answerTokens: request.placement.answerTokens,
      resumedTokens: 0,
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
    for (const engine of this.all) engine.batch.step(dtMs)
  }

  /** Samples the ratio of the highest work of an engine to the mean. */
  sampleSkew (): void {
    if (this.now < this.#parameters.warmupSeconds * 1000) return
    const works = this.active.map(e => e.batch.work)
    const mean = works.reduce((a, b) => a + b, 0) / works.length
    this.totals.skew.push(Math.max(...works) / mean)
  }
}
