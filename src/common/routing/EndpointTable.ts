/**
 * Table of the endpoints in the last list that was read. An endpoint that is missing from a new list is removed, except
 * shortly after an outage of the list or a restoration of the platform from a copy: entries of live endpoints may have expired
 * or been lost, and the endpoints register again moments later. A list that was only read late does not count as an outage.
 * For the same time after a restoration, an endpoint that was known to leave gets no new work though the copy lists it as usable.
 */
import { Emitter } from '../Emitter.js'
import type { ListVersion } from '../generated/PeerDatagram.js'
import { digestOfSet } from '../Hash.js'
import { compareVersions, newerVersion } from '../peers/ListVersion.js'
import { DepartedEndpoints } from './DepartedEndpoints.js'
import { endpointKey, isListedCold, isSameIncarnation, type Endpoint, type EndpointList } from './Types.js'

const LIST_OUTAGE_MS = 1_500 // after failed reads for this long, entries of live endpoints may have expired
const RECOVERY_GRACE_MS = 2_200 // live endpoints have written their entries again within 2 s of the recovery

/** A change of one endpoint in the table. */
export interface EndpointChange {
  readonly endpoint: Endpoint
  readonly kind: 'joined' | 'leaving' | 'gone' | 'changed'
  /** Time between the read of the previous list and that of the list with the change. */
  readonly sinceListMs: number
}

/** An endpoint of the last list with its part of the list's digest. */
interface DigestedEndpoint {
  readonly endpoint: Endpoint
  readonly cold: boolean
  readonly digest: number
}

/** The endpoints of all services. */
export class EndpointTable {
  /** Endpoints of the last list, and those retained during the grace period after an outage. */
  #endpoints = new Map<string, Endpoint>()
  #listed: readonly Endpoint[] = []
  #byService = new Map<string, readonly Endpoint[]>()
  #listedAt = -Infinity
  #version: ListVersion = { epoch: 0, revision: 0 }
  #digest = 0
  /** By id; an endpoint that didn't change isn't hashed again. */
  #digested = new Map<string, DigestedEndpoint>()
  /** Services whose endpoints warm up; the digest of these counts whether they are cold. */
  #warmingServices: ReadonlySet<string> = new Set()
  #graceUntil = -Infinity
  #restoredUntil = -Infinity
  /** True while the table differs from the list by an endpoint that is retained or held as leaving. */
  #isProvisional = false
  readonly #departed = new DepartedEndpoints()
  #failingSince: number | undefined
  readonly #changed = new Emitter<EndpointChange>()
  readonly #regrouped = new Emitter<ReadonlyMap<string, readonly Endpoint[]>>()

  /** Fires for each endpoint that joined, left or changed. */
  readonly onChange = this.#changed.event

  /** Fires after the changes of a list with the endpoints that may get new work, by service. */
  readonly onRegroup = this.#regrouped.event

  /** When the list was last read; -Infinity before the first read. */
  get listedAt (): number {
    return this.#listedAt
  }

  /** Version of the last list. */
  get version (): ListVersion {
    return this.#version
  }

  /** Digest of the list's content; equal digests mean equal lists. */
  get digest (): number {
    return this.#digest
  }

