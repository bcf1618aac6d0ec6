/** Executes calls to plain services: selects a worker, sends the request once, and separates `not-run` from `outcome-unknown`. */
import { err, ok, type Result } from 'neverthrow'
import { Agent } from 'undici'
import { HEADER } from '../../common/Constants.js'
import type { EndpointInfo, VotedConfig } from '../../common/config/VotedConfig.js'
import { Disposable, toDisposable } from '../../common/Disposable.js'
import { outcomeOf, routeError, type RouteError } from '../../common/Errors.js'
import { ByteBuffer } from '../../common/http/ByteBuffer.js'
import type { KeyResult } from '../../common/idempotency/KeyTable.js'
import { parseTicket, scopedKey } from '../../common/idempotency/KeyFormat.js'
import { UNAVAILABLE } from '../../common/placement/LoadView.js'
import type { IClock } from '../../common/Services.js'
import { sha256 } from '../fleet/Crypto.js'
import type { EndpointTracker } from '../engines/EndpointTracker.js'
import type { Fleet } from '../fleet/Fleet.js'
import { startExchange } from '../engines/HttpExchange.js'
import type { KeyOwner } from './KeyOwner.js'
import type { LinkFilter } from '../fleet/LinkFilter.js'
import type { Metrics } from '../telemetry/Metrics.js'
import type { ServiceResponse, ServiceCallMessage } from '../Types.js'

const CONNECT_TIMEOUT_MS = 1_000
const MAX_WORKERS_TRIED = 3
/** Longest response of a plain service. */
export const MAX_SERVICE_RESPONSE_BYTES = 16 * 1024 * 1024
const STRIPPED_HEADERS = new Set(['connection', 'keep-alive', 'transfer-encoding', 'content-length', 'upgrade', 'trailer'])

type ServiceResult = Promise<Result<ServiceResponse, RouteError>>

/** Dependencies of a runner. */
export interface ServiceRunnerDependencies {
  readonly config: () => VotedConfig | undefined
  readonly fleet: Fleet
  readonly endpoints: EndpointTracker
  readonly clock: IClock
  readonly links: LinkFilter
  readonly metrics: Metrics
  readonly keys: KeyOwner
}

/** Executes service calls for this instance's entry and for peers. */
export class ServiceRunner extends Disposable {
  readonly #deps: ServiceRunnerDependencies
  readonly #agent = new Agent({ connections: null, pipelining: 1, connect: { timeout: CONNECT_TIMEOUT_MS } })

  constructor (deps: ServiceRunnerDependencies) {
    super()
    this.#deps = deps
    this.own(toDisposable(() => { this.#agent.destroy().catch(() => {}) }))
  }

  /** Executes a call; at most once if it carries a key. */
  async run (call: ServiceCallMessage, body: Uint8Array): Promise<Result<ServiceResponse, RouteError>> {
    if (call.key === undefined) return await this.#dispatch(call, body, () => true)
    return await this.#runWithKey(call, call.key, body)
  }

  async #runWithKey (call: ServiceCallMessage, key: string, body: Uint8Array): Promise<Result<ServiceResponse, RouteError>> {
    const { keys, fleet, clock, metrics } = this.#deps
    const scoped = scopedKey(call.account, key)
    const fingerprint = sha256(`${call.service}\n${call.method}\n${call.path}\n${sha256(body)}`)
    if (keys.table.conflicts(scoped, fingerprint)) return err(routeError('key_conflict', 'own', fleet.self.id))
    const action = keys.decide(call.account, key)
    metrics.keyedCalls.inc({ action })
    if (action === 'replay') return ok(keys.table.answer(scoped)!)
    if (action === 'unknown') return err(this.#unknownOutcomeError(key))
    const running = keys.table.running(scoped)
    if (action === 'join' && running !== undefined) return toServiceResult(await running, fleet.self.id)
    if (!keys.table.hasCapacity) return err(routeError('overloaded', 'own', fleet.self.id, 'the key table is full', 1000))
    let failure: RouteError | undefined
    const result = await keys.table.begin(scoped, fingerprint, clock.nowMs(), async () => {
      const attempt = await this.#dispatch(call, body, () => keys.ownership(call.account, key).isOwner)
      if (attempt.isOk()) return { state: 'answered', answer: attempt.value }
      failure = attempt.error
      return { state: outcomeOf(attempt.error) }
    })
    return failure === undefined ? toServiceResult(result, fleet.self.id) : err(failure)
  }

  #unknownOutcomeError (key: string): RouteError {
    const self = this.#deps.fleet.self.id
    return parseTicket(key) !== undefined
      ? routeError('ticket_lost', 'own', self, 'The ticket is not one of this process.')
      : routeError('owner_cannot_vouch', 'own', self, 'Use a fresh key (UUID version 7, ULID or ticket) once the outcome is settled.', 5_000)
  }

  /** Tries workers in turn, up to MAX_WORKERS_TRIED; a call that ran or may have run is not sent to another worker. */
  async #dispatch (call: ServiceCallMessage, body: Uint8Array, stillOwned: () => boolean): Promise<Result<ServiceResponse, RouteError>> {
    const tried: string[] = []
    let last = routeError('no_endpoint', 'place', call.service, 'no usable worker', 1_000)
    const deadline = this.#deps.clock.nowMs() + call.timeoutMs
    while (tried.length < MAX_WORKERS_TRIED) {
      const worker = await this.#pickWorker(call.service, tried)
      if (worker === undefined) return err(last)
      const remainingMs = deadline - this.#deps.clock.nowMs()
      if (remainingMs <= 0) return err(tried.length === 0 ? routeError('deadline_passed', 'dispatch', worker.id) : last)
      tried.push(worker.id)
      const result = await this.#send(call, body, worker, remainingMs, stillOwned)
      if (result.isOk() || outcomeOf(result.error) !== 'not-run') return result
      last = result.error
      this.#deps.metrics.retries.inc({ cause: 'not_run' })
    }
    return err(last)
  }

  /** The least loaded available worker; those of this data centre take precedence. */
  async #pickWorker (service: string, tried: readonly string[]): Promise<EndpointInfo | undefined> {
    const { endpoints, clock, fleet } = this.#deps
    const workers = (this.#deps.config()?.workersOf(service) ?? []).filter(w => !tried.includes(w.id))
    const local = workers.filter(w => w.dataCentre === fleet.self.dataCentre)
    for (const group of [local, workers]) {
      await Promise.all(group.map(w => endpoints.load(w)))
      const now = clock.nowMs()
      const open = group.filter(w => (endpoints.work(w.hash, now) ?? UNAVAILABLE) !== UNAVAILABLE)
      open.sort((a, b) => endpoints.work(a.hash, now)! - endpoints.work(b.hash, now)!)
      if (open[0] !== undefined) return open[0]
    }
    return undefined
  }

  async #send (call: ServiceCallMessage, body: Uint8Array, worker: EndpointInfo, timeoutMs: number, stillOwned: () => boolean): ServiceResult {
    const { clock, links } = this.#deps
    if (!links.passes(worker.id)) return err(routeError('peer_unreachable', 'dispatch', worker.id, 'link is down'))
    const load = await this.#deps.endpoints.load(worker)
    const item = load.begin(call.account, 1, clock.nowMs())
    const result = await this.#exchange(call, body, worker, timeoutMs, stillOwned)
    load.end(item)
    if (result.isErr()) load.recordFailure(clock.nowMs())
    else load.recordSuccess()
    return result
  }

