/**
 * Keeps the requests of all gateways together within the limits that endpoints name, and within what cold endpoints take. Designed
 * for limits of few requests a second in fleets of many gateways, where an equal share for each would be useless: the gateway that
 * owns an endpoint gives out its admissions, each is asked for before a send. Without the owner a gateway uses its share.
 * A cold endpoint crashes above its rate, which the fleet knows before any answer. So its admissions aren't saved up, an owner
 * that doesn't know the endpoint grants none, and two owners that don't know of each other stay together below the bound: each
 * gives out 0.85 of the rate and one more, 22 in the worst second at 12 a second, where 23 are allowed.
 */
import { AllowanceOwner } from '../common/limits/AllowanceOwner.js'
import { ShareSlots } from '../common/limits/ShareSlots.js'
import type { FleetCount } from '../common/membership/FleetCount.js'
import type { EndpointState } from '../common/routing/EndpointState.js'
import type { IClock } from '../common/Services.js'
import type { Permit, PermitScope } from './PermitTask.js'

const MIN_WAIT_MS = 10 // a gateway doesn't ask for the same endpoint again at once
const MAX_WAIT_MS = 10_000 // an endpoint that takes nothing is asked again after this long
const MIN_REQUESTS_PER_SEC = 0.2 // the end of a limit shows only in an answer
const PRUNE_INTERVAL_MS = 60_000
const COLD_RATE_FRACTION = 0.85 // of the rate of a cold endpoint, so that two owners of the same endpoint stay below the bound of 1.5 x the rate + 5
const SHARE_FRACTION = 0.5 // of that, for all gateways that use their shares: beside them an owner may give out its part
const MIN_BUCKET_PER_SEC = 1 // an owner of less is one of many that see a small part of the fleet each: it uses slots
const UNKNOWN_WAIT_MS = 100 // an owner that doesn't know a cold endpoint is asked again after this long

/** Kind of an admission: to an endpoint that named a limit, or to a cold one. */
export type AdmissionScope = Extract<PermitScope, 'endpoint' | 'cold'>

/** Asks the owner of an endpoint for an admission; undefined when it doesn't reply. @param endpoint hash of its id. */
export type AdmissionRequest = (endpoint: number, scope: AdmissionScope) => Promise<Permit | undefined>

/** How much of the fleet a gateway sees. */
export interface FleetShare {
  /** Number of gateways of the whole fleet. */
  readonly gateways: number
  /** Fraction of them that this gateway reaches, itself included: the owners on both sides of a cut keep the limit together. */
  readonly reachable: number
}

/** The fleet of which this gateway sees `live` gateways, itself included. */
export function shareOf (fleet: FleetCount, live: number): FleetShare {
  return { gateways: fleet.instances, reachable: Math.min(1, live / fleet.instances) }
}

export class EndpointLimiter {
  readonly #clock: IClock
  readonly #requestAdmission: AdmissionRequest
  readonly #fleet: () => FleetShare
  /** Admissions given out as the owner. */
  readonly #owned = new AllowanceOwner(false)
  /** Admissions taken while the owner doesn't reply. */
  readonly #own = new AllowanceOwner(false)
  /** Admissions to cold endpoints given out as the owner; none are saved up. */
  readonly #ownedCold = new AllowanceOwner(false, 0)
  readonly #coldSlots: ShareSlots
  #prunedAt = 0

  /** @param instance hash of this gateway's id. */
  constructor (clock: IClock, requestAdmission: AdmissionRequest, fleet: () => FleetShare, instance: number) {
    this.#coldSlots = new ShareSlots(instance)
    this.#clock = clock
    this.#requestAdmission = requestAdmission
    this.#fleet = fleet
  }

