/** Leases for trials of which one at a time may be under way, kept by their owner. */

const LEASE_MS = 4_000 // by then a trial has ended, or its holder is gone
const PRUNE_SIZE = 256

export class TrialLeases {
  readonly #endsAt = new Map<number, number>()

  /** Gives a lease on `subject`; returns the time in ms until the one that is held ends, 0 when the lease was given. */
  acquire (subject: number, now: number): number {
    const endsAt = this.#endsAt.get(subject) ?? -Infinity
    if (endsAt > now) return endsAt - now
    this.#endsAt.set(subject, now + LEASE_MS)
    if (this.#endsAt.size > PRUNE_SIZE) this.#prune(now)
    return 0
  }

  /** Ends the lease on `subject`, as the trial has a result. */
  release (subject: number): void {
    this.#endsAt.delete(subject)
  }

  #prune (now: number): void {
    for (const [subject, endsAt] of this.#endsAt) {
      if (endsAt <= now) this.#endsAt.delete(subject)
    }
  }
}
