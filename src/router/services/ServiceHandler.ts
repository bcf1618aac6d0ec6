/** Service calls at the entry instance: selects the instance that executes a call, forwards the call, and classifies the result. */
import { err, ok, type Result } from 'neverthrow'
import { Agent, type Dispatcher } from 'undici'
import { HEADER } from '../../common/Constants.js'
import type { VotedConfig } from '../../common/config/VotedConfig.js'
import { outcomeOf, routeError, type RouteError } from '../../common/Errors.js'
import { ByteBuffer } from '../../common/http/ByteBuffer.js'
import type { RetryBudget } from '../../common/limits/RetryBudget.js'
import { parseTicket } from '../../common/idempotency/KeyFormat.js'
import { UNAVAILABLE } from '../../common/placement/LoadView.js'
import { ownerOf } from '../../common/Rendezvous.js'
import type { IClock } from '../../common/Services.js'
import { randomId } from '../fleet/Crypto.js'
import type { EndpointTracker } from '../engines/EndpointTracker.js'
import type { Fleet } from '../fleet/Fleet.js'
import { startExchange } from '../engines/HttpExchange.js'
import { keyOwnerOf } from './KeyOwner.js'
import type { Metrics } from '../telemetry/Metrics.js'
import type { PeerConnections } from '../engines/RemoteHomeNode.js'
import { MAX_SERVICE_RESPONSE_BYTES, type ServiceRunner } from './ServiceRunner.js'
import type { ServiceResponse, ServiceCallMessage } from '../Types.js'

const MAX_RETRIES = 2
const CONNECT_TIMEOUT_MS = 1_000
const FORWARD_MARGIN_MS = 1_000 // lets the executing instance report its own timeout before the entry gives up

/** Dependencies of the handler. */
export interface ServiceHandlerDependencies {
  readonly config: () => VotedConfig | undefined
  readonly fleet: Fleet
  readonly endpoints: EndpointTracker
  readonly clock: IClock
  readonly metrics: Metrics
  readonly budget: RetryBudget
  readonly peers: PeerConnections
  readonly runner: ServiceRunner
}

/** Forwards service calls and retries those that may be repeated. */
export class ServiceHandler {
  readonly #deps: ServiceHandlerDependencies

  constructor (deps: ServiceHandlerDependencies) {
    this.#deps = deps
  }

  /** Executes a service call on this or another instance. */
  async call (call: ServiceCallMessage, body: Uint8Array): Promise<Result<ServiceResponse, RouteError>> {
    this.#deps.budget.recordRequest()
    return call.key === undefined ? await this.#callWithoutKey(call, body) : await this.#callWithKey(call, call.key, body)
  }

