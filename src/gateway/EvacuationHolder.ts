/** Holds the evacuations that this gateway knows, from its own reads and from peers, and logs each that begins or ends. */
import { Disposable } from '../common/Disposable.js'
import { Emitter } from '../common/Emitter.js'
import type { EvacuationReport, ListVersion } from '../common/generated/PeerDatagram.js'
import { EvacuationSet, type EvacuationAge, type EvacuationChange } from '../common/routing/EvacuationSet.js'
import type { IClock } from '../common/Services.js'
import type { Log } from '../router/telemetry/Log.js'

export class EvacuationHolder extends Disposable {
  readonly #set: EvacuationSet
  readonly #clock: IClock
  readonly #log: Log
  readonly #changed = this.own(new Emitter<readonly EvacuationChange[]>())

  /** Fires when evacuations began or ended, and when the set becomes known. */
  readonly onChange = this.#changed.event

  /** @param boundMs longest time until an evacuated data centre gets no more requests. */
  constructor (boundMs: number, clock: IClock, log: Log) {
    super()
    this.#set = new EvacuationSet(boundMs)
    this.#clock = clock
    this.#log = log
  }

  /** False until the set was read or learned from a peer. */
  get isKnown (): boolean {
    return this.#set.isKnown
  }

  /** True when nothing is evacuated. */
  get isEmpty (): boolean {
    return this.#set.isEmpty(this.#clock.nowMs())
  }

  /** The evacuations in force. */
  get ages (): readonly EvacuationAge[] {
    return this.#set.ages(this.#clock.nowMs())
  }

  /** The set for peers. */
  get report (): EvacuationReport {
    return this.#set.report(this.#clock.nowMs())
  }

  /** Applies a complete read of the store. @param ageMs time since the read began. */
  update (dataCentres: readonly string[], version: ListVersion, ageMs: number): void {
    const wasKnown = this.isKnown
    this.#publish(this.#set.update(dataCentres, version, ageMs, this.#clock.nowMs()), version, 'store', wasKnown)
  }

  /** Adds what an incomplete read of the store names. */
  add (dataCentres: readonly string[], version: ListVersion): void {
    const wasKnown = this.isKnown
    this.#publish(this.#set.add(dataCentres, version, this.#clock.nowMs()), version, 'store', wasKnown)
  }

  /** Joins a peer's set; returns false when the peer knows none. */
  merge (peer: string, report: EvacuationReport | undefined): boolean {
    if (report?.known !== true) return false
    const wasKnown = this.isKnown
    this.#publish(this.#set.merge(report, this.#clock.nowMs()), report.version, peer, wasKnown)
    return true
  }

  /** Records that the store held this set `ageMs` ago. */
  confirm (ageMs: number): void {
    this.#set.confirm(ageMs, this.#clock.nowMs())
  }

  /** True when the data centre gets no new work. */
  isClosed (dataCentre: string): boolean {
    return this.#set.isClosed(dataCentre, this.#clock.nowMs())
  }

  /** True when the data centre gets no request of a session whose prompt lies there. @param session hash of the session. */
  isClosedTo (dataCentre: string, session: number): boolean {
    return this.#set.isClosedTo(dataCentre, session, this.#clock.nowMs())
  }

  /** True when engines elsewhere may copy prompts from the data centre. */
  mayCopyFrom (dataCentre: string): boolean {
    return this.#set.mayCopyFrom(dataCentre, this.#clock.nowMs())
  }

  #publish (changes: readonly EvacuationChange[], version: ListVersion, from: string, wasKnown: boolean): void {
    for (const { dataCentre, kind, ageMs } of changes) {
      this.#log.info({ step: 'evacuation', dataCentre, kind, from, version, own: this.#set.version, ageMs: Math.round(ageMs) }, `evacuation ${kind}`)
    }
    if (changes.length > 0 || this.isKnown !== wasKnown) this.#changed.fire(changes)
  }
}
