/**
 * Reachability of data centres, from connections that succeeded or failed. When a data centre is cut off under load, each
 * of its endpoints would otherwise cost a request one connection timeout.
 */

const FAILED_ENDPOINTS = 2 // distinct endpoints with a failed connection, without a success in between
const WINDOW_MS = 3_000
const MIN_EJECTION_MS = 600
const MAX_EJECTION_MS = 2_400

interface DataCentreState {
  readonly failedAt: Map<string, number>
  ejectedUntil: number
  ejections: number
}

/** Ejection of unreachable data centres. */
export class DataCentreHealth {
  readonly #states = new Map<string, DataCentreState>()

  /** True while requests should prefer other data centres. */
  isEjected (dataCentre: string, now: number): boolean {
    return now < (this.#states.get(dataCentre)?.ejectedUntil ?? -Infinity)
  }

  /** Records that an endpoint in the data centre was connected to or answered; this ends an ejection. */
  recordSuccess (dataCentre: string): void {
    this.#states.delete(dataCentre)
  }

  /** Records a failed connection to an endpoint in the data centre; returns true when the data centre is ejected as a result. */
  recordFailure (dataCentre: string, endpoint: string, now: number): boolean {
    const state = this.#states.get(dataCentre) ?? { failedAt: new Map<string, number>(), ejectedUntil: -Infinity, ejections: 0 }
    this.#states.set(dataCentre, state)
    state.failedAt.set(endpoint, now)
    const recent = [...state.failedAt.values()].filter(at => now - at <= WINDOW_MS).length
    if (recent < FAILED_ENDPOINTS) return false
    state.ejectedUntil = now + Math.min(MAX_EJECTION_MS, MIN_EJECTION_MS * 2 ** state.ejections)
    state.ejections++
    return true
  }
}
