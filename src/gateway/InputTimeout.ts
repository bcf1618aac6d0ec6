/**
 * Timeouts on input of a peer. After a pause of this process a timer is due before the input that arrived meanwhile has
 * been read; the timeout therefore fires only once the event loop has read it, so that the pause isn't taken for silence.
 */
import type { IDisposable } from '../common/Services.js'

export class InputTimeout implements IDisposable {
  readonly #timer: NodeJS.Timeout
  #afterInput: NodeJS.Immediate | undefined
  #disposed = false

  constructor (ms: number, onTimeout: () => void) {
    this.#timer = setTimeout(() => { this.#afterInput = setImmediate(onTimeout) }, ms)
  }

  /** Starts the time again; has no effect after `dispose`. */
  restart (): void {
    if (this.#disposed) return
    clearImmediate(this.#afterInput)
    this.#timer.refresh()
  }

  dispose (): void {
    this.#disposed = true
    clearTimeout(this.#timer)
    clearImmediate(this.#afterInput)
  }
}
