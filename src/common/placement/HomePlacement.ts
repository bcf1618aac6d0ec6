/**
 * Decisions of a home: which engine a chat should go to, and whether one of its own engines takes it. The
 * router and the experiments run this same code.
 */
import type { RendezvousCandidate } from '../Rendezvous.js'
import { ChatDirectory, type ChatEntry } from './ChatDirectory.js'
import type { ChatPlacement } from './ChatKey.js'
import type { ILoadView } from './LoadView.js'
import { PlacementPolicy, requestWork, type PlacementDecision, type PlacementLimits } from './PlacementPolicy.js'

export class HomePlacement {
  readonly #directory: ChatDirectory

  /** @param capacity chats remembered at most. */
  constructor (capacity: number) {
    this.#directory = new ChatDirectory(capacity)
  }

  /** Bytes held for remembering chats. */
  get bytes (): number {
    return this.#directory.bytes
  }

  /** Chats remembered. */
  get chats (): number {
    return this.#directory.size
  }

  /** Where the prefix of a chat was last placed. */
  where (keyHash: number, tag: number): ChatEntry | undefined {
    return this.#directory.get(keyHash, tag)
  }

  /** An engine dropped the prefix of a chat. */
  evicted (keyHash: number, tag: number, endpoint: number): void {
    if (this.#directory.get(keyHash, tag)?.endpoint === endpoint) this.#directory.delete(keyHash, tag)
  }

  /** Remembers that a chat's prefix is now on an engine. */
  placed (chat: ChatPlacement, endpoint: number): void {
    this.#directory.set(chat.keyHash, chat.tag, endpoint, chat.promptTokens + chat.answerTokens)
  }

  /** Chooses an engine as the home of the chat's first engine. */
  decide<T extends RendezvousCandidate> (chat: ChatPlacement, known: HomeKnowledge<T>, view: ILoadView, now: number): PlacementDecision<T> | undefined {
    const held = this.#directory.get(chat.keyHash, chat.tag)
    return new PlacementPolicy(known.limits).choose(chat, { ...known, held }, view, now)
  }

  /** True when an engine whose work is known exactly takes a chat that another home sent. */
  takes<T extends RendezvousCandidate> (chat: ChatPlacement, engine: T, known: Pick<HomeKnowledge<T>, 'limits' | 'all'>, view: ILoadView, now: number): boolean {
    const mean = view.meanPerWeight(known.all, now)
    const weight = known.all.reduce((sum, e) => sum + e.weight, 0)
    return new PlacementPolicy(known.limits).fits(view.work(engine.hash, now) ?? 0, requestWork(chat, 0), engine.weight, mean, weight, true)
  }
}

/** What a home knows when it decides. */
export interface HomeKnowledge<T extends RendezvousCandidate> {
  readonly limits: PlacementLimits
  /** Engines that can be used, best first. */
  readonly ranked: readonly T[]
  /** All engines of the model, for the mean. */
  readonly all: readonly T[]
  /** True when the first ranked engine joined a short while ago and holds few prefixes. */
  readonly warming: boolean
}
