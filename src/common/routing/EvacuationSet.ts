/**
 * The data centres that the operator has evacuated, as one instance knows them, and what each evacuation means for a request at a
 * given time. Designed for data centres that are emptied with thousands of sessions on their engines: new work goes elsewhere at
 * once, sessions follow spread over a part of the bound, and copy their prompts while they may. Complete reads and the sets of peers
 * are joined by version, so their order and repetition don't matter.
 */
import type { EvacuationReport, GossipedEvacuation, ListVersion } from '../generated/PeerDatagram.js'
import { combine, hashString } from '../Hash.js'
import { compareVersions } from '../peers/ListVersion.js'

const LEAVE_FRACTION = 0.4 // of the bound, over which sessions leave; the rest is left for a late notice
const LAST_FRACTION = 0.8 // of the bound, counted from when the key may have been written: no session or copy after it; the rest is for what is on its way
const MAX_NOTICE_FRACTION = 0.6 // of the bound: the latest notice of an evacuation
const RECOVERY_GRACE_MS = 2_200 // after a restoration of the platform: what was lost with it stays in force until the operator can have written it again
const MAX_REPORTED = 64 // receivers drop a datagram with more
const HASH_RANGE = 2 ** 32

/** Longest time until each instance must have heard of an evacuation. @param boundMs until an evacuated data centre gets no more requests. */
export function latestNoticeMs (boundMs: number): number {
  return MAX_NOTICE_FRACTION * boundMs
}

/** An evacuation that began or ended, as far as this instance knows. */
export interface EvacuationChange {
  readonly dataCentre: string
  readonly kind: 'started' | 'ended'
  /** Time since the first instance heard of the evacuation. */
  readonly ageMs: number
}

/** An evacuation in force. */
export interface EvacuationAge {
  readonly dataCentre: string
  /** Time since the first instance heard of it. */
  readonly ageMs: number
}

/** What is known of one evacuation; all times are of the local clock. */
interface Evacuation {
  /** When the first instance heard of it. */
  readonly heardAt: number
  /** The key can't have been written before this time. */
  readonly writtenAfter: number
  /** Last known version without the evacuation. */
  readonly absentIn: ListVersion
}

/** An evacuation that the store has lost. */
interface RetainedEvacuation {
  readonly evacuation: Evacuation
  /** When it ends; in the past for one that has ended, which peers may still report. */
  readonly until: number
}

type Listed = ReadonlyMap<string, Evacuation>

export class EvacuationSet {
  readonly #boundMs: number
  #version: ListVersion = { epoch: 0, revision: 0 }
  #isKnown = false
  /** Evacuations in the store as of the version. */
  #listed: Listed = new Map()
  /** Evacuations that were in force before the epoch of the version, and are missing in it. */
  #retained = new Map<string, RetainedEvacuation>()
  /** When the last of these ends. */
  #retainedUntil = -Infinity
  /** Evacuations in force at the last update, to tell what has changed. */
  #reported = new Map<string, Evacuation>()
  /** When the set was last known to be that of the store. */
  #confirmedAt = -Infinity

  /** @param boundMs longest time until an evacuated data centre gets no more requests. */
  constructor (boundMs: number) {
    this.#boundMs = boundMs
  }

  /** True once the set was read, or learned from a peer that knows it. Until then every data centre counts as evacuated. */
  get isKnown (): boolean {
    return this.#isKnown
  }

  /** True when nothing is evacuated, so that no data centre needs to be looked at. */
  isEmpty (now: number): boolean {
    return this.#isKnown && this.#listed.size === 0 && now >= this.#retainedUntil
  }

  /** Version at which the store held the set. */
  get version (): ListVersion {
    return this.#version
  }

  /**
   * Applies a complete read: what is missing in it isn't in force any more. A read older than the set is ignored.
   * @param ageMs time since the read began.
   */
  update (dataCentres: Iterable<string>, version: ListVersion, ageMs: number, now: number): EvacuationChange[] {
    const read = this.#heardNow(dataCentres, now)
    if (!this.#isKnown || compareVersions(version, this.#version) >= 0) {
      this.#join(read, version, now)
      this.confirm(ageMs, now)
    }
    return this.#takeChanges(now)
  }