  /** Forwards a keyed call to the key's owner only, as no other instance can rule out an earlier execution. */
  async #callWithKey (call: ServiceCallMessage, key: string, body: Uint8Array): Promise<Result<ServiceResponse, RouteError>> {
    const owner = this.#ownerOf(call.service, key)
    if (owner === undefined) return err(routeError('owner_cannot_vouch', 'own', call.service, 'The owner of the key is not known.', 2_000))
    const result = await this.#forward(owner, call, body)
    const unreachable = result.isErr() && (result.error.code === 'peer_unreachable' || result.error.code === 'deadline_passed')
    if (!unreachable) return result
    const detail = 'The owner of the key can not be reached.'
    return err(routeError(parseTicket(key) === undefined ? 'owner_cannot_vouch' : 'ticket_lost', 'own', owner, detail, 2_000))
  }

  #ownerOf (service: string, key: string): string | undefined {
    const ticket = parseTicket(key)
    if (ticket !== undefined) return ticket.instance
    const { fleet } = this.#deps
    const workers = this.#deps.config()?.workersOf(service) ?? []
    const dataCentre = ownerOf(key, [...new Set(workers.map(w => w.dataCentre))].sort())
    return dataCentre === undefined ? undefined : keyOwnerOf(key, fleet.listedInstances(dataCentre))
  }

  /** Retries a call that did not run; one that may have run only if it may be repeated. */
  async #callWithoutKey (call: ServiceCallMessage, body: Uint8Array): Promise<Result<ServiceResponse, RouteError>> {
    const deadline = this.#deps.clock.nowMs() + call.timeoutMs
    const excluded: string[] = []
    let leastCertain: RouteError | undefined
    for (let retries = 0; ; retries++) {
      const timeoutMs = deadline - this.#deps.clock.nowMs()
      if (timeoutMs <= 0) return err(routeError('deadline_passed', 'forward', call.service))
      const node = this.#pickNode(call.service, excluded)
      if (node === undefined) return err(leastCertain ?? routeError('no_endpoint', 'place', call.service, 'no usable worker', 1_000))
      const result = await this.#forward(node, { ...call, timeoutMs }, body)
      if (result.isOk() || !mayRepeat(result.error, call)) return result
      leastCertain = lessCertain(leastCertain, result.error)
      if (retries >= MAX_RETRIES || !this.#deps.budget.tryRetry()) return err(leastCertain)
      this.#deps.metrics.retries.inc({ cause: result.error.code })
      if (result.error.code === 'peer_unreachable') this.#deps.fleet.markUnreachable(node)
      else excluded.push(node)
    }
  }

  /** The home node of the worker with the least known load per weight, workers of this region first; else this instance itself. */
  #pickNode (service: string, excluded: readonly string[]): string | undefined {
    const { endpoints, fleet, clock } = this.#deps
    const now = clock.nowMs()
    const region = this.#deps.config()?.regionOf(fleet.self.dataCentre)
    const candidates = (this.#deps.config()?.workersOf(service) ?? []).flatMap(w => {
      const home = fleet.homeOf(w.id)
      const work = endpoints.work(w.hash, now)
      if (home === undefined || excluded.includes(home) || work === UNAVAILABLE) return []
      return [{ home, cost: (work ?? 1) / w.weight + (w.region === region ? 0 : 1e6) }]
    })
    candidates.sort((a, b) => a.cost - b.cost)
    return candidates[0]?.home ?? (excluded.includes(fleet.self.id) ? undefined : fleet.self.id)
  }

  async #forward (node: string, call: ServiceCallMessage, body: Uint8Array): Promise<Result<ServiceResponse, RouteError>> {
    const { fleet, runner, peers } = this.#deps
    if (node === fleet.self.id) return await runner.run(call, body)
    const to = fleet.address(node)
    if (to === undefined || !peers.links.passes(node)) return err(routeError('peer_unreachable', 'forward', node, 'unknown address or blocked link'))
    // a dedicated connection: on a reused one, an unsent request can't be distinguished from a lost response (as in ServiceRunner)
    const dedicated = call.neverRepeat || call.key !== undefined
    const agent = dedicated ? new Agent({ connections: 1, pipelining: 0, connect: { timeout: CONNECT_TIMEOUT_MS } }) : peers.agent
    const result = await this.#exchange(agent, `http://${to.address}:${to.peerPort}`, node, call, body)
    if (dedicated) agent.destroy().catch(() => {})
    return result
  }

  async #exchange (agent: Dispatcher, origin: string, node: string, call: ServiceCallMessage, body: Uint8Array): Promise<Result<ServiceResponse, RouteError>> {
    const { peers } = this.#deps
    return await new Promise(resolve => {
      let status = 0
      let encodedHead = ''
      const received = new ByteBuffer(MAX_SERVICE_RESPONSE_BYTES)
      const deathListener = this.#deps.fleet.onInstanceDead(id => { if (id === node) exchange.abort() })
      const finish = (result: Result<ServiceResponse, RouteError>): void => {
        deathListener.dispose()
        clearTimeout(timer)
        resolve(result)
      }
      const exchange = startExchange(agent, {
        origin,
        path: '/peer/service',
        method: 'POST',
        headers: { [HEADER.peerAuth]: peers.secret, [HEADER.peerCall]: encodeURIComponent(JSON.stringify(call)) },
        ...(body.length > 0 ? { body } : {}),
        headersTimeoutMs: call.timeoutMs + FORWARD_MARGIN_MS,
        bodyTimeoutMs: call.timeoutMs + FORWARD_MARGIN_MS
      }, {
        onHead: (code, headers) => {
          status = code
          encodedHead = String(headers['x-answer'] ?? '')
        },
        onData: chunk => { if (!received.push(chunk)) exchange.abort() },
        onEnd: end => finish(end === 'unknown'
          ? err(routeError('response_lost', 'forward', node, 'reply without length or chunks'))
          : parseResponse(status, encodedHead, received.take(), node)),
        onError: (e, sent) => finish(err(routeError(sent ? 'response_lost' : 'peer_unreachable', 'forward', node, e.message)))
      })
      const timer = setTimeout(() => exchange.abort(), call.timeoutMs + FORWARD_MARGIN_MS)
      if (!peers.links.passes(node)) exchange.abort()
    })
  }
}

/** The error with the less certain outcome; of two with the same certainty the first, as later ones are often its consequence. */
function lessCertain (a: RouteError | undefined, b: RouteError): RouteError {
  if (a === undefined) return b
  return outcomeOf(a) === 'not-run' && outcomeOf(b) !== 'not-run' ? b : a
}

function mayRepeat (error: RouteError, call: ServiceCallMessage): boolean {
  if (error.code === 'overloaded' || error.code === 'deadline_passed') return false
  return outcomeOf(error) === 'not-run' || !call.neverRepeat
}

function parseResponse (status: number, encodedHead: string, body: Uint8Array, node: string): Result<ServiceResponse, RouteError> {
  try {
    if (status === 409) return err(JSON.parse(new TextDecoder().decode(body)) as RouteError)
    if (status !== 200) return err(routeError('response_lost', 'forward', node, `status ${status}`))
    return ok({ ...JSON.parse(decodeURIComponent(encodedHead)) as Omit<ServiceResponse, 'body'>, body })
  } catch {
    return err(routeError('response_lost', 'forward', node, 'malformed reply'))
  }
}

/** New request id of a service call, for logs and for the worker. */
export function createServiceRequestId (): string {
  return `call~${randomId()}`
}
