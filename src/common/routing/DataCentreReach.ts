/**
 * Which data centres can be reached, from connections that came about or did not. Load pattern: a data centre is cut
 * off while requests go on; without this each of its endpoints would cost a request one connection timeout.
 */

const FAILED_ENDPOINTS = 2 // distinct endpoints that could not be connected to, with no success in between
const WINDOW_MS = 3_000
const FIRST_CLOSE_MS = 600
const MAX_CLOSE_MS = 2_400

interface Reach {
  readonly failed: Map<string, number>
  closedUntil: number
  closings: number
}

export class DataCentreReach {
  readonly #reaches = new Map<string, Reach>()

  /** True while requests should go to other data centres first. */
  closed (dataCentre: string, now: number): boolean {
    return now < (this.#reaches.get(dataCentre)?.closedUntil ?? -Infinity)
  }

  /** An endpoint there was connected to or answered. */
  reached (dataCentre: string): void {
    this.#reaches.delete(dataCentre)
  }

  /** No connection to an endpoint there came about; returns true when the data centre is closed by it. */
  failed (dataCentre: string, endpoint: string, now: number): boolean {
    const reach = this.#reaches.get(dataCentre) ?? { failed: new Map<string, number>(), closedUntil: -Infinity, closings: 0 }
    this.#reaches.set(dataCentre, reach)
    reach.failed.set(endpoint, now)
    const recent = [...reach.failed.values()].filter(at => now - at <= WINDOW_MS).length
    if (recent < FAILED_ENDPOINTS) return false
    reach.closedUntil = now + Math.min(MAX_CLOSE_MS, FIRST_CLOSE_MS * 2 ** reach.closings)
    reach.closings++
    return true
  }
}
