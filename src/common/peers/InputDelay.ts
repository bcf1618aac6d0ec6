/**
 * How long the input that a process reads may have waited, as told by the ticks of one of its timers. Designed for a process that stands still
 * for seconds and then reads at once what arrived meanwhile, from peers that have moved on.
 */
const LATE_INTERVALS = 2 // a tick that comes later than this many intervals after the one before shows a pause

export class InputDelay {
  readonly #intervalMs: number
  #lastTickAt: number | undefined
  /** Begin of the last pause. */
  #pausedAt = -Infinity
  /** Until then input from the pause may still be unread, as timers can be due before input. */
  #unreadUntil = -Infinity

  /** @param intervalMs time between two ticks. */
  constructor (intervalMs: number) {
    this.#intervalMs = intervalMs
  }

  /** Records a tick. Returns the time since the one before if there was a pause, else 0. */
  tick (now: number): number {
    const pausedMs = this.#sinceTick(now)
    if (pausedMs > 0) {
      this.#pausedAt = this.#pauseBegin(now - pausedMs)
      this.#unreadUntil = now + this.#intervalMs
    }
    this.#lastTickAt = now
    return pausedMs
  }

  /** Longest time for which input that is read now may have waited; 0 without a pause. */
  delayMs (now: number): number {
    const sinceTickMs = this.#sinceTick(now)
    if (sinceTickMs > 0) return now - this.#pauseBegin(now - sinceTickMs)
    return now < this.#unreadUntil ? now - this.#pausedAt : 0
  }

  /** Begin of a pause that follows a tick; that of the pause before it, if input from then may still be unread. */
  #pauseBegin (tickAt: number): number {
    return tickAt < this.#unreadUntil ? this.#pausedAt : tickAt
  }

  /** Time since the last tick, once it is late; else 0. */
  #sinceTick (now: number): number {
    const sinceMs = now - (this.#lastTickAt ?? now)
    return sinceMs > LATE_INTERVALS * this.#intervalMs ? sinceMs : 0
  }
}
