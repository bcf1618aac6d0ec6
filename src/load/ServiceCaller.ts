/** Client for plain services; takes the outcome of a call from the outcome header only. */
import { randomBytes } from 'node:crypto'
import { request, type Dispatcher } from 'undici'
import { HEADER } from '../common/Constants.js'
import type { Outcome } from '../common/Types.js'
import { errorCodeOf } from './ChatCaller.js'

type Headers = Readonly<Record<string, string>>

/** Result of one service call. */
export interface ServiceResult {
  readonly outcome: Outcome
  readonly code: string
  readonly status: number
  readonly body: string
}

/** Creates an idempotency key: a UUID version 7, which contains its creation time. */
export function createIdempotencyKey (now = Date.now()): string {
  const hex = now.toString(16).padStart(12, '0') + randomBytes(10).toString('hex')
  const variant = (parseInt(hex[16]!, 16) & 3 | 8).toString(16)
  return `${hex.slice(0, 8)}-${hex.slice(8, 12)}-7${hex.slice(13, 16)}-${variant}${hex.slice(17, 20)}-${hex.slice(20, 32)}`
}

/** Calls plain services and requests tickets with one API key. */
export class ServiceCaller {
  readonly #agent: Dispatcher
  readonly #apiKey: string

  constructor (agent: Dispatcher, apiKey: string) {
    this.#agent = agent
    this.#apiKey = apiKey
  }

  /** Sends one call through an entry. A refused connection means `not-run`, any other connection error `outcome-unknown`. */
  async call (entry: string, service: string, path: string, body: object, idempotencyKey?: string, headers: Headers = {}): Promise<ServiceResult> {
    try {
      const res = await request(`${entry}/v1/services/${service}${path}`, {
        method: 'POST',
        dispatcher: this.#agent,
        headers: {
          authorization: `Bearer ${this.#apiKey}`,
          'content-type': 'application/json',
          ...(idempotencyKey === undefined ? {} : { [HEADER.idempotencyKey]: idempotencyKey }),
          ...headers
        },
        body: JSON.stringify(body)
      })
      const text = await res.body.text()
      const outcome = res.headers[HEADER.outcome] as Outcome | undefined ?? 'outcome-unknown'
      return { outcome, code: outcome === 'answered' ? '' : errorCodeOf(text), status: res.statusCode, body: text }
    } catch (e) {
      const refused = (e as NodeJS.ErrnoException).code === 'ECONNREFUSED'
      return { outcome: refused ? 'not-run' : 'outcome-unknown', code: String((e as NodeJS.ErrnoException).code ?? e), status: 0, body: '' }
    }
  }

  /** Requests a ticket from an entry; undefined if none was issued. */
  async requestTicket (entry: string): Promise<string | undefined> {
    try {
      const res = await request(`${entry}/v1/tickets`, { method: 'POST', dispatcher: this.#agent, headers: { authorization: `Bearer ${this.#apiKey}` } })
      const text = await res.body.text()
      return res.statusCode === 201 ? (JSON.parse(text) as { readonly ticket: string }).ticket : undefined
    } catch {
      return undefined
    }
  }
}
