/** Base class of resource owners: registers disposables and releases each once, in reverse order. */
import type { IDisposable } from './Services.js'

/** Wraps a function as a disposable that runs once. */
export function toDisposable (release: () => void): IDisposable {
  let done = false
  return {
    dispose () {
      if (done) return
      done = true
      release()
    }
  }
}

/** Owner of disposables. */
export class Disposable implements IDisposable {
  readonly #owned: IDisposable[] = []
  #disposed = false

  /** True once `dispose` ran. */
  get isDisposed (): boolean {
    return this.#disposed
  }

  /** Registers `item` for release; releases it at once when the owner is already disposed. */
  protected own<T extends IDisposable> (item: T): T {
    if (this.#disposed) item.dispose()
    else this.#owned.push(item)
    return item
  }

  dispose (): void {
    if (this.#disposed) return
    this.#disposed = true
    for (const item of this.#owned.reverse()) item.dispose()
    this.#owned.length = 0
  }
}
