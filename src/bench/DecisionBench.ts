/** Measures the time of one routing decision and the memory of one chat in the directory, at the planned size of an instance. */
import { hashString } from '../common/Hash.js'
import { ChatDirectory } from '../common/placement/ChatDirectory.js'
import type { ChatPlacement } from '../common/placement/ChatKey.js'
import { HomePlacement } from '../common/placement/HomePlacement.js'
import { LoadView } from '../common/placement/LoadView.js'
import { RANKED_ENGINES } from '../common/placement/PlacementPolicy.js'
import { rankTop } from '../common/Rendezvous.js'
import { quantile } from './Quantiles.js'

const ENGINES = 400
const CHATS = 7_000
const ITERATIONS = 50_000
const REQUEST_INTERVAL_MS = 2.2 // ten times the planned request rate of one instance
const WARM_UP_ITERATIONS = 10_000

/** Result of the decision benchmark. */
export interface DecisionResult {
  readonly engines: number
  readonly chats: number
  readonly p50Us: number
  readonly p99Us: number
  readonly bytesPerChat: number
}

/** Runs the decision benchmark. */
export function benchDecision (): DecisionResult {
  const engines = Array.from({ length: ENGINES }, (_, i) => ({ hash: hashString(`engine-${i}`), weight: 1 }))
  const view = new LoadView(Infinity)
  engines.forEach((e, i) => view.record(e.hash, 900 + (i * 37) % 200, 0))
  const placement = new HomePlacement(CHATS)
  const limits = { loadBound: 1.25, reuseWeight: 0.5 }
  const times: number[] = []
  for (let i = 0; i < ITERATIONS; i++) {
    const chat: ChatPlacement = { keyHash: hashString(`chat-${i % CHATS}`), tag: i % CHATS, promptTokens: 800, answerTokens: 300, returning: true }
    const startedAt = process.hrtime.bigint()
    const ranked = rankTop(chat.keyHash, engines, RANKED_ENGINES)
    const decision = placement.decide(chat, { model: 'm', limits, ranked, all: engines, warming: false }, view, i * REQUEST_INTERVAL_MS)
    if (decision !== undefined) placement.recordPlacement(chat, decision.engine.hash)
    if (i >= WARM_UP_ITERATIONS) times.push(Number(process.hrtime.bigint() - startedAt) / 1000)
  }
  const directory = new ChatDirectory(CHATS)
  const [p50Us, p99Us] = [round(quantile(times, 0.5)), round(quantile(times, 0.99))]
  return { engines: ENGINES, chats: CHATS, p50Us, p99Us, bytesPerChat: round(directory.bytes / CHATS) }
}

function round (value: number): number {
  return Number(value.toFixed(1))
}
