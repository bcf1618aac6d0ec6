/**
 * Warm-up of one incarnation of an endpoint: the time until which it takes fewer requests. Designed for endpoints that crash under
 * the usual load after a start, and whose list entries come late, leave the remaining time out or turn cold again at any moment:
 * the latest end that anything known suggests holds. What lists say is kept whether the service has a warm-up limit or not, as the
 * configuration may come after the list.
 */
import type { WarmUpLimit } from './Types.js'

export class WarmUp {
  /** The service's limit in the configuration in force; undefined where its endpoints don't warm up. */
  limit: WarmUpLimit | undefined
  /** End by the remaining times that were listed. */
  #listedUntil = -Infinity
  /** When the endpoint was first seen without a remaining time that can be relied on. */
  #unknownSince = -Infinity
  /** When a list still had the endpoint as cold after `listedUntil`, without a remaining time: it turned cold again. */
  #renewedAt = -Infinity
  #isStated = true

  /** Records that the endpoint joined after the first list: it has just started, whatever its entry says. */
  recordJoin (now: number): void {
    this.#unknownSince = now
  }

  /** Records the endpoint's entry in a list that was read at `listedAt`. @param remainingMs undefined when the entry doesn't say. */
  recordEntry (remainingMs: number | undefined, listedAt: number, now: number): void {
    if (remainingMs === undefined && this.#isStated) this.#unknownSince = now
    this.#isStated = remainingMs !== undefined
    if (remainingMs === undefined) return
    if (remainingMs > 0) this.#listedUntil = Math.max(this.#listedUntil, listedAt + remainingMs)
    else this.#renewedAt = -Infinity
  }

  /** Records that the list still had the endpoint as cold at `listedAt`, as a peer told without the remaining time. */
  recordStillCold (listedAt: number): void {
    if (listedAt > this.#listedUntil) this.#renewedAt = Math.max(this.#renewedAt, listedAt)
  }

  /** Time until which the endpoint is cold; -Infinity when its service has no warm-up. */
  get coldUntil (): number {
    if (this.limit === undefined) return -Infinity
    return Math.max(this.#listedUntil, Math.max(this.#unknownSince, this.#renewedAt) + this.limit.durationMs)
  }

  isCold (now: number): boolean {
    return now < this.coldUntil
  }

  /** Requests a second that the endpoint takes from all instances together while it is cold; undefined when it is warm. */
  requestsPerSec (now: number): number | undefined {
    return this.isCold(now) ? this.limit?.requestsPerSec : undefined
  }
}
