/** Samples the engines' own load each second: the highest over the mean, over the engines that take work. */
import { Disposable, toDisposable } from '../common/Disposable.js'
import type { Site } from './Site.js'

const SAMPLE_MS = 1_000

export class SkewSampler extends Disposable {
  readonly #site: Site
  readonly #skipped = new Set<string>()
  readonly #ratios: number[] = []
  readonly #meanFloor: number

  /** @param meanFloor mean work below which a ratio says nothing, in decode tokens. */
  constructor (site: Site, meanFloor: number) {
    super()
    this.#site = site
    this.#meanFloor = meanFloor
    const timer = setInterval(() => { this.#sample().catch(() => {}) }, SAMPLE_MS)
    this.own(toDisposable(() => clearInterval(timer)))
  }

  /** Leaves an engine out from now on, as it takes no new work. */
  skip (id: string): void {
    this.#skipped.add(id)
  }

  /** Highest ratio of a second at this quantile; 1 when there was no sample. */
  quantile (q: number): number {
    const sorted = [...this.#ratios].sort((a, b) => a - b)
    return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * q))] ?? 1
  }

  async #sample (): Promise<void> {
    const works = (await this.#site.engineStats()).filter(e => !this.#skipped.has(e.id)).map(e => e.work)
    const mean = works.reduce((a, b) => a + b, 0) / works.length
    if (mean > this.#meanFloor) this.#ratios.push(Math.max(...works) / mean)
  }
}
