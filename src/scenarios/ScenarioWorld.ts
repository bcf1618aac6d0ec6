/** Cucumber world of the scenarios: each has a small site of its own and the results that its callers got. */
import { setWorldConstructor, World } from '@cucumber/cucumber'
import { Agent } from 'undici'
import type { ChatRequest } from '../common/generated/ChatRequest.js'
import { SeededRandom } from '../common/SeededRandom.js'
import { Balancer } from '../load/Balancer.js'
import { ChatCaller } from '../load/ChatCaller.js'
import { ServiceCaller, type ServiceResult } from '../load/ServiceCaller.js'
import type { CallResult } from '../load/Types.js'
import { Site } from '../tools/Site.js'
import { apiKeyOf, referenceSiteSpec, type SiteSpec } from '../tools/SiteSpec.js'

export const SEED = 1
const PORTS_PER_WORKER = 1_000
const FIRST_PORT = 30_000

/** Three data centres with seven routers, three engines and three workers in all; ports differ between parallel Cucumber workers. */
function smallSiteSpec (): SiteSpec {
  const worker = Number(process.env.CUCUMBER_WORKER_ID ?? 0)
  return { ...referenceSiteSpec(FIRST_PORT + worker * PORTS_PER_WORKER), routers: 7, engines: 3, workers: 3, listLagMs: 1_500 }
}

/** State of one scenario. */
export class ScenarioWorld extends World {
  readonly site = new Site(smallSiteSpec())
  readonly random = new SeededRandom(SEED)
  readonly agent = new Agent({ connections: null, pipelining: 1, connect: { timeout: 1_000 } })
  readonly balancer = new Balancer(this.site.entries, this.random, this.agent)
  readonly caller = new ServiceCaller(this.agent, apiKeyOf('looms'))
  /** Results of all chats sent so far. */
  readonly chats: Array<Promise<CallResult>> = []
  /** Load that runs while the scenario goes on. */
  readonly background: Array<Promise<unknown>> = []
  /** Results of all marked calls sent so far. */
  attempts: ServiceResult[] = []
  pendingCall: Promise<ServiceResult> | undefined
  callId = ''
  /** Key of the current call; undefined for calls without a key. */
  idempotencyKey: string | undefined
  /** Entry that the current call was first sent to. */
  entry = ''
  /** Router that owns the idempotency key. */
  keyOwner = ''
  /** Digest of the file that is expected to be in force. */
  configDigest = ''
  /** Router that later steps refer to: the issuer of the ticket, or the router that first got the call. */
  selectedRouter = ''
  /** Checks of the answers that the client library returned. */
  clientLibraryChecks: unknown[] = []
  exitCodes: Array<number | null> = []
  errorResponse: { readonly status: number, readonly code: string } | undefined
  #chatCount = 0
  #callCount = 0

  /** Sends a chat in the background; its text is unique unless `text` is given. */
  sendChat (answerTokens = 20, text?: string): Promise<CallResult> {
    const n = this.#chatCount++
    const caller = new ChatCaller(this.agent, this.balancer, apiKeyOf('looms'))
    const req: ChatRequest = { model: 'assistant', messages: [{ role: 'user', content: text ?? `chat ${n}` }], max_tokens: answerTokens, user: `${n}` }
    const result = caller.chat('looms', req)
    this.chats.push(result)
    return result
  }

  /** Sets and returns a new unique call id. */
  nextCallId (): string {
    this.callId = `c${this.#callCount++}`
    return this.callId
  }

  /** Entry of a router: the URL of its caller port. */
  entryOfRouter (router: string): string {
    const found = this.site.names.routers.find(r => r.id === router)!
    return `http://127.0.0.1:${found.callerPort}`
  }

  /** Id of the router of an entry. */
  routerOfEntry (entry: string): string {
    return this.site.names.routers[this.site.entries.indexOf(entry)]!.id
  }

  /** Number of executions of a call over all workers that answer. */
  async runCount (callId = this.callId): Promise<number> {
    return (await this.site.workerStats()).reduce((sum, w) => sum + (w.runs[callId] ?? 0), 0)
  }

  /** Sends the current marked call to an entry and records the result. */
  async call (entry: string, key = this.idempotencyKey, headers: Readonly<Record<string, string>> = {}): Promise<ServiceResult> {
    const result = await this.caller.call(entry, 'orders', '/reservations', { callId: this.callId }, key, headers)
    this.attempts.push(result)
    return result
  }
}

setWorldConstructor(ScenarioWorld)
