/** Typed event source; owners keep it private and expose `event`. */
import { toDisposable } from './Disposable.js'
import type { IDisposable, IEvent } from './Services.js'

/** Event source with any number of listeners. */
export class Emitter<T> implements IDisposable {
  readonly #listeners = new Set<(value: T) => void>()

  /** Subscribes a listener. */
  readonly event: IEvent<T> = listener => {
    this.#listeners.add(listener)
    return toDisposable(() => this.#listeners.delete(listener))
  }

  fire (value: T): void {
    for (const listener of this.#listeners) listener(value)
  }

  dispose (): void {
    this.#listeners.clear()
  }
}
