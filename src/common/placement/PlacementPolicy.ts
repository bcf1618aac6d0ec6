/**
 * Chooses an engine for a chat: the engine that holds its prefix, else the engines in rendezvous order, the
 * first whose load stays within the bound. New work is held to a tighter bound than returning chats, so that
 * room remains for those where their prefix is; `reuseWeight` sets how much tighter.
 */
import type { RendezvousCandidate } from '../Rendezvous.js'
import type { ChatEntry } from './ChatDirectory.js'
import type { ChatPlacement } from './ChatKey.js'
import { UNAVAILABLE, type ILoadView } from './LoadView.js'

export const RANKED_ENGINES = 4 // the choices of a chat; stable, so that an overflowing chat finds its prefix again
const PREFILL_COST = 0.08 // decode tokens that one uncached prompt token costs
const ASSUMED_CACHED_FRACTION = 0.8 // part of a returning prompt expected where an earlier turn ran
const STALE_VIEW_FACTOR = 0.7 // part of the bound's margin that is used; loads of other homes are seconds old
const RETURNING_HEADROOM = 0.5 // part of the bound's margin kept for returning chats at reuseWeight 1

/** Why an engine was chosen. */
export type PlacementReason = 'held' | 'ranked' | 'warming' | 'overflow' | 'lightest'

/** Limits from the voted file. */
export interface PlacementLimits {
  readonly loadBound: number
  readonly reuseWeight: number
}

/** Load over all engines of a model. */
export interface MeanLoad {
  /** Mean work per unit of weight. */
  readonly perWeight: number
  readonly totalWeight: number
}

/** What the home of the chat's first engine knows. */
export interface PlacementInput<T extends RendezvousCandidate> {
  /** Engines that can be used, best first. */
  readonly ranked: readonly T[]
  /** All engines of the model. */
  readonly all: readonly T[]
  readonly mean: MeanLoad
  readonly held: ChatEntry | undefined
  /** True when the first ranked engine joined a short while ago and holds few prefixes. */
  readonly warming: boolean
}

export interface PlacementDecision<T extends RendezvousCandidate> {
  readonly engine: T
  /** Prompt tokens expected to be cached there. */
  readonly cachedTokens: number
  readonly reason: PlacementReason
}

/** Work of a request in decode tokens. */
export function requestWork (chat: ChatPlacement, cachedTokens: number): number {
  return Math.max(0, chat.promptTokens - cachedTokens) * PREFILL_COST + chat.answerTokens
}

export class PlacementPolicy {
  readonly #limits: PlacementLimits

  constructor (limits: PlacementLimits) {
    this.#limits = limits
  }

  /** Highest multiple of the mean at which an engine takes the chat. */
  bound (returning: boolean): number {
    const margin = (this.#limits.loadBound - 1) * STALE_VIEW_FACTOR
    return 1 + margin * (returning ? 1 : 1 - RETURNING_HEADROOM * this.#limits.reuseWeight)
  }

  /** True when an engine with `work` outstanding may take `added` more. An idle engine always may. */
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
