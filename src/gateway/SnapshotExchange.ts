/** Transfers snapshots of the configuration and of the list of endpoints between gateways, as JSON over HTTP. */
import { createServer, type Server, type ServerResponse } from 'node:http'
import type { Result } from 'neverthrow'
import polka, { type Request } from 'polka'
import { Disposable, toDisposable } from '../common/Disposable.js'
import type { EndpointList, RoutingConfig } from '../common/routing/Types.js'
import type { IClock } from '../common/Services.js'
import type { InstanceAddress } from '../common/Types.js'
import { listen } from '../router/callers/HttpUtils.js'
import type { Log } from '../router/telemetry/Log.js'
import { EndpointAgent } from './EndpointAgent.js'
import { httpGet, type CallError, type HttpResponse } from './HttpCall.js'

const FETCH_TIMEOUT_MS = 600
const USELESS_FETCH_PAUSE_MS = 500 // gossip asks for a fetch with each datagram until one brings something newer

/** Kind of a snapshot; also the name of its path. */
export type SnapshotKind = 'config' | 'endpoints'

/** Snapshots that this gateway serves, and receivers for those that it fetches. */
export interface ISnapshotSource {
  readonly config: RoutingConfig | undefined
  readonly endpoints: EndpointList
  /**
   * Returns false when the configuration is not newer than the one in force.
   * @param from id of the peer that sent it.
   * @param ageMs time since there was no newer one.
   */
  updateConfig (config: RoutingConfig, from: string, ageMs: number): boolean
  /** Returns false when the list is older than the last one. @param ageMs time since the list was read from the platform. */
  updateEndpoints (list: EndpointList, ageMs: number): boolean
}

/** Sends a snapshot as JSON; one that doesn't exist yet gives 404. */
function sendSnapshot (res: ServerResponse, snapshot: RoutingConfig | EndpointList | undefined): void {
  res.statusCode = snapshot === undefined ? 404 : 200
  res.setHeader('Content-Type', 'application/json')
  res.end(snapshot === undefined ? '' : JSON.stringify(snapshot))
}

export class SnapshotExchange extends Disposable {
  readonly #source: ISnapshotSource
  readonly #log: Log
  readonly #server: Server
  readonly #agent = new EndpointAgent()
  readonly #clock: IClock
  readonly #fetching = new Set<SnapshotKind>()
  /** When a kind may be fetched again from a peer after a fetch of no use, by kind and peer; at most one entry for each. */
  readonly #nextFetchAt = new Map<string, number>()

  constructor (source: ISnapshotSource, clock: IClock, log: Log) {
    super()
    this.#source = source
    this.#clock = clock
    this.#log = log
    const app = polka()
      .get('/config', (_req, res) => sendSnapshot(res, source.config))
      .get('/endpoints', (_req, res) => sendSnapshot(res, source.endpoints))
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

  /** Fetches a snapshot from a peer, one of each kind at a time, and none from this peer soon after one of no use. @param ageMs age of the peer's copy. */
  async fetch (kind: SnapshotKind, from: InstanceAddress, ageMs: number): Promise<void> {
    const startedAt = this.#clock.nowMs()
    const source = `${kind} ${from.id}`
    if (this.#fetching.has(kind) || startedAt < (this.#nextFetchAt.get(source) ?? -Infinity)) return
    this.#fetching.add(kind)
    const response = await httpGet({ agent: this.#agent, address: from.address, port: from.peerPort }, `/${kind}`, FETCH_TIMEOUT_MS)
    this.#fetching.delete(kind)
    const now = this.#clock.nowMs()
    const isUsable = this.#takeResponse(kind, response, ageMs + now - startedAt, from)
    if (isUsable) this.#nextFetchAt.delete(source)
    else this.#nextFetchAt.set(source, now + USELESS_FETCH_PAUSE_MS)
  }

  /** Returns false when the response brought nothing newer. */
  #takeResponse (kind: SnapshotKind, response: Result<HttpResponse, CallError>, ageMs: number, from: InstanceAddress): boolean {
    if (response.isErr() || response.value.status !== 200) {
      const reason = response.isErr() ? response.error.reason : `status ${response.value.status}`
      this.#log.info({ step: 'peers', peer: from.id, part: kind, reason }, 'snapshot not fetched')
      return false
    }
    return this.#apply(kind, response.value.text, ageMs, from)
  }

  #apply (kind: SnapshotKind, text: string, ageMs: number, from: InstanceAddress): boolean {
    try {
      const value: unknown = JSON.parse(text)
      return kind === 'config' ? this.#source.updateConfig(value as RoutingConfig, from.id, ageMs) : this.#source.updateEndpoints(value as EndpointList, ageMs)
    } catch (e) {
      this.#log.warn({ step: 'peers', peer: from.id, part: kind, err: String(e) }, 'malformed snapshot')
      return false
    }
  }
}
