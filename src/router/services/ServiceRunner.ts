/** Runs calls to plain services: picks a worker, sends once, and tells apart what did not run from what may have. */
import { err, ok, type Result } from 'neverthrow'
import { Agent } from 'undici'
import { HEADER } from '../../common/Constants.js'
import type { EndpointInfo, VotedConfig } from '../../common/config/VotedConfig.js'
import { Disposable, toDisposable } from '../../common/Disposable.js'
import { outcomeOf, routeError, type RouteError } from '../../common/Errors.js'
import type { KeyResult } from '../../common/once/KeyTable.js'
import { parseTicket, scopedKey } from '../../common/once/KeyFormat.js'
import { UNAVAILABLE } from '../../common/placement/LoadView.js'
import type { IClock } from '../../common/Services.js'
import { sha256 } from '../fleet/Crypto.js'
import type { Endpoints } from '../engines/Endpoints.js'
import type { Fleet } from '../fleet/Fleet.js'
import { startExchange } from '../engines/HttpStream.js'
import type { KeyOwner } from './KeyOwner.js'
import type { LinkFilter } from '../fleet/LinkFilter.js'
import type { Metrics } from '../telemetry/Metrics.js'
import type { ServiceAnswer, ServiceCallMessage } from '../Types.js'

const CONNECT_TIMEOUT_MS = 1_000
const MAX_WORKERS_TRIED = 3
const MAX_ANSWER_BYTES = 16 * 1024 * 1024
const DROPPED_HEADERS = new Set(['connection', 'keep-alive', 'transfer-encoding', 'content-length', 'upgrade', 'trailer'])

type ServiceResult = Promise<Result<ServiceAnswer, RouteError>>

/** Parts that a runner works with. */
export interface RunnerParts {
  readonly config: () => VotedConfig | undefined
  readonly fleet: Fleet
  readonly endpoints: Endpoints
  readonly clock: IClock
  readonly links: LinkFilter
  readonly metrics: Metrics
  readonly keys: KeyOwner
}

export class ServiceRunner extends Disposable {
  readonly #parts: RunnerParts
  readonly #agent = new Agent({ connections: null, pipelining: 1, connect: { timeout: CONNECT_TIMEOUT_MS } })

  constructor (parts: RunnerParts) {
    super()
    this.#parts = parts
    this.own(toDisposable(() => { this.#agent.destroy().catch(() => {}) }))
  }

  /** Runs a call; one with a key runs at most once. */
  async run (call: ServiceCallMessage, body: Uint8Array): Promise<Result<ServiceAnswer, RouteError>> {
    if (call.key === undefined) return await this.#dispatch(call, body, () => true)
    return await this.#runKeyed(call, call.key, body)
  }

  async #runKeyed (call: ServiceCallMessage, key: string, body: Uint8Array): Promise<Result<ServiceAnswer, RouteError>> {
    const { keys, fleet, clock, metrics } = this.#parts
    const scoped = scopedKey(call.account, key)
    const fingerprint = sha256(`${call.service}\n${call.method}\n${call.path}\n${sha256(body)}`)
    if (keys.ledger.conflicts(scoped, fingerprint)) return err(routeError('key_conflict', 'own', fleet.self.id))
    const action = keys.decide(call.account, key)
    metrics.keyed.inc({ action })
    if (action === 'replay') return ok(keys.ledger.answer(scoped)!)
    if (action === 'unknown') return err(this.#unvouched(key))
    const running = keys.ledger.running(scoped)
    if (action === 'join' && running !== undefined) return resultOf(await running, fleet.self.id)
    if (!keys.ledger.hasCapacity) return err(routeError('overloaded', 'own', fleet.self.id, 'too many keys are remembered', 1000))
    let failure: RouteError | undefined
    const result = await keys.ledger.begin(scoped, fingerprint, clock.nowMs(), async () => {
      const sent = await this.#dispatch(call, body, () => keys.right(call.account, key).isOwner)
      if (sent.isOk()) return { state: 'answered', answer: sent.value }
      failure = sent.error
      return { state: outcomeOf(sent.error) }
    })
    return failure === undefined ? resultOf(result, fleet.self.id) : err(failure)
  }

  #unvouched (key: string): RouteError {
    const self = this.#parts.fleet.self.id
    return parseTicket(key) !== undefined
      ? routeError('ticket_lost', 'own', self, 'The ticket is not one of this process.')
      : routeError('owner_cannot_vouch', 'own', self, 'Use a fresh key (UUID version 7, ULID or ticket) once the outcome is settled.', 5_000)
  }

  /** Tries workers until one ran the call or may have; only what did not run goes to another worker. */
  async #dispatch (call: ServiceCallMessage, body: Uint8Array, stillMine: () => boolean): Promise<Result<ServiceAnswer, RouteError>> {
    const tried: string[] = []
    let last = routeError('no_endpoint', 'place', call.service, 'no usable worker', 1_000)
    const deadline = this.#parts.clock.nowMs() + call.timeoutMs
    while (tried.length < MAX_WORKERS_TRIED) {
      const worker = await this.#pick(call.service, tried)
      if (worker === undefined) return err(last)
      const left = deadline - this.#parts.clock.nowMs()
      if (left <= 0) return err(tried.length === 0 ? routeError('deadline_passed', 'dispatch', worker.id) : last)
      tried.push(worker.id)
      const result = await this.#send(call, body, worker, left, stillMine)
      if (result.isOk() || outcomeOf(result.error) !== 'not-run') return result
      last = result.error
      this.#parts.metrics.retries.inc({ cause: 'not_run' })
    }
    return err(last)
  }

  /** The worker with the least load, one of this data centre before others. */
  async #pick (service: string, tried: readonly string[]): Promise<EndpointInfo | undefined> {
    const { endpoints, clock, fleet } = this.#parts
    const workers = (this.#parts.config()?.workersOf(service) ?? []).filter(w => !tried.includes(w.id))
    const near = workers.filter(w => w.dataCentre === fleet.self.dataCentre)
    for (const group of [near, workers]) {
      await Promise.all(group.map(w => endpoints.load(w)))
      const now = clock.nowMs()
      const open = group.filter(w => (endpoints.work(w.hash, now) ?? UNAVAILABLE) !== UNAVAILABLE)
      open.sort((a, b) => endpoints.work(a.hash, now)! - endpoints.work(b.hash, now)!)
      if (open[0] !== undefined) return open[0]
    }
    return undefined
  }

  async #send (call: ServiceCallMessage, body: Uint8Array, worker: EndpointInfo, timeoutMs: number, stillMine: () => boolean): ServiceResult {
    const { clock, links } = this.#parts
    if (!links.passes(worker.id)) return err(routeError('peer_unreachable', 'dispatch', worker.id, 'link is down'))
    const load = await this.#parts.endpoints.load(worker)
    const item = load.begin(call.account, 1, clock.nowMs())
    const result = await this.#exchange(call, body, worker, timeoutMs, stillMine)
    load.end(item)
    if (result.isErr()) load.recordFailure(clock.nowMs())
    else load.recordSuccess()
    return result
  }