  /** The list as last read, for passing on to peers. Excludes retained endpoints, which may be gone for other instances. */
  get list (): EndpointList {
    return { version: this.#version, endpoints: this.#listed }
  }

  /** Endpoints of a service that may get new work. */
  usable (service: string): readonly Endpoint[] {
    return this.#byService.get(service) ?? []
  }

  /** True when this incarnation of an endpoint left the list a short while ago. */
  hasLeft (e: Endpoint, now: number): boolean {
    return this.#departed.has(e, now)
  }

  get (id: string): Endpoint | undefined {
    return this.#endpoints.get(id)
  }

  /** Sets the services whose endpoints warm up: gateways that read no list learn of a warm-up by the digest. */
  setWarmingServices (services: ReadonlySet<string>): void {
    this.#warmingServices = services
    this.#updateDigest()
  }

  /** Records that a list with the same endpoints, of the same or a later version, was read at `listedAt`. */
  confirm (version: ListVersion, listedAt: number, now: number): void {
    this.#version = newerVersion(this.#version, version)
    this.#listedAt = Math.max(this.#listedAt, listedAt)
    if (this.#isProvisional && now >= this.#graceUntil) this.update(this.list, this.#listedAt, now)
  }

  /** Records a failed read of the list. @param at when the read began. */
  recordReadFailure (at: number): void {
    this.#failingSince ??= at
  }

  /** Applies a complete list that was read at `listedAt`. A list older than the last one is ignored; returns false then. */
  update (list: EndpointList, listedAt: number, now: number): boolean {
    if (compareVersions(list.version, this.#version) < 0) return false
    const sinceListMs = listedAt - this.#listedAt
    this.#startGrace(list.version, listedAt, now)
    const next = new Map(list.endpoints.map(e => [e.id, this.#holdLeaving(e, now)]))
    for (const [id, old] of this.#endpoints) {
      if (next.has(id)) continue
      if (now < this.#graceUntil && !old.leaving) next.set(id, old)
      else this.#emitGone(old, sinceListMs, now)
    }
    for (const e of next.values()) this.#emitChange(e, sinceListMs, now)
    this.#isProvisional = next.size > list.endpoints.length || list.endpoints.some(e => next.get(e.id) !== e)
    this.#endpoints = next
    this.#byService = groupUsable(next.values())
    this.#listed = list.endpoints
    this.#updateDigest()
    this.#listedAt = listedAt
    this.#version = list.version
    this.#regrouped.fire(this.#byService)
    return true
  }

  /** Starts the time in which entries may be missing or out of date, after an outage or a restoration. */
  #startGrace (version: ListVersion, listedAt: number, now: number): void {
    const outageMs = this.#failingSince === undefined ? 0 : listedAt - Math.max(this.#failingSince, this.#listedAt)
    this.#failingSince = undefined
    const isRestored = this.#listedAt !== -Infinity && version.epoch > this.#version.epoch
    if (isRestored) this.#restoredUntil = now + RECOVERY_GRACE_MS
    if (isRestored || outageMs > LIST_OUTAGE_MS) this.#graceUntil = now + RECOVERY_GRACE_MS
  }

  /** The endpoint as listed, or as leaving when it was known to be, shortly after a restoration. */
  #holdLeaving (e: Endpoint, now: number): Endpoint {
    if (now >= this.#restoredUntil || e.leaving) return e
    const old = this.#endpoints.get(e.id)
    const isKnown = old !== undefined && isSameIncarnation(old, e)
    const wasLeaving = isKnown ? old.leaving : this.#departed.has(e, now)
    return wasLeaving ? { ...e, leaving: true } : e
  }

  #updateDigest (): void {
    const before = this.#digested
    this.#digested = new Map(this.#listed.map(e => [e.id, digestEndpoint(e, this.#warmingServices.has(e.service) && isListedCold(e), before.get(e.id))]))
    this.#digest = 0
    for (const { digest } of this.#digested.values()) this.#digest = (this.#digest + digest) >>> 0
  }

  #emitGone (e: Endpoint, sinceListMs: number, now: number): void {
    this.#departed.add(e, now)
    this.#changed.fire({ endpoint: e, kind: 'gone', sinceListMs })
  }

  #emitChange (e: Endpoint, sinceListMs: number, now: number): void {
    const old = this.#endpoints.get(e.id)
    const restarted = old !== undefined && !isSameIncarnation(old, e)
    if (restarted) this.#emitGone(old, sinceListMs, now)
    if (old === undefined || restarted) this.#changed.fire({ endpoint: e, kind: 'joined', sinceListMs })
    else if (e.leaving && !old.leaving) this.#changed.fire({ endpoint: e, kind: 'leaving', sinceListMs })
    else if (old.slots !== e.slots) this.#changed.fire({ endpoint: e, kind: 'changed', sinceListMs })
  }
}

/** The remaining time isn't part of the digest, as it changes with each heartbeat. */
function digestEndpoint (e: Endpoint, cold: boolean, before: DigestedEndpoint | undefined): DigestedEndpoint {
  if (before !== undefined && before.cold === cold && before.endpoint.leaving === e.leaving && isSameIncarnation(before.endpoint, e)) return before
  return { endpoint: e, cold, digest: digestOfSet([`${endpointKey(e)} ${e.leaving ? 'leaving' : ''}${cold ? ' cold' : ''}`]) }
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
