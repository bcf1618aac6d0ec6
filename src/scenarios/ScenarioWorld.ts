/** World of the scenarios: one small site each, with what its callers saw. */
import { setWorldConstructor, World } from '@cucumber/cucumber'
import { Agent } from 'undici'
import type { ChatRequest } from '../common/generated/ChatRequest.js'
import { SeededRandom } from '../common/SeededRandom.js'
import { Balancer } from '../load/Balancer.js'
import { ChatCaller } from '../load/ChatCaller.js'
import { ServiceCaller, type ServiceResult } from '../load/ServiceCaller.js'
import type { CallResult } from '../load/Types.js'
import { Site } from '../tools/Site.js'
import { referenceSiteSpec, apiKeyOf, type SiteSpec } from '../tools/SiteSpec.js'

export const SEED = 1
const PORTS_PER_WORKER = 1_000
const FIRST_PORT = 30_000

/** Three data centres with two routers, one engine and one worker each. */
function smallSiteSpec (): SiteSpec {
  const worker = Number(process.env.CUCUMBER_WORKER_ID ?? 0)
  return { ...referenceSiteSpec(FIRST_PORT + worker * PORTS_PER_WORKER), routers: 7, engines: 3, workers: 3, listLagMs: 1_500 }
}

export class ScenarioWorld extends World {
  readonly site = new Site(smallSiteSpec())
  readonly random = new SeededRandom(SEED)
  readonly agent = new Agent({ connections: null, pipelining: 1, connect: { timeout: 1_000 } })
  readonly balancer = new Balancer(this.site.entries, this.random, this.agent)
  readonly caller = new ServiceCaller(this.agent, apiKeyOf('looms'))
  readonly chats: Array<Promise<CallResult>> = []
  readonly background: Array<Promise<unknown>> = []
  attempts: ServiceResult[] = []
  pendingCall: Promise<ServiceResult> | undefined
  callId = ''
  idempotencyKey: string | undefined
  entry = ''
  keyOwner = ''
  configDigest = ''
  selectedRouter = ''
  exitCodes: Array<number | null> = []
  errorResponse: { readonly status: number, readonly code: string } | undefined
  #chatCount = 0
  #callCount = 0

  /** Sends a chat of its own text in the background. */
  sendChat (answerTokens = 20, text?: string): Promise<CallResult> {
    const n = this.#chatCount++
    const caller = new ChatCaller(this.agent, this.balancer, apiKeyOf('looms'))
    const req: ChatRequest = { model: 'assistant', messages: [{ role: 'user', content: text ?? `chat ${n}` }], max_tokens: answerTokens, user: `${n}` }
    const result = caller.chat('looms', req)
    this.chats.push(result)
    return result
  }

  /** A call id that no other call has. */
  nextCallId (): string {
    this.callId = `c${this.#callCount++}`
    return this.callId
  }

  entryOfRouter (router: string): string {
    const found = this.site.names.routers.find(r => r.id === router)!
    return `http://127.0.0.1:${found.callerPort}`
  }

  routerOfEntry (entry: string): string {
    return this.site.names.routers[this.site.entries.indexOf(entry)]!.id
  }

  /** Runs of a call over all workers that still answer. */
  async runCount (callId = this.callId): Promise<number> {
    return (await this.site.workerStats()).reduce((sum, w) => sum + (w.runs[callId] ?? 0), 0)
  }

  async call (entry: string, key = this.idempotencyKey, headers: Readonly<Record<string, string>> = {}): Promise<ServiceResult> {
    const result = await this.caller.call(entry, 'orders', '/reservations', { callId: this.callId }, key, headers)
    this.attempts.push(result)
    return result
  }
}

setWorldConstructor(ScenarioWorld)