  async #exchange (call: ServiceCallMessage, body: Uint8Array, worker: EndpointInfo, timeoutMs: number, stillMine: () => boolean): ServiceResult {
    // a connection of its own for work that must not repeat: on a kept one, a close by the other side can't be told from a lost answer
    const agent = call.neverRepeat ? new Agent({ connections: 1, pipelining: 0, connect: { timeout: CONNECT_TIMEOUT_MS } }) : this.#agent
    const answer = await new Promise<Result<ServiceAnswer, RouteError>>(resolve => {
      let status = 0
      let headers: Record<string, string> = {}
      let size = 0
      const chunks: Buffer[] = []
      const exchange = startExchange(agent, {
        origin: `http://${worker.address}`,
        path: call.path,
        method: call.method,
        headers: { ...call.headers, [HEADER.requestId]: call.requestId, ...(call.key === undefined ? {} : { [HEADER.idempotencyKey]: call.key }) },
        ...(body.length > 0 ? { body } : {}),
        headersTimeoutMs: timeoutMs,
        bodyTimeoutMs: timeoutMs
      }, {
        onSending: stillMine,
        onHead: (code, head) => {
          status = code
          headers = passedHeaders(head)
        },
        onData: chunk => {
          size += chunk.length
          if (size > MAX_ANSWER_BYTES) exchange.abort()
          else chunks.push(chunk)
        },
        onEnd: () => {
          if (headers['x-not-run'] !== undefined) resolve(err(routeError('endpoint_refused', 'dispatch', worker.id, `status ${status}`)))
          else resolve(ok({ status, headers, body: Buffer.concat(chunks) }))
        },
        onError: (e, sent) => resolve(err(this.#lost(e, sent, worker)))
      })
      const timer = setTimeout(() => exchange.abort(), timeoutMs)
      timer.unref()
    })
    if (agent !== this.#agent) agent.destroy().catch(() => {})
    return answer
  }

  #lost (e: Error, sent: boolean, worker: EndpointInfo): RouteError {
    if (!sent) return routeError('peer_unreachable', 'dispatch', worker.id, e.message)
    return routeError('response_lost', 'dispatch', worker.id, e.message)
  }
}

function passedHeaders (head: Readonly<Record<string, string | string[] | undefined>>): Record<string, string> {
  const passed: Record<string, string> = {}
  for (const [name, value] of Object.entries(head)) {
    if (value !== undefined && !DROPPED_HEADERS.has(name)) passed[name] = Array.isArray(value) ? value.join(', ') : value
  }
  return passed
}

function resultOf (result: KeyResult, peer: string): Result<ServiceAnswer, RouteError> {
  if (result.state === 'answered') return ok(result.answer)
  if (result.state === 'not-run') return err(routeError('endpoint_refused', 'own', peer))
  return err(routeError('response_lost', 'own', peer, 'an earlier attempt with this key has no known outcome'))
}
