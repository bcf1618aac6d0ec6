/** Interfaces of dependencies that are passed into constructors, so that a test can replace each. */

/** Monotonic and wall time in milliseconds. */
export interface IClock {
  /** Monotonic; goes on while the process is suspended. */
  nowMs(): number
  /** Wall time without jumps: wall time at start plus monotonic time since. */
  wallMs(): number
}

/** Source of uniform random numbers in [0, 1). */
export interface IRandom {
  next(): number
}

/** Releases resources; safe to call twice. */
export interface IDisposable {
  dispose(): void
}

/** Subscribes a listener until the returned disposable is released. */
export type IEvent<T> = (listener: (value: T) => void) => IDisposable
