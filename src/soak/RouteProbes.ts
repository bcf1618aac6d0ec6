/** Asks each gateway again and again for routes that were added or removed: which configuration is in force there? */
import { Agent } from 'node:http'
import { setTimeout as sleep } from 'node:timers/promises'
import { Disposable } from '../common/Disposable.js'
import { sendClientRequest } from '../standin/PlatformClient.js'
import type { SoakSite } from './SoakSite.js'
import type { ProbeRecord } from './Types.js'

const INTERVAL_MS = 400
const DEADLINE_MS = 1_000
const RECENT_ROUTES = 4

export class RouteProbes extends Disposable {
  readonly probes: ProbeRecord[] = []
  readonly #site: SoakSite
  readonly #processStarts: ReadonlyMap<string, number>
  #seq = 0

  /** @param processStarts starts of each gateway's process. */
  constructor (site: SoakSite, processStarts: ReadonlyMap<string, number>) {
    super()
    this.#site = site
    this.#processStarts = processStarts
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
      const processStarts = this.#processStarts.get(gateway) ?? 0
      const at = performance.now()
      const id = `p${this.#seq++}`
      const { status } = await sendClientRequest(port, agent, { id, route, account: 'looms', deadlineMs: DEADLINE_MS, promptParts: [], abortAfterMs: Infinity })
      if ((this.#processStarts.get(gateway) ?? 0) === processStarts) this.probes.push({ route, gateway, processStarts: processStarts, at, answeredAt: performance.now(), status })
    }
  }
}
