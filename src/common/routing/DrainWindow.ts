/**
 * Requests that an instance still accepts while it drains. Callers keep using open connections until the process exits.
 * Requests that are certain to end in time are served; a long answer that begins late would be cut off, so it is rejected
 * as not run.
 */
import type { Prompt } from './Types.js'

const ACCEPT_ALL_MS = 2_500 // the load balancer still sends new connections for about two of its probe intervals
const DECODE_MS_PER_TOKEN = 12 // on a busy engine
const PREFILL_TOKENS_PER_MS = 20 // prefill rate of a busy engine
const SHORT_ANSWER_MS = 800

/** Start and end of the drain of an instance. */
export interface DrainWindow {
  readonly startedAt: number
  /** When the process exits at the latest. */
  readonly endsAt: number
}

/** Longest time in ms that an answer may take; answers of plain services have no prompt. */
export function maxAnswerMs (prompt: Prompt | undefined): number {
  if (prompt === undefined) return SHORT_ANSWER_MS
  return prompt.promptTokens / PREFILL_TOKENS_PER_MS + prompt.maxAnswerTokens * DECODE_MS_PER_TOKEN
}

/** True when a request that arrives at `now` is accepted. */
export function acceptsWhileDraining (drain: DrainWindow, prompt: Prompt | undefined, now: number): boolean {
  return now - drain.startedAt < ACCEPT_ALL_MS || now + maxAnswerMs(prompt) < drain.endsAt
}
