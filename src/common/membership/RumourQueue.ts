/** Queue of rumours (state changes of members) to gossip: least sent first, dropped after enough sends to reach all members. */
import type { MemberRumour } from '../generated/PeerDatagram.js'

/** Maximum number of rumours in a datagram. */
export const MAX_RUMOURS = 10 // keeps a datagram under 1,200 bytes
const SPREAD_FACTOR = 3 // sends of one rumour per doubling of the fleet

interface Rumour {
  readonly row: MemberRumour
  sends: number
}

/** True when rumour `a` overrides `b`: by a higher incarnation, or by a worse state at the same incarnation. */
export function overrides (a: Pick<MemberRumour, 'incarnation' | 'state'>, b: Pick<MemberRumour, 'incarnation' | 'state'>): boolean {
  if (a.incarnation !== b.incarnation) return a.incarnation > b.incarnation
  const rank = { alive: 0, suspect: 1, leaving: 2, dead: 3 } as const
  return rank[a.state] > rank[b.state]
}

/** Rumours to gossip, one for each member. */
export class RumourQueue {
  readonly #rumours = new Map<string, Rumour>()

  /** Adds a rumour; it replaces an older one about the same member. */
  add (row: MemberRumour): void {
    this.#rumours.set(row.id, { row, sends: 0 })
  }

  delete (id: string): void {
    this.#rumours.delete(id)
  }

  /** Rumours for the next datagram. @param fleetSize number of members that they have to reach. */
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
