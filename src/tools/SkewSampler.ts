/** Samples the engines' own load each second: the highest over the mean, over the engines that take work. */
import { Disposable, toDisposable } from '../common/Disposable.js'
import type { Site } from './Site.js'

const SAMPLE_INTERVAL_MS = 1_000

export class SkewSampler extends Disposable {
  readonly #site: Site
  readonly #excluded = new Set<string>()
  readonly #ratios: number[] = []
  readonly #minMeanTokens: number

  /** @param minMeanTokens mean work below which a ratio says nothing, in decode tokens. */
  constructor (site: Site, minMeanTokens: number) {
    super()
    this.#site = site
    this.#minMeanTokens = minMeanTokens
    const timer = setInterval(() => { this.#sample().catch(() => {}) }, SAMPLE_INTERVAL_MS)
    this.own(toDisposable(() => clearInterval(timer)))
  }

  /** Leaves an engine out from now on, as it takes no new work. */
  exclude (id: string): void {
    this.#excluded.add(id)
  }

  /** Highest ratio of a second at this quantile; 1 when there was no sample. */
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
