/**
 * Outstanding work of the engines as seen by one instance: exact for the engines it is home of, sampled from peers for
 * the others. The mean over a uniform sample of peers estimates the mean over all engines.
 */
import { LOAD_SAMPLE_TTL_MS } from '../Constants.js'
import type { RendezvousCandidate } from '../Rendezvous.js'

/** Work value of an engine that accepts no new work. */
export const UNAVAILABLE = -1

interface Sample {
  readonly work: number
  readonly at: number
}

/** Read-only view of the load, as used by placement. */
export interface ILoadView {
  /** Outstanding work in decode tokens; undefined without a fresh sample; UNAVAILABLE when the engine accepts no new work. */
  work (endpointHash: number, now: number): number | undefined
}

/** Mean work per unit of weight over the candidates that are available and have a fresh sample. */
export function meanPerWeight (view: ILoadView, candidates: readonly RendezvousCandidate[], now: number): number {
  let work = 0
  let weight = 0
  for (const candidate of candidates) {
    const sample = view.work(candidate.hash, now)
    if (sample === undefined || sample === UNAVAILABLE) continue
    work += sample
    weight += candidate.weight
  }
  return weight === 0 ? 0 : work / weight
}

/** Load samples by hash of the endpoint's id. */
export class LoadView implements ILoadView {
  readonly #samples = new Map<number, Sample>()
  readonly #sampleTtlMs: number

  constructor (sampleTtlMs: number = LOAD_SAMPLE_TTL_MS) {
    this.#sampleTtlMs = sampleTtlMs
  }

  /** Records a sample; it replaces the endpoint's previous one. */
  record (endpointHash: number, work: number, now: number): void {
    this.#samples.set(endpointHash, { work, at: now })
  }

  work (endpointHash: number, now: number): number | undefined {
    const sample = this.#samples.get(endpointHash)
    if (sample === undefined || now - sample.at > this.#sampleTtlMs) return undefined
    return sample.work
  }

  /** Removes expired samples, so that departed engines use no memory. */
  prune (now: number): void {
    for (const [hash, sample] of this.#samples) {
      if (now - sample.at > this.#sampleTtlMs * 4) this.#samples.delete(hash)
    }
  }
}
