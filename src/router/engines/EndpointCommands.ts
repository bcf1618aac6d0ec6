/**
 * Commands to endpoints, sent by the endpoint's home node. Each carries a fencing token that increases without any
 * stored state: the wall time in milliseconds, but always above the highest token that the endpoint reported.
 */
import { request } from 'undici'
import { readText } from '../../common/http/BoundedText.js'
import type { VotedConfig } from '../../common/config/VotedConfig.js'
import type { IClock } from '../../common/Services.js'
import type { EndpointTracker } from './EndpointTracker.js'

const COMMAND_TIMEOUT_MS = 3_000
const MAX_REPLY_BYTES = 65_536

/** Dependencies of `EndpointCommands`. */
export interface EndpointCommandsDependencies {
  readonly config: () => VotedConfig | undefined
  readonly endpoints: EndpointTracker
  readonly clock: IClock
}

/** Sends commands to endpoints. */
export class EndpointCommands {
  readonly #deps: EndpointCommandsDependencies

  constructor (deps: EndpointCommandsDependencies) {
    this.#deps = deps
  }

  /** Makes an endpoint drain, so that it accepts no new work, or accept work again (`undo`). Returns a result text for the operator. */
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
    const text = await readText(res.body, MAX_REPLY_BYTES)
    if (res.statusCode !== 200) return `refused by ${endpointId}: ${text.slice(0, 200)}`
    return `${undo ? 'undrain' : 'drain'} taken by ${endpointId}, fencing number ${fencing}`
  }
}
