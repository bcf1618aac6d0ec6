/**
 * Records when the soak's own process was kept from running. Stand-ins and callers run in it, so that what they saw then has
 * a later time than it had on the wire.
 */
import { Disposable, toDisposable } from '../common/Disposable.js'
import { SOAK_PROCESS, type Timeline } from './Timeline.js'

const CHECK_INTERVAL_MS = 20
const MIN_PAUSE_MS = 20

export class PauseRecorder extends Disposable {
  readonly #timeline: Timeline
  #lastAt = performance.now()

  constructor (timeline: Timeline) {
    super()
    this.#timeline = timeline
    const timer = setInterval(() => this.#check(), CHECK_INTERVAL_MS)
    this.own(toDisposable(() => clearInterval(timer)))
  }

  #check (): void {
    const now = performance.now()
    const dueAt = this.#lastAt + CHECK_INTERVAL_MS
    if (now - dueAt >= MIN_PAUSE_MS) this.#timeline.add({ kind: 'pause', what: SOAK_PROCESS, from: dueAt, to: now })
    this.#lastAt = now
  }
}
