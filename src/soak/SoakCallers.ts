/** Callers of the soak test: each sends one request after the other to a gateway, on one keep-alive connection while it lasts. */
import { Agent } from 'node:http'
import { setTimeout as sleep } from 'node:timers/promises'
import { Disposable } from '../common/Disposable.js'
import type { SeededRandom } from '../common/SeededRandom.js'
import { sendClientRequest } from '../standin/PlatformClient.js'
import type { SoakGateway, SoakSite } from './SoakSite.js'
import { REQUEST_KINDS, type CallRecord, type RequestKind } from './Types.js'

const DEADLINE_MS = 2_500
const RETRY_PAUSE_MS = 100 // after a refused connection
const ABORT_SHARE = 0.04 // share of requests that the caller aborts
const ABORT_AFTER_MS = 60
const SWITCH_SHARE = 0.02 // share of completed requests after which the caller switches to another gateway
const SESSIONS = 24
const TEMPLATES = 3

/** Runs the callers and records their calls. */
export class SoakCallers extends Disposable {
  readonly calls: CallRecord[] = []
  readonly #site: SoakSite
  readonly #random: SeededRandom
  readonly #meanPauseMs: number
  readonly #agents: Agent[] = []
  #seq = 0

  /** @param meanPauseMs mean time between the requests of a caller. */
  constructor (site: SoakSite, random: SeededRandom, meanPauseMs: number) {
    super()
    this.#site = site
    this.#random = random
    this.#meanPauseMs = meanPauseMs
  }

  /** Runs `count` callers until disposed; each waits for its last request. */
  async run (count: number): Promise<void> {
    await Promise.all(Array.from({ length: count }, async (_, i) => { await this.#runCaller(i) }))
    for (const agent of this.#agents) agent.destroy()
  }

  async #runCaller (index: number): Promise<void> {
    const agent = new Agent({ keepAlive: true, maxSockets: 1 })
    this.#agents.push(agent)
    let gateway = this.#pickGateway()
    while (!this.isDisposed) {
      await sleep(this.#random.exponential(this.#meanPauseMs))
      const call = await this.#sendRequest(gateway, agent, index)
      if (call.end === 'no-connection') await sleep(RETRY_PAUSE_MS)
      if (call.end !== 'whole' || this.#random.next() < SWITCH_SHARE) gateway = this.#pickGateway()
    }
  }

  async #sendRequest (gateway: SoakGateway, agent: Agent, index: number): Promise<CallRecord> {
    const kind: RequestKind = REQUEST_KINDS[this.#random.below(REQUEST_KINDS.length)]!
    const id = `q${this.#seq++}`
    const account = index % 2 === 0 ? 'looms' : 'beads'
    const startedAt = performance.now()
    const answer = await sendClientRequest(gateway.callerProxyPort, agent, {
      id,
      route: kind,
      account,
      deadlineMs: DEADLINE_MS,
      promptParts: kind === 'stream' || kind === 'stream-resumable' ? this.#promptParts(id) : [],
      abortAfterMs: this.#random.next() < ABORT_SHARE ? ABORT_AFTER_MS : Infinity
    })
    const { end, status, body, signature, reused } = answer
    const call = { id, kind, gateway: gateway.name, account, startedAt, endedAt: performance.now(), end, status, body, signature, reused, answerId: answer.id }
    this.calls.push(call)
    return call
  }

  /** Prompt with a template and a session that repeat, so that prefixes can be reused, and a part of its own. */
  #promptParts (id: string): string[] {
    const session = this.#random.below(SESSIONS)
    return [`t${session % TEMPLATES}:400`, `s${session}:600`, `${id}:50`]
  }

  #pickGateway (): SoakGateway {
    return this.#site.gateways[this.#random.below(this.#site.gateways.length)]!
  }
}
