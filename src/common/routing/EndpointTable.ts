/**
 * The endpoints as last listed. A list that misses an endpoint removes it, but not right after the list was out of
 * reach: entries that lapsed meanwhile are written again by their endpoints a moment later. A list that was merely
 * read late was not out of reach.
 */
import { Emitter } from '../Emitter.js'
import { digestOfSet } from '../Hash.js'
import { endpointKey, type Endpoint, type EndpointList } from './Types.js'

const LIST_OUTAGE_MS = 1_500 // reads that failed for this long: entries of live endpoints may have lapsed meanwhile
const RECOVERY_GRACE_MS = 2_200 // live endpoints are listed again within 2 s of the list's return

/** A change of what is believed of one endpoint. */
export interface EndpointChange {
  readonly endpoint: Endpoint
  readonly kind: 'joined' | 'leaving' | 'gone' | 'changed'
  /** Age of the list that said so, before this one was read. */
  readonly sinceListMs: number
}

export class EndpointTable {
  /** What counts as listed: the list as read, and what is kept for a while after an outage. */
  #endpoints = new Map<string, Endpoint>()
  #listed: readonly Endpoint[] = []
  #byService = new Map<string, readonly Endpoint[]>()
  #listedAt = -Infinity
  #revision = 0
  #digest = 0
  #graceUntil = -Infinity
  #failingSince: number | undefined
  readonly #changed = new Emitter<EndpointChange>()

  /** Fires for each endpoint that joined, left or changed. */
  readonly onChange = this.#changed.event

  /** When the list was last read; -Infinity before the first. */
  get listedAt (): number {
    return this.#listedAt
  }

  get revision (): number {
    return this.#revision
  }

  /** Digest of what the list said; equal digests mean equal lists. */
  get digest (): number {
    return this.#digest
  }

  /** The list as last read, to hand on: what this instance keeps beyond it may be gone for others. */
  get list (): EndpointList {
    return { revision: this.#revision, endpoints: this.#listed }
  }

  /** Endpoints of a service that may take new work. */
  usable (service: string): readonly Endpoint[] {
    return this.#byService.get(service) ?? []
  }

  get (id: string): Endpoint | undefined {
    return this.#endpoints.get(id)
  }

  /** The same endpoints are listed at a later revision, as read at `listedAt`. */
  confirm (revision: number, listedAt: number, now: number): void {
    this.#revision = Math.max(this.#revision, revision)
    this.#listedAt = Math.max(this.#listedAt, listedAt)
    const hasRetained = this.#endpoints.size > this.#listed.length
    if (hasRetained && now >= this.#graceUntil) this.update(this.list, this.#listedAt, now)
  }

  /** A read of the list that began at `at` failed. */
  recordReadFailure (at: number): void {
    this.#failingSince ??= at
  }

  /** Takes a complete list in that was read at `listedAt`; one that is older than the last is left out. */
  update (list: EndpointList, listedAt: number, now: number): void {
    if (list.revision < this.#revision) return
    const sinceListMs = listedAt - this.#listedAt
    const outageMs = this.#failingSince === undefined ? 0 : listedAt - Math.max(this.#failingSince, this.#listedAt)
    this.#failingSince = undefined
    if (outageMs > LIST_OUTAGE_MS) this.#graceUntil = now + RECOVERY_GRACE_MS
    const next = new Map(list.endpoints.map(e => [e.id, e]))
    for (const [id, old] of this.#endpoints) {
      if (next.has(id)) continue
      if (now < this.#graceUntil && !old.leaving) next.set(id, old)
      else this.#changed.fire({ endpoint: old, kind: 'gone', sinceListMs })
    }
    for (const e of next.values()) this.#emitChange(e, sinceListMs)
    this.#endpoints = next
    this.#byService = groupUsable(next.values())
    this.#listed = list.endpoints
    this.#digest = digestOfSet(list.endpoints.map(e => `${endpointKey(e)} ${e.leaving ? 'leaving' : ''}`))
    this.#listedAt = listedAt
    this.#revision = list.revision
  }

  #emitChange (e: Endpoint, sinceListMs: number): void {
    const old = this.#endpoints.get(e.id)
    if (old === undefined || endpointKey(old) !== endpointKey(e)) this.#changed.fire({ endpoint: e, kind: 'joined', sinceListMs })
    else if (e.leaving && !old.leaving) this.#changed.fire({ endpoint: e, kind: 'leaving', sinceListMs })
    else if (old.slots !== e.slots) this.#changed.fire({ endpoint: e, kind: 'changed', sinceListMs })
  }
}

function groupUsable (endpoints: Iterable<Endpoint>): Map<string, readonly Endpoint[]> {
  const groups = new Map<string, Endpoint[]>()
  for (const e of endpoints) {
    if (e.leaving) continue
    const group = groups.get(e.service) ?? []
    group.push(e)
    groups.set(e.service, group)
  }
  return groups
}
