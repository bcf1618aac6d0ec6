/**
 * Which data centres can be reached, from connections that came about or did not. Load pattern: a data centre is cut
 * off while requests go on; without this each of its endpoints would cost a request one connection timeout.
 */

const FAILED_ENDPOINTS = 2 // distinct endpoints that could not be connected to, with no success in between
const WINDOW_MS = 3_000
const MIN_EJECTION_MS = 600
const MAX_EJECTION_MS = 2_400

interface DataCentreState {
  readonly failed: Map<string, number>
  ejectedUntil: number
  ejections: number
}

export class DataCentreHealth {
  readonly #states = new Map<string, DataCentreState>()

  /** True while requests should go to other data centres first. */
  isEjected (dataCentre: string, now: number): boolean {
    return now < (this.#states.get(dataCentre)?.ejectedUntil ?? -Infinity)
  }

  /** An endpoint there was connected to or answered. */
  recordSuccess (dataCentre: string): void {
    this.#states.delete(dataCentre)
  }

  /** No connection to an endpoint there came about; returns true when the data centre is closed by it. */
  recordFailure (dataCentre: string, endpoint: string, now: number): boolean {
    const state = this.#states.get(dataCentre) ?? { failed: new Map<string, number>(), ejectedUntil: -Infinity, ejections: 0 }
    this.#states.set(dataCentre, state)
    state.failed.set(endpoint, now)
    const recent = [...state.failed.values()].filter(at => now - at <= WINDOW_MS).length
    if (recent < FAILED_ENDPOINTS) return false
    state.ejectedUntil = now + Math.min(MAX_EJECTION_MS, MIN_EJECTION_MS * 2 ** state.ejections)
    state.ejections++
    return true
  }
}
