/**
 * Placement decisions of a home, the instance that dispatches requests to an endpoint: which engine a chat should go to,
 * and whether one of the home's own engines accepts it. The router and the experiments run the same code.
 */
import type { RendezvousCandidate } from '../Rendezvous.js'
import { ChatDirectory, type ChatEntry } from './ChatDirectory.js'
import type { ChatPlacement } from './ChatKey.js'
import { meanPerWeight, type ILoadView } from './LoadView.js'
import { PlacementPolicy, requestWork, type MeanLoad, type PlacementDecision, type PlacementLimits } from './PlacementPolicy.js'

const MEAN_TTL_MS = 20 // far below the age of the load samples

interface TimedMean extends MeanLoad {
  readonly at: number
  readonly engines: number
}

/** Chat directory and placement decisions of one home. */
export class HomePlacement {
  readonly #directory: ChatDirectory
  readonly #means = new Map<string, TimedMean>()

  /** @param capacity maximum number of chats in the directory. */
  constructor (capacity: number) {
    this.#directory = new ChatDirectory(capacity)
  }

  /** Size of the chat directory in bytes. */
  get bytes (): number {
    return this.#directory.bytes
  }

  /** Number of chats in the directory. */
  get chats (): number {
    return this.#directory.size
  }

  /** Where the prefix of a chat was last placed. */
  holderOf (keyHash: number, tag: number): ChatEntry | undefined {
    return this.#directory.get(keyHash, tag)
  }

  /** Records that an engine evicted the prefix of a chat. */
  recordEviction (keyHash: number, tag: number, endpoint: number): void {
    if (this.#directory.get(keyHash, tag)?.endpoint === endpoint) this.#directory.delete(keyHash, tag)
  }

  /** Records that an engine now holds a chat's prefix. */
  recordPlacement (chat: ChatPlacement, endpoint: number): void {
    this.#directory.set(chat.keyHash, chat.tag, endpoint, chat.promptTokens + chat.answerTokens)
  }

  /** Chooses an engine for a chat; called on the home of the chat's first engine. */
  decide<T extends RendezvousCandidate> (chat: ChatPlacement, input: HomeInput<T>, view: ILoadView, now: number): PlacementDecision<T> | undefined {
    const held = this.#directory.get(chat.keyHash, chat.tag)
    const { ranked, all, warming } = input
    return new PlacementPolicy(input.limits).choose(chat, { ranked, all, warming, held, mean: this.#mean(input, view, now) }, view, now)
  }

  /** True when one of this home's engines, whose work is exact, accepts a chat that another home sent. */
  accepts<T extends RendezvousCandidate> (chat: ChatPlacement, engine: T, input: LoadInput<T>, view: ILoadView, now: number): boolean {
    const { perWeight, totalWeight } = this.#mean(input, view, now)
    return new PlacementPolicy(input.limits).fits(view.work(engine.hash, now) ?? 0, requestWork(chat, 0), engine.weight, perWeight, totalWeight, true)
  }

  /** Mean over all engines of a model; cached for MEAN_TTL_MS, as it takes most of the time of a decision. */
  #mean<T extends RendezvousCandidate> (input: LoadInput<T>, view: ILoadView, now: number): MeanLoad {
    const cached = this.#means.get(input.model)
    if (cached !== undefined && now - cached.at < MEAN_TTL_MS && cached.engines === input.all.length) return cached
    let totalWeight = 0
    for (const engine of input.all) totalWeight += engine.weight
    const mean = { at: now, engines: input.all.length, perWeight: meanPerWeight(view, input.all, now), totalWeight }
    this.#means.set(input.model, mean)
    return mean
  }
}

/** The engines of a model and the limits on their load. */
export interface LoadInput<T extends RendezvousCandidate> {
  readonly model: string
  readonly limits: PlacementLimits
  /** All engines of the model. */
  readonly all: readonly T[]
}

/** Input of a placement decision on a home. */
export interface HomeInput<T extends RendezvousCandidate> extends LoadInput<T> {
  /** Usable engines, best first. */
  readonly ranked: readonly T[]
  /** True when the first ranked engine joined recently and holds few prefixes. */
  readonly warming: boolean
}
