/** News of members that still has to spread: the least sent first, dropped after enough sends to reach all. */
import type { MemberRumour } from '../generated/PeerDatagram.js'

export const MAX_RUMOURS = 10 // keeps a datagram under 1,200 bytes
const SPREAD_FACTOR = 3 // sends of one rumour for each doubling of the fleet

interface Rumour {
  readonly row: MemberRumour
  sends: number
}

/** True when what is said of (incarnation, state) `a` goes before `b`. */
export function overrides (a: Pick<MemberRumour, 'incarnation' | 'state'>, b: Pick<MemberRumour, 'incarnation' | 'state'>): boolean {
  if (a.incarnation !== b.incarnation) return a.incarnation > b.incarnation
  const rank = { alive: 0, suspect: 1, leaving: 2, dead: 3 } as const
  return rank[a.state] > rank[b.state]
}

export class RumourQueue {
  readonly #rumours = new Map<string, Rumour>()

  /** Adds news of a member; it replaces older news. */
  add (row: MemberRumour): void {
    this.#rumours.set(row.id, { row, sends: 0 })
  }

  delete (id: string): void {
    this.#rumours.delete(id)
  }

  /** Rows for the next datagram. @param fleetSize members that the news has to reach. */
  nextBatch (fleetSize: number): MemberRumour[] {
    if (this.#rumours.size === 0) return []
    const limit = SPREAD_FACTOR * Math.ceil(Math.log2(fleetSize + 1))
    const next = [...this.#rumours.values()].sort((a, b) => a.sends - b.sends).slice(0, MAX_RUMOURS)
    for (const rumour of next) {
      if (++rumour.sends >= limit) this.#rumours.delete(rumour.row.id)
    }
    return next.map(r => r.row)
  }
}
