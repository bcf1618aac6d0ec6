/** Samples the load skew of the engines each second: highest load divided by the mean, over the engines that accept new work. */
import { Disposable, toDisposable } from '../common/Disposable.js'
import type { Site } from './Site.js'

const SAMPLE_INTERVAL_MS = 1_000

/** Takes samples until disposed. */
export class SkewSampler extends Disposable {
  readonly #site: Site
  readonly #excluded = new Set<string>()
  readonly #ratios: number[] = []
  readonly #minMeanTokens: number

  /** @param minMeanTokens mean load in decode tokens below which a sample is discarded, as its ratio is not meaningful. */
  constructor (site: Site, minMeanTokens: number) {
    super()
    this.#site = site
    this.#minMeanTokens = minMeanTokens
    const timer = setInterval(() => { this.#sample().catch(() => {}) }, SAMPLE_INTERVAL_MS)
    this.own(toDisposable(() => clearInterval(timer)))
  }

  /** Excludes an engine from later samples, for engines that accept no new work. */
  exclude (id: string): void {
    this.#excluded.add(id)
  }

  /** Skew at this quantile of the samples; 1 when there is none. */
  quantile (q: number): number {
    const sorted = [...this.#ratios].sort((a, b) => a - b)
    return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * q))] ?? 1
  }

  async #sample (): Promise<void> {
    const loads = (await this.#site.engineStats()).filter(e => !this.#excluded.has(e.id)).map(e => e.work)
    const mean = loads.reduce((a, b) => a + b, 0) / loads.length
    if (mean > this.#minMeanTokens) this.#ratios.push(Math.max(...loads) / mean)
  }
}
