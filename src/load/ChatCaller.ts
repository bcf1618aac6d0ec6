/**
 * Client for streamed chats: checks that the answer is complete and belongs to the request, and resumes the stream
 * through another entry when the connection breaks.
 */
import type { Dispatcher } from 'undici'
import { HEADER } from '../common/Constants.js'
import type { ChatRequest } from '../common/generated/ChatRequest.js'
import type { Outcome } from '../common/Types.js'
import { answerText } from '../enginemodel/Answer.js'
import type { Balancer } from './Balancer.js'
import type { CallResult, StreamInterruption } from './Types.js'

const MAX_RESUMES = 8
const RESUME_DELAY_MS = 200
const STALL_TIMEOUT_MS = 8_000 // without data for this long, the caller resumes through another entry

interface StreamProgress {
  requestId: string
  lastEventId: number
  text: string
  done: boolean
  /** Event ids arrived in order, without gaps or duplicates. */
  ordered: boolean
  firstTokenMs: number
  lastEventAt: number
  maxGapMs: number
}

interface Attempt {
  readonly kind: 'done' | 'cut' | 'refused' | 'unsent'
  readonly outcome: Outcome
  readonly code: string
}

/** Sends chats with one API key. */
export class ChatCaller {
  readonly #agent: Dispatcher
  readonly #balancer: Balancer
  readonly #apiKey: string

  constructor (agent: Dispatcher, balancer: Balancer, apiKey: string) {
    this.#agent = agent
    this.#balancer = balancer
    this.#apiKey = apiKey
  }

  /** Sends one chat and reads the answer to its end; retries or resumes through another entry when a connection fails. */
  async chat (account: string, req: ChatRequest, headers: Readonly<Record<string, string>> = {}): Promise<CallResult> {
    const startedAt = performance.now()
    const progress: StreamProgress = { requestId: '', lastEventId: 0, text: '', done: false, ordered: true, firstTokenMs: 0, lastEventAt: startedAt, maxGapMs: 0 }
    const body = JSON.stringify({ ...req, stream: true })
    let entry = this.#balancer.pick()
    let attempt = await this.#send(entry, '/v1/chat/completions', 'POST', body, headers, progress, startedAt)
    const interruptions: StreamInterruption[] = []
    for (let i = 0; i < MAX_RESUMES && attempt.kind !== 'done'; i++) {
      if (attempt.kind === 'refused' && i >= interruptions.length) break
      if (attempt.kind === 'cut') interruptions.push({ entry, at: performance.now() })
      await new Promise(resolve => setTimeout(resolve, RESUME_DELAY_MS))
      entry = this.#balancer.pick(entry)
      attempt = progress.requestId === ''
        ? await this.#send(entry, '/v1/chat/completions', 'POST', body, headers, progress, startedAt)
        : await this.#send(entry, `/v1/chat/streams/${progress.requestId}`, 'GET', undefined, { [HEADER.lastEventId]: String(progress.lastEventId) }, progress, startedAt)
    }
    return {
      outcome: attempt.kind === 'done' ? 'answered' : attempt.outcome,
      code: attempt.code,
      account,
      correct: attempt.kind === 'done' && progress.ordered && progress.text === answerText(req),
      text: progress.text,
      cuts: interruptions,
      firstTokenMs: progress.firstTokenMs,
      totalMs: performance.now() - startedAt,
      maxGapMs: progress.maxGapMs,
      tokens: progress.lastEventId,
      entry
    }
  }

  async #send (entry: string, path: string, method: 'GET' | 'POST', body: string | undefined, headers: Readonly<Record<string, string>>, progress: StreamProgress, startedAt: number): Promise<Attempt> {
    let sent = false
    return await new Promise(resolve => {
      let status = 0
      let errorBody = ''
      let outcome: Outcome = 'outcome-unknown'
      const reader = new SseReader(progress, startedAt)
      this.#agent.dispatch({
        origin: entry,
        path,
        method,
        headers: { authorization: `Bearer ${this.#apiKey}`, 'content-type': 'application/json', ...headers },
        body: body ?? null,
        headersTimeout: STALL_TIMEOUT_MS,
        bodyTimeout: STALL_TIMEOUT_MS
      }, {
        onRequestStart: () => { sent = true },
        onResponseStart: (_c, code, resHeaders) => {
          status = code
          outcome = (resHeaders[HEADER.outcome] as Outcome | undefined) ?? outcome
          if (code === 200) progress.requestId = String(resHeaders[HEADER.requestId] ?? progress.requestId)
        },
        onResponseData: (_c, chunk) => {
          if (status === 200) reader.push(chunk.toString())
          else errorBody += chunk.toString()
        },
        onResponseEnd: () => {
          if (status !== 200) resolve({ kind: 'refused', outcome, code: errorCodeOf(errorBody) })
          else if (progress.done) resolve({ kind: 'done', outcome: 'answered', code: '' })
          else resolve({ kind: reader.error === '' ? 'cut' : 'refused', outcome: 'outcome-unknown', code: reader.error })
        },
        onResponseError: (_c, e) => resolve({ kind: sent ? 'cut' : 'unsent', outcome: sent ? 'outcome-unknown' : 'not-run', code: e.message })
      })
    })
  }
}

/** Parses server-sent events and updates the progress of the stream. */
class SseReader {
  readonly #progress: StreamProgress
  readonly #startedAt: number
  #buffer = ''
  error = ''

  constructor (progress: StreamProgress, startedAt: number) {
    this.#progress = progress
    this.#startedAt = startedAt
  }

  push (chunk: string): void {
    const events = (this.#buffer + chunk).split('\n\n')
    this.#buffer = events.pop()!
    for (const event of events) this.#handleEvent(event)
  }

  #handleEvent (event: string): void {
    const progress = this.#progress
    const now = performance.now()
    const id = Number(/^id: (\d+)$/m.exec(event)?.[1] ?? 0)
    const data = /^data: (.*)$/m.exec(event)?.[1] ?? ''
    if (id === 0) {
      this.error = errorCodeOf(data)
      return
    }
    if (id !== progress.lastEventId + 1) progress.ordered = false
    if (progress.lastEventId === 0) progress.firstTokenMs = now - this.#startedAt
    else progress.maxGapMs = Math.max(progress.maxGapMs, now - progress.lastEventAt)
    progress.lastEventAt = now
    progress.lastEventId = id
    if (data === '[DONE]') {
      progress.done = true
      return
    }
    const chunk = JSON.parse(data) as { readonly choices: ReadonlyArray<{ readonly delta: { readonly content?: string } }> }
    progress.text += chunk.choices[0]?.delta.content ?? ''
  }
}

/** Error code in a JSON error body; `unreadable` if there is none. */
export function errorCodeOf (text: string): string {
  try {
    return String((JSON.parse(text) as { readonly error: { readonly code: string } }).error.code)
  } catch {
    return 'unreadable'
  }
}
