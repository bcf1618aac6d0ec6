/** Passes whole parts of the view between gateways: the configuration and the list of endpoints, as JSON over HTTP. */
import { createServer, type Server, type ServerResponse } from 'node:http'
import polka, { type Request } from 'polka'
import { Disposable, toDisposable } from '../common/Disposable.js'
import type { EndpointList, RoutingConfig } from '../common/routing/Types.js'
import type { InstanceAddress } from '../common/Types.js'
import { listen } from '../router/callers/HttpUtils.js'
import type { Log } from '../router/telemetry/Log.js'
import { EndpointAgent } from './EndpointAgent.js'
import { getWhole } from './HttpCall.js'

const FETCH_TIMEOUT_MS = 600

/** Names of the parts. */
export type PartName = 'config' | 'endpoints'

/** What this gateway can hand out and takes in. */
export interface IPartSource {
  readonly config: RoutingConfig | undefined
  readonly endpoints: EndpointList
  takeConfig (config: RoutingConfig): void
  /** @param ageMs time since the list was read from the platform. */
  takeEndpoints (list: EndpointList, ageMs: number): void
}

/** Sends a part as JSON; one that isn't known yet isn't found. */
function sendPart (res: ServerResponse, part: RoutingConfig | EndpointList | undefined): void {
  res.statusCode = part === undefined ? 404 : 200
  res.setHeader('Content-Type', 'application/json')
  res.end(part === undefined ? '' : JSON.stringify(part))
}

export class PeerParts extends Disposable {
  readonly #source: IPartSource
  readonly #log: Log
  readonly #server: Server
  readonly #agent = new EndpointAgent()
  readonly #fetching = new Set<PartName>()

  constructor (source: IPartSource, log: Log) {
    super()
    this.#source = source
    this.#log = log
    const app = polka()
      .get('/config', (_req, res) => sendPart(res, source.config))
      .get('/endpoints', (_req, res) => sendPart(res, source.endpoints))
    this.#server = createServer((req, res) => app.handler(req as Request, res))
    this.own(toDisposable(() => {
      this.#server.close()
      this.#server.closeAllConnections()
      this.#agent.destroy()
    }))
  }

  async listen (address: string, port: number): Promise<void> {
    await listen(this.#server, address, port)
  }

  /** Fetches a part from a peer; one fetch of a part at a time. */
  async fetch (part: PartName, from: InstanceAddress, ageMs: number): Promise<void> {
    if (this.#fetching.has(part)) return
    this.#fetching.add(part)
    const startedAt = performance.now()
    const answer = await getWhole({ agent: this.#agent, address: from.address, port: from.peerPort }, `/${part}`, FETCH_TIMEOUT_MS)
    this.#fetching.delete(part)
    if (answer.isErr() || answer.value.status !== 200) {
      const reason = answer.isErr() ? answer.error.reason : `status ${answer.value.status}`
      this.#log.info({ step: 'peers', peer: from.id, part, reason }, 'part not fetched')
      return
    }
    this.#take(part, answer.value.body, ageMs + performance.now() - startedAt, from)
  }

  #take (part: PartName, body: Buffer, ageMs: number, from: InstanceAddress): void {
    try {
      const value: unknown = JSON.parse(body.toString('utf8'))
      if (part === 'config') this.#source.takeConfig(value as RoutingConfig)
      else this.#source.takeEndpoints(value as EndpointList, ageMs)
    } catch (e) {
      this.#log.warn({ step: 'peers', peer: from.id, part, err: String(e) }, 'part is malformed')
    }
  }
}