  async #exchange (call: ServiceCallMessage, body: Uint8Array, worker: EndpointInfo, timeoutMs: number, stillOwned: () => boolean): ServiceResult {
    // a dedicated connection for work that must not repeat: on a reused one, a close by the worker can't be distinguished from a lost response
    const agent = call.neverRepeat ? new Agent({ connections: 1, pipelining: 0, connect: { timeout: CONNECT_TIMEOUT_MS } }) : this.#agent
    const answer = await new Promise<Result<ServiceResponse, RouteError>>(resolve => {
      let status = 0
      let headers: Record<string, string> = {}
      const received = new ByteBuffer(MAX_SERVICE_RESPONSE_BYTES)
      const exchange = startExchange(agent, {
        origin: `http://${worker.address}`,
        path: call.path,
        method: call.method,
        headers: { ...call.headers, [HEADER.requestId]: call.requestId, ...(call.key === undefined ? {} : { [HEADER.idempotencyKey]: call.key }) },
        ...(body.length > 0 ? { body } : {}),
        headersTimeoutMs: timeoutMs,
        bodyTimeoutMs: timeoutMs
      }, {
        onSending: stillOwned,
        onHead: (code, head) => {
          status = code
          headers = forwardedHeaders(head)
        },
        onData: chunk => { if (!received.push(chunk)) exchange.abort() },
        onEnd: end => {
          if (headers['x-not-run'] !== undefined) resolve(err(routeError('endpoint_refused', 'dispatch', worker.id, `status ${status}`)))
          else if (end === 'unknown') resolve(err(routeError('response_lost', 'dispatch', worker.id, 'answer without length or chunks')))
          else resolve(ok({ status, headers, body: received.take() }))
        },
        onError: (e, sent) => resolve(err(this.#connectionError(e, sent, worker)))
      })
      const timer = setTimeout(() => exchange.abort(), timeoutMs)
      timer.unref()
    })
    if (agent !== this.#agent) agent.destroy().catch(() => {})
    return answer
  }

  #connectionError (e: Error, sent: boolean, worker: EndpointInfo): RouteError {
    if (!sent) return routeError('peer_unreachable', 'dispatch', worker.id, e.message)
    return routeError('response_lost', 'dispatch', worker.id, e.message)
  }
}

function forwardedHeaders (head: Readonly<Record<string, string | string[] | undefined>>): Record<string, string> {
  const forwarded: Record<string, string> = {}
  for (const [name, value] of Object.entries(head)) {
    if (value !== undefined && !STRIPPED_HEADERS.has(name)) forwarded[name] = Array.isArray(value) ? value.join(', ') : value
  }
  return forwarded
}

function toServiceResult (result: KeyResult, peer: string): Result<ServiceResponse, RouteError> {
  if (result.state === 'answered') return ok(result.answer)
  if (result.state === 'not-run') return err(routeError('endpoint_refused', 'own', peer))
  return err(routeError('response_lost', 'own', peer, 'an earlier attempt with this key has no known outcome'))
}
