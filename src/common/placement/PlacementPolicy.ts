/**
 * Chooses an engine for a chat: the engine that holds its prefix, else the first of the engines in rendezvous order
 * whose load stays within the bound. New chats are held to a tighter bound than returning chats, which reserves capacity
 * for chats on the engine that holds their prefix; `reuseWeight` sets how much tighter.
 */
import type { RendezvousCandidate } from '../Rendezvous.js'
import type { ChatEntry } from './ChatDirectory.js'
import type { ChatPlacement } from './ChatKey.js'
import { UNAVAILABLE, type ILoadView } from './LoadView.js'

/** Number of ranked candidates for each chat. */
export const RANKED_ENGINES = 4 // a stable set, so that a chat that overflows finds its prefix again
const PREFILL_COST = 0.08 // cost of one uncached prompt token in decode tokens
const ASSUMED_CACHED_FRACTION = 0.8 // of a returning prompt, expected on an engine that ran an earlier turn
const STALE_VIEW_FACTOR = 0.7 // fraction of the bound's margin that is used, as the loads of other homes are seconds old
const RETURNING_HEADROOM = 0.5 // fraction of the bound's margin reserved for returning chats at reuseWeight 1

/** Why an engine was chosen. */
export type PlacementReason = 'held' | 'ranked' | 'warming' | 'overflow' | 'lightest'

/** Limits from the voted file. */
export interface PlacementLimits {
  readonly loadBound: number
  readonly reuseWeight: number
}

/** Mean load over all engines of a model. */
export interface MeanLoad {
  /** Mean work per unit of weight. */
  readonly perWeight: number
  readonly totalWeight: number
}

/** Input of a decision, from the home of the chat's first engine. */
export interface PlacementInput<T extends RendezvousCandidate> {
  /** Usable engines, best first. */
  readonly ranked: readonly T[]
  /** All engines of the model. */
  readonly all: readonly T[]
  readonly mean: MeanLoad
  readonly held: ChatEntry | undefined
  /** True when the first ranked engine joined recently and holds few prefixes. */
  readonly warming: boolean
}

/** The engine chosen for a chat. */
export interface PlacementDecision<T extends RendezvousCandidate> {
  readonly engine: T
  /** Prompt tokens expected to be cached on the engine. */
  readonly cachedTokens: number
  readonly reason: PlacementReason
}

/** Work of a request in decode tokens. */
export function requestWork (chat: ChatPlacement, cachedTokens: number): number {
  return Math.max(0, chat.promptTokens - cachedTokens) * PREFILL_COST + chat.answerTokens
}

/** Placement under one set of limits. */
export class PlacementPolicy {
  readonly #limits: PlacementLimits

  constructor (limits: PlacementLimits) {
    this.#limits = limits
  }

  /** Highest multiple of the mean load at which an engine accepts a chat. */
  bound (returning: boolean): number {
    const margin = (this.#limits.loadBound - 1) * STALE_VIEW_FACTOR
    return 1 + margin * (returning ? 1 : 1 - RETURNING_HEADROOM * this.#limits.reuseWeight)
  }

  /** True when an engine with `work` outstanding accepts `added` more. An idle engine always does. */
  fits (work: number, added: number, weight: number, meanPerWeight: number, totalWeight: number, returning: boolean): boolean {
    if (work === 0) return true
    const mean = meanPerWeight + added / Math.max(totalWeight, 1)
    return (work + added) / weight <= this.bound(returning) * mean
  }

  /** Chooses among the candidates; undefined when none is usable. */
  choose<T extends RendezvousCandidate> (chat: ChatPlacement, input: PlacementInput<T>, view: ILoadView, now: number): PlacementDecision<T> | undefined {
    const { perWeight: mean, totalWeight } = input.mean
    for (const option of this.#options(chat, input)) {
      const work = view.work(option.engine.hash, now)
      if (work === UNAVAILABLE) continue
      const added = requestWork(chat, option.cachedTokens)
      if (this.fits(work ?? mean * option.engine.weight, added, option.engine.weight, mean, totalWeight, option.cachedTokens > 0)) return option
    }
    return this.#lightest(input, view, now)
  }

  /** Candidates in the order in which they are tried. */
  #options<T extends RendezvousCandidate> (chat: ChatPlacement, input: PlacementInput<T>): Array<PlacementDecision<T>> {
    const options: Array<PlacementDecision<T>> = []
    const held = input.held === undefined ? undefined : input.all.find(e => e.hash === input.held!.endpoint)
    if (held !== undefined) options.push({ engine: held, cachedTokens: Math.min(input.held!.tokens, chat.promptTokens), reason: 'held' })
    const second = input.ranked[1]
    if (held === undefined && input.warming && chat.returning && second !== undefined) {
      options.push({ engine: second, cachedTokens: Math.floor(chat.promptTokens * ASSUMED_CACHED_FRACTION), reason: 'warming' })
    }
    input.ranked.forEach((engine, i) => {
      if (!options.some(o => o.engine === engine)) options.push({ engine, cachedTokens: 0, reason: i === 0 ? 'ranked' : 'overflow' })
    })
    return options
  }

  #lightest<T extends RendezvousCandidate> (input: PlacementInput<T>, view: ILoadView, now: number): PlacementDecision<T> | undefined {
    let best: T | undefined
    let least = Infinity
    for (const engine of input.all) {
      const work = view.work(engine.hash, now)
      if (work === UNAVAILABLE) continue
      const load = work === undefined ? Infinity : work / engine.weight
      if (load < least || best === undefined) {
        best = engine
        least = load
      }
    }
    return best === undefined ? undefined : { engine: best, cachedTokens: 0, reason: 'lightest' }
  }
}
