/** Periodically probes each gateway for recently added or removed routes, to detect which configuration is in force there. */
import { Agent } from 'node:http'
import { setTimeout as sleep } from 'node:timers/promises'
import { Disposable } from '../common/Disposable.js'
import { sendClientRequest } from '../standin/PlatformClient.js'
import type { SoakSite } from './SoakSite.js'
import type { ProbeRecord } from './Types.js'

const INTERVAL_MS = 100 // shorter than the time in which gossip replaces an early configuration
const DEADLINE_MS = 1_000
const RECENT_ROUTES = 4 // number of latest routes that are probed

/** Sends the probes until disposed and records the answers. */
export class RouteProbes extends Disposable {
  readonly probes: ProbeRecord[] = []
  readonly #site: SoakSite
  readonly #restarts: ReadonlyMap<string, number>
  #seq = 0

  /** @param restarts number of restarts of each gateway; a probe during which the gateway restarted is discarded. */
  constructor (site: SoakSite, restarts: ReadonlyMap<string, number>) {
    super()
    this.#site = site
    this.#restarts = restarts
  }

  async run (): Promise<void> {
    const agent = new Agent({ keepAlive: false })
    while (!this.isDisposed) {
      await Promise.all(this.#site.gateways.map(async g => { await this.#probe(g.name, g.callerProxyPort, agent) }))
      await sleep(INTERVAL_MS)
    }
  }

  async #probe (gateway: string, port: number, agent: Agent): Promise<void> {
    for (const { name: route } of this.#site.extraRoutes.slice(-RECENT_ROUTES)) {
      const restarts = this.#restarts.get(gateway) ?? 0
      const at = performance.now()
      const id = `p${this.#seq++}`
      const { status } = await sendClientRequest(port, agent, { id, route, account: 'looms', deadlineMs: DEADLINE_MS, promptParts: [], abortAfterMs: Infinity })
      if ((this.#restarts.get(gateway) ?? 0) === restarts) this.probes.push({ route, gateway, restarts, at, answeredAt: performance.now(), status })
    }
  }
}
