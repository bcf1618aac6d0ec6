/**
 * Orders to endpoints, given by the endpoint's home. The fencing number grows without a store: wall time in
 * milliseconds, but always above the highest number that the endpoint itself reported.
 */
import { request } from 'undici'
import type { VotedConfig } from '../../common/config/VotedConfig.js'
import type { IClock } from '../../common/Services.js'
import type { EndpointTracker } from './EndpointTracker.js'

const COMMAND_TIMEOUT_MS = 3_000

/** Parts that orders need. */
export interface EndpointCommandsDependencies {
  readonly config: () => VotedConfig | undefined
  readonly endpoints: EndpointTracker
  readonly clock: IClock
}

export class EndpointCommands {
  readonly #deps: EndpointCommandsDependencies

  constructor (deps: EndpointCommandsDependencies) {
    this.#deps = deps
  }

  /** Orders an engine to take no new work, or to take it again. */
  async drain (endpointId: string, undo: boolean): Promise<string> {
    const endpoint = this.#deps.config()?.endpoint(endpointId)
    if (endpoint === undefined) return `no endpoint "${endpointId}" in the file in force`
    const load = await this.#deps.endpoints.load(endpoint)
    const fencing = Math.max(Math.floor(this.#deps.clock.wallMs()), (load.report?.fencing ?? 0) + 1)
    const res = await request(`http://${endpoint.address}/v1/orders`, {
      method: 'POST',
      headers: { 'content-type': 'application/json' },
      body: JSON.stringify({ order: undo ? 'undrain' : 'drain', fencing }),
      headersTimeout: COMMAND_TIMEOUT_MS,
      bodyTimeout: COMMAND_TIMEOUT_MS
    })
    const text = await res.body.text()
    if (res.statusCode !== 200) return `refused by ${endpointId}: ${text.slice(0, 200)}`
    return `${undo ? 'undrain' : 'drain'} taken by ${endpointId}, fencing number ${fencing}`
  }
}
