/** Client-side substitute for the platform's load balancer: spreads requests over the entries that pass the health check. */
import { request, type Agent } from 'undici'
import { Disposable, toDisposable } from '../common/Disposable.js'
import type { IRandom } from '../common/Services.js'

const HEALTH_CHECK_INTERVAL_MS = 250
const HEALTH_CHECK_TIMEOUT_MS = 400

/** Polls the readiness of each entry and picks a ready one at random. */
export class Balancer extends Disposable {
  readonly #entries: string[]
  readonly #healthy = new Set<string>()
  readonly #random: IRandom
  readonly #agent: Agent

  /** @param entries base URLs of the instances. */
  constructor (entries: readonly string[], random: IRandom, agent: Agent) {
    super()
    this.#entries = [...entries]
    this.#random = random
    this.#agent = agent
    const timer = setInterval(() => { this.check().catch(() => {}) }, HEALTH_CHECK_INTERVAL_MS)
    this.own(toDisposable(() => clearInterval(timer)))
  }

  /** Number of entries that passed the last health check. */
  get healthy (): number {
    return this.#healthy.size
  }

  /** Polls `/readyz` of all entries once. */
  async check (): Promise<void> {
    await Promise.all(this.#entries.map(async entry => {
      try {
        const res = await request(`${entry}/readyz`, { dispatcher: this.#agent, headersTimeout: HEALTH_CHECK_TIMEOUT_MS, bodyTimeout: HEALTH_CHECK_TIMEOUT_MS })
        await res.body.dump()
        if (res.statusCode === 200) this.#healthy.add(entry)
        else this.#healthy.delete(entry)
      } catch {
        this.#healthy.delete(entry)
      }
    }))
  }

  /** Returns a random healthy entry other than `avoid`; any entry, `avoid` included, if there is none. */
  pick (avoid?: string): string {
    const healthy = [...this.#healthy].filter(e => e !== avoid)
    const candidates = healthy.length > 0 ? healthy : this.#entries
    return candidates[Math.floor(this.#random.next() * candidates.length)]!
  }
}