  /** Adds what a read names that doesn't tell of all: it takes nothing away, and the set stays that of its version. The first read counts as complete. */
  add (dataCentres: Iterable<string>, version: ListVersion, now: number): EvacuationChange[] {
    if (!this.#isKnown) return this.update(dataCentres, version, 0, now)
    if (compareVersions(version, this.#version) < 0) return []
    this.#listed = new Map([...this.#heardNow(dataCentres, now), ...this.#listed])
    return this.#takeChanges(now)
  }

  /** Joins the set that a peer knows. */
  merge (report: EvacuationReport, now: number): EvacuationChange[] {
    if (!report.known) return []
    const isEarlier = this.#isKnown && compareVersions(report.version, this.#version) < 0
    const absentIn = this.#version
    const received = new Map(report.dataCentres.filter(d => d.leftMs === undefined).map(d => [d.name, toEvacuation(d, absentIn, now)]))
    if (isEarlier) this.#mergeAges(received, report.version)
    else this.#join(received, report.version, now)
    if (report.version.epoch === this.#version.epoch) this.#mergeRetained(report.dataCentres, now)
    return this.#takeChanges(now)
  }

  /** Records that the store held this set `ageMs` ago. */
  confirm (ageMs: number, now: number): void {
    if (this.#isKnown) this.#confirmedAt = Math.max(this.#confirmedAt, now - ageMs)
  }

  /** True when the data centre gets no new work. */
  isClosed (dataCentre: string, now: number): boolean {
    return !this.#isKnown || this.#find(dataCentre, now) !== undefined
  }

  /** True when the data centre gets no request of a session whose prompt lies there. @param session hash of the session. */
  isClosedTo (dataCentre: string, session: number, now: number): boolean {
    if (!this.#isKnown) return true
    const evacuation = this.#find(dataCentre, now)
    if (evacuation === undefined) return false
    const { heardAt, writtenAfter } = evacuation
    const latest = Math.min(heardAt + LEAVE_FRACTION * this.#boundMs, writtenAfter + LAST_FRACTION * this.#boundMs)
    return now >= heardAt + Math.max(0, latest - heardAt) * combine(session, hashString(dataCentre)) / HASH_RANGE
  }

  /** True when engines elsewhere may copy prompts from the data centre. */
  mayCopyFrom (dataCentre: string, now: number): boolean {
    if (!this.#isKnown) return false
    const evacuation = this.#find(dataCentre, now)
    return evacuation === undefined || now < evacuation.writtenAfter + LAST_FRACTION * this.#boundMs
  }

  /** The evacuations in force. */
  ages (now: number): EvacuationAge[] {
    return [...this.#inForce(now)].map(([dataCentre, { heardAt }]) => ({ dataCentre, ageMs: now - heardAt }))
  }

  /** The whole set, for peers. */
  report (now: number): EvacuationReport {
    const listed = [...this.#listed].map(([name, evacuation]) => toGossip(name, evacuation, now))
    const retained = [...this.#retained].filter(([, { until }]) => now < until)
      .map(([name, { evacuation, until }]) => ({ ...toGossip(name, evacuation, now), leftMs: Math.ceil(until - now) }))
    return { known: this.#isKnown, version: this.#version, dataCentres: [...listed, ...retained].slice(0, MAX_REPORTED) }
  }

  /** Evacuations of which this instance hears now. */
  #heardNow (dataCentres: Iterable<string>, now: number): Map<string, Evacuation> {
    const writtenAfter = Math.max(this.#confirmedAt, now - latestNoticeMs(this.#boundMs))
    return new Map([...dataCentres].map(name => [name, { heardAt: now, writtenAfter, absentIn: this.#version }]))
  }

  /** Replaces the set by one of the same or a later version. Of sets of the same version, which may differ while pages are read, both hold. */
  #join (next: Listed, version: ListVersion, now: number): void {
    const isSame = this.#isKnown && compareVersions(version, this.#version) === 0
    if (this.#isKnown && version.epoch > this.#version.epoch) this.#retain(now)
    const listed = new Map(isSame ? this.#listed : [])
    for (const [name, evacuation] of next) {
      const known = this.#find(name, now)
      listed.set(name, known === undefined ? evacuation : earliest(known, evacuation))
    }
    for (const name of next.keys()) this.#retained.delete(name)
    this.#listed = listed
    this.#version = version
    this.#isKnown = true
  }

  /** Keeps what was in force when another epoch begins. */
  #retain (now: number): void {
    const before = this.#inForce(now)
    this.#retained = new Map([...before].map(([name, evacuation]) => [name, { evacuation, until: now + RECOVERY_GRACE_MS }]))
    this.#retainedUntil = now + RECOVERY_GRACE_MS
  }

  /** A peer with an earlier set may have heard of an evacuation before this instance, unless that was another one of the same data centre. */
  #mergeAges (received: Listed, version: ListVersion): void {
    const listed = new Map(this.#listed)
    for (const [name, evacuation] of received) {
      const known = listed.get(name)
      if (known !== undefined && compareVersions(version, known.absentIn) > 0) listed.set(name, earliest(known, evacuation))
    }
    this.#listed = listed
  }

  /** Takes what a peer retains of the same epoch, once: an evacuation must not be prolonged by being passed on. */
  #mergeRetained (dataCentres: readonly GossipedEvacuation[], now: number): void {
    for (const d of dataCentres) {
      if (d.leftMs === undefined || this.#listed.has(d.name) || this.#retained.has(d.name)) continue
      const until = now + Math.min(RECOVERY_GRACE_MS, d.leftMs)
      this.#retained.set(d.name, { evacuation: toEvacuation(d, this.#version, now), until })
      this.#retainedUntil = Math.max(this.#retainedUntil, until)
    }
  }

  #find (dataCentre: string, now: number): Evacuation | undefined {
    const listed = this.#listed.get(dataCentre)
    if (listed !== undefined) return listed
    const retained = this.#retained.get(dataCentre)
    return retained !== undefined && now < retained.until ? retained.evacuation : undefined
  }

  #inForce (now: number): Map<string, Evacuation> {
    const retained = [...this.#retained].filter(([, { until }]) => now < until).map(([name, { evacuation }]) => [name, evacuation] as const)
    return new Map([...retained, ...this.#listed])
  }

  /** What began and ended since the last call. */
  #takeChanges (now: number): EvacuationChange[] {
    const before = this.#reported
    const inForce = this.#inForce(now)
    this.#reported = inForce
    const change = (kind: EvacuationChange['kind']) => ([dataCentre, { heardAt }]: [string, Evacuation]): EvacuationChange => ({ dataCentre, kind, ageMs: now - heardAt })
    const ended = [...before].filter(([name]) => !inForce.has(name)).map(change('ended'))
    for (const { dataCentre } of ended) this.#endRetained(dataCentre, now)
    return [...[...inForce].filter(([name]) => !before.has(name)).map(change('started')), ...ended]
  }

  /** Remembers that an evacuation ended, so that a peer's retained one doesn't begin it again in this epoch. */
  #endRetained (dataCentre: string, now: number): void {
    const known = this.#retained.get(dataCentre)
    if (known === undefined) this.#retained.set(dataCentre, { evacuation: { heardAt: now, writtenAfter: now, absentIn: this.#version }, until: now })
  }
}

function earliest (a: Evacuation, b: Evacuation): Evacuation {
  return { heardAt: Math.min(a.heardAt, b.heardAt), writtenAfter: Math.min(a.writtenAfter, b.writtenAfter), absentIn: a.absentIn }
}

function toEvacuation ({ ageMs, maxAgeMs }: GossipedEvacuation, absentIn: ListVersion, now: number): Evacuation {
  return { heardAt: now - ageMs, writtenAfter: now - Math.max(ageMs, maxAgeMs), absentIn }
}

function toGossip (name: string, { heardAt, writtenAfter }: Evacuation, now: number): GossipedEvacuation {
  return { name, ageMs: Math.max(0, Math.round(now - heardAt)), maxAgeMs: Math.max(0, Math.round(now - writtenAfter)) }
}