  /** True when the endpoint has named a limit or is cold, so that `admit` must be asked before a send. */
  isLimited (state: EndpointState): boolean {
    return state.limitPerSec(this.#clock.nowMs()) !== undefined
  }

  /** Takes an admission for one request; without one the endpoint isn't a candidate until it may have the next. */
  async admit (state: EndpointState): Promise<boolean> {
    const isCold = state.warmUp.isCold(this.#clock.nowMs())
    const reply = await this.#requestAdmission(state.hash, isCold ? 'cold' : 'endpoint')
    const { granted, waitMs } = reply ?? (isCold ? this.#admitByColdShare(state) : this.#admitByOwnShare(state))
    if (granted || !this.isLimited(state)) return true // the limit may have ended meanwhile
    const now = this.#clock.nowMs()
    const until = now + Math.min(MAX_WAIT_MS, waitMs)
    state.deferredUntil = Math.max(now + MIN_WAIT_MS, isCold ? Math.min(until, state.warmUp.coldUntil) : until)
    return false
  }

  /** Decides as the owner of an endpoint. @param state undefined when this gateway doesn't know it. */
  issue (state: EndpointState | undefined, now: number): Permit {
    return this.#take(this.#owned, state, this.#fleet().reachable, now)
  }

  /** Decides as the owner of a cold endpoint. @param state undefined when this gateway doesn't know it. */
  issueCold (state: EndpointState | undefined, now: number): Permit {
    const cold = state?.warmUp.limit?.requestsPerSec
    if (state === undefined || cold === undefined) return { granted: false, waitMs: UNKNOWN_WAIT_MS }
    const ratePerSec = coldRate(state, cold, now)
    const { reachable } = this.#fleet()
    if (ratePerSec * reachable < MIN_BUCKET_PER_SEC) return this.#takeSlot(state, ratePerSec * reachable, now)
    this.#prune(now)
    const { id } = state.endpoint
    if (this.#ownedCold.grant(id, ratePerSec, reachable, 1, now) > 0) return { granted: true, waitMs: 0 }
    return { granted: false, waitMs: this.#ownedCold.waitMs(id, now) }
  }

  #admitByColdShare (state: EndpointState): Permit {
    const now = this.#clock.nowMs()
    const cold = state.warmUp.requestsPerSec(now)
    if (cold === undefined) return { granted: true, waitMs: 0 }
    return this.#takeSlot(state, coldRate(state, cold, now) / Math.max(1, this.#fleet().gateways), now)
  }

  #takeSlot (state: EndpointState, ratePerSec: number, now: number): Permit {
    const waitMs = this.#coldSlots.take(state.endpoint.id, 1_000 / (ratePerSec * SHARE_FRACTION), now)
    return { granted: waitMs === 0, waitMs }
  }

  #admitByOwnShare (state: EndpointState): Permit {
    return this.#take(this.#own, state, 1 / Math.max(1, this.#fleet().gateways), this.#clock.nowMs())
  }

  /** @param fraction of the limit that may be used. */
  #take (allowances: AllowanceOwner, state: EndpointState | undefined, fraction: number, now: number): Permit {
    const limit = state?.limitPerSec(now)
    if (state === undefined || limit === undefined) return { granted: true, waitMs: 0 }
    this.#prune(now)
    const id = state.endpoint.id
    if (allowances.grant(id, Math.max(MIN_REQUESTS_PER_SEC, limit), fraction, 1, now) > 0) return { granted: true, waitMs: 0 }
    return { granted: false, waitMs: Math.min(MAX_WAIT_MS, allowances.waitMs(id, now)) }
  }

  #prune (now: number): void {
    if (now - this.#prunedAt < PRUNE_INTERVAL_MS) return
    this.#prunedAt = now
    this.#owned.prune(now)
    this.#own.prune(now)
    this.#ownedCold.prune(now)
  }
}

/** Requests a second that all gateways together may send to a cold endpoint. @param coldPerSec the service's rate. */
function coldRate (state: EndpointState, coldPerSec: number, now: number): number {
  const named = state.namedLimitPerSec(now) ?? Infinity
  return Math.max(MIN_REQUESTS_PER_SEC, Math.min(named, coldPerSec)) * COLD_RATE_FRACTION
}
