/** Tasks that read the store: one watches what the operator writes (configuration, evacuations), one reads the list of endpoints at an interval. */
import { setTimeout as sleep } from 'node:timers/promises'
import type { Result } from 'neverthrow'
import { Disposable } from '../common/Disposable.js'
import type { ListVersion } from '../common/generated/PeerDatagram.js'
import { compareVersions } from '../common/peers/ListVersion.js'
import { ageAfterWatch, type WatchTimes } from '../common/peers/ConfigSchedule.js'
import type { EndpointList, RoutingConfig } from '../common/routing/Types.js'
import type { IEvent, IRandom } from '../common/Services.js'
import type { Log } from '../router/telemetry/Log.js'
import { CONFIG_KEY, ENDPOINT_PREFIX, limitEvacuations, OPERATOR_PREFIX, parseConfig, parseEndpoint, parseEvacuation } from './Records.js'
import type { IStoreReads, StoreError, StoreItem, StoreRead } from './StoreClient.js'

const UNPUBLISHED_POLL_INTERVAL_MS = 400
const MIN_PAUSE_MS = 50 // between two calls, whatever the answer was
const MIN_BACKOFF_MS = 150
const MAX_BACKOFF_MS = 1_200

/** Waits; rejects when the signal ends the wait early. */
export type Wait = (ms: number, signal?: AbortSignal) => Promise<unknown>

const systemWait: Wait = async (ms, signal) => { await sleep(ms, undefined, { ref: false, ...signal === undefined ? {} : { signal } }) }

/** Receives what was read and schedules further reads, taking the reads of peers into account. */
export interface IStoreReceiver {
  /** True when this instance watches the configuration for its data centre. */
  readonly isConfigReader: boolean
  /** Fires when this instance becomes or ceases to be a reader, so that its next read may be due earlier. */
  readonly onReaderChange: IEvent<void>
  /** Time since a read of this instance or of a peer confirmed the configuration; Infinity before the first. */
  readonly configAgeMs: number
  /** Time until the configuration should be read, when this instance doesn't watch it. */
  configWaitMs (): number
  /** Times of the next watch of the configuration. */
  readonly configWatch: WatchTimes
  /** Time until the list should be read again. */
  listWaitMs (intervalMs: number): number
  /** True where data centres may be evacuated; the configuration's reader then follows the evacuations, too. */
  readonly followsEvacuations: boolean
  /** Takes the data centres that are evacuated as of a version of the store; all others aren't. @param ageMs time since it is known to have had no others. */
  updateEvacuations (dataCentres: readonly string[], version: ListVersion, ageMs: number): void
  /** Takes data centres that are evacuated as of a version of the store, by a read that doesn't tell of all. */
  addEvacuations (dataCentres: readonly string[], version: ListVersion): void
  /** Takes a configuration. @param ageMs time since the store is known to have had no newer one; Infinity when that isn't known. */
  updateConfig (config: RoutingConfig, ageMs: number): void
  /** Records that the store had no newer configuration `ageMs` ago than the one that was read last, or none if none was ever read. */
  confirmConfig (ageMs: number): void
  /** Returns false when the list is older than the last one. @param ageMs time since the read began: a slow response may be as old as its request. */
  updateEndpoints (list: EndpointList, ageMs: number): boolean
  /** @param ageMs time since the failed read began. */
  endpointReadFailed (ageMs: number): void
}

/**
 * Base class of the readers: pauses between calls, backs off while they fail or bring nothing usable, and logs each loss and recovery
 * of the store once.
 */
abstract class StoreReader extends Disposable {
  protected readonly receiver: IStoreReceiver
  protected readonly store: IStoreReads
  protected readonly log: Log
  readonly #random: IRandom
  readonly #name: string
  readonly #sleep: Wait
  /** Calls in a row that brought nothing usable. */
  #unusable = 0
  /** When the store was lost; undefined while it answers. */
  #lostAt: number | undefined

  constructor (name: string, store: IStoreReads, random: IRandom, log: Log, receiver: IStoreReceiver, wait: Wait) {
    super()
    this.receiver = receiver
    this.#name = name
    this.store = store
    this.#random = random
    this.log = log
    this.#sleep = wait
  }

  /** Reads until disposed. */
  async run (): Promise<void> {
    while (!this.isDisposed) {
      const startedAt = performance.now()
      const waitMs = await this.#stepSafely()
      const pauseMs = MIN_PAUSE_MS - (performance.now() - startedAt)
      if (waitMs > pauseMs) await this.#wait(waitMs)
      else if (pauseMs > 0) await this.#sleep(pauseMs)
    }
  }

  /** Makes a step. An exception in one, as by an odd record, must not end the reader. */
  async #stepSafely (): Promise<number> {
    try {
      return await this.step()
    } catch (e) {
      this.log.error({ step: 'store', reader: this.#name, err: String(e), stack: e instanceof Error ? e.stack : undefined }, 'read not applied')
      return this.#backOff()
    }
  }

  /** Waits until the next step. A change of the readers ends the wait, unless the reader backs off. */
  async #wait (ms: number): Promise<void> {
    const abort = new AbortController()
    const listener = this.receiver.onReaderChange(() => { if (this.#unusable === 0) abort.abort() })
    await this.#sleep(ms, abort.signal).catch(() => {}) // rejects when ended early
    listener.dispose()
  }

  /** Makes one read if it is due; returns the time in ms until the next step. */
  protected abstract step (): Promise<number>

  /** Records an answer. Returns the time in ms to wait before the next step: none, or longer each time while answers are of no use. */
  protected answered (usable: boolean): number {
    this.regained()
    if (!usable) return this.#backOff()
    this.#unusable = 0
    return 0
  }

  /** Logs that the store answers again. */
  protected regained (): void {
    if (this.#lostAt === undefined) return
    this.log.info({ step: 'store', reader: this.#name, calls: this.#unusable, lostMs: Math.round(performance.now() - this.#lostAt) }, 'store regained')
    this.#lostAt = undefined
  }

  /** Records a failed call; returns the time in ms to wait before the next step. */
  protected failed (e: StoreError): number {
    if (this.#lostAt === undefined) {
      this.#lostAt = performance.now()
      this.log.warn({ step: e.step, reader: this.#name, peer: e.peer, kind: e.kind, reason: e.reason }, 'store lost')
    }
    return this.#backOff()
  }

  #backOff (): number {
    const backoffMs = Math.min(MAX_BACKOFF_MS, MIN_BACKOFF_MS * 2 ** this.#unusable++)
    return backoffMs * (0.5 + this.#random.next() / 2)
  }
}

/** Watches the configuration and, where data centres may be evacuated, all that the operator writes: evacuations cost no call of their own. */
export class ConfigReader extends StoreReader {
  /** Version that the watch goes on from; undefined when the key, or all under the prefix, is to be read first. */
  #position: ListVersion | undefined
  /** Data centres that were evacuated at that version. */
  #evacuated: ReadonlySet<string> = new Set()
  #notPublishedLogged = false

  constructor (store: IStoreReads, random: IRandom, log: Log, receiver: IStoreReceiver, wait = systemWait) {
    super('config', store, random, log, receiver, wait)
  }

  protected override async step (): Promise<number> {
    if (!this.receiver.isConfigReader) {
      const waitMs = this.receiver.configWaitMs()
      if (waitMs > 0) return waitMs
      this.log.info({ step: 'config', ageMs: Math.round(this.receiver.configAgeMs) }, 'configuration not confirmed in time, reads it')
      this.#position = undefined
    }
    const position = this.#position
    const startedAt = performance.now()
    const times = this.receiver.configWatch
    const read = position === undefined ? await this.#readAll() : await this.#watch(position, times)
    if (read.isErr()) {
      if (read.error.kind === 'not-found') return this.#onNotPublished(performance.now() - startedAt)
      this.#position = undefined // the store may come back from a copy, in which the revision stands for another change
      return this.failed(read.error)
    }
    const { version } = read.value
    const elapsedMs = performance.now() - startedAt
    if (position === undefined) return this.#applyAll(read.value, elapsedMs)
    this.#applyChanges(position, read.value, ageAfterWatch(elapsedMs, times, hasChanges(read.value)))
    if (position.epoch !== version.epoch) return this.#onRestored(position, version)
    if (read.value.isPartial === true && this.receiver.followsEvacuations) return this.#onPartial()
    const hasWaited = elapsedMs > times.waitMs / 2
    return this.answered(hasWaited || (hasChanges(read.value) && compareVersions(version, position) > 0))
  }

  async #readAll (): Promise<Result<StoreRead, StoreError>> {
    return this.receiver.followsEvacuations ? await this.store.range(OPERATOR_PREFIX) : await this.store.key(CONFIG_KEY)
  }

  async #watch ({ revision }: ListVersion, times: WatchTimes): Promise<Result<StoreRead, StoreError>> {
    if (this.receiver.followsEvacuations) return await this.store.watch(OPERATOR_PREFIX, revision, times, true)
    return await this.store.watch(CONFIG_KEY, revision, times)
  }

  /** Applies a read of all; the evacuations first, so that a configuration isn't confirmed without them. */
  #applyAll (read: StoreRead, ageMs: number): number {
    if (this.receiver.followsEvacuations) {
      this.#updateEvacuations(new Set(evacuatedIn(read)), read, ageMs)
      const isPublished = read.items.some(item => item.key === CONFIG_KEY)
      if (isPublished) this.#applyConfig(read, ageMs)
      if (read.isPartial === true) return this.#onPartial()
      return isPublished ? this.#afterRead() : this.#onNotPublished(ageMs)
    }
    this.#applyConfig(read, ageMs)
    return this.#afterRead()
  }

  /** Items that couldn't be read may be evacuations or their ends: all is read again, and no watch goes on from here. */
  #onPartial (): number {
    this.#position = undefined
    return this.answered(false)
  }

  /** Applies what changed since `position`. Changes of another epoch stand for themselves only: all is read again. */
  #applyChanges (position: ListVersion, read: StoreRead, ageMs: number): void {
    if (!this.receiver.followsEvacuations) {
      this.#applyConfig(read, ageMs)
      return
    }
    if (read.version.epoch !== position.epoch) return
    const deleted = new Set(read.deleted?.map(parseEvacuation))
    this.#updateEvacuations(new Set([...[...this.#evacuated].filter(name => !deleted.has(name)), ...evacuatedIn(read)]), read, ageMs)
    this.#applyConfig(read, ageMs)
  }

  #updateEvacuations (dataCentres: ReadonlySet<string>, { version, isPartial }: StoreRead, ageMs: number): void {
    this.#evacuated = dataCentres
    const kept = limitEvacuations(dataCentres)
    if (kept.length < dataCentres.size) this.log.error({ step: 'evacuation', kept: kept.length, of: dataCentres.size }, 'too many evacuations')
    if (isPartial === true) this.receiver.addEvacuations(kept, version)
    else this.receiver.updateEvacuations(kept, version, ageMs)
  }

  /** A reader watches from here at once; only an answer to a watch ends its backoff, so that reads of the key in between don't. */
  #afterRead (): number {
    if (!this.receiver.isConfigReader) return this.answered(true)
    this.regained()
    return 0
  }

  /** Changes before the revision of the watch may have been missed: reads the key again. */
  #onRestored (own: ListVersion, version: ListVersion): number {
    this.log.warn({ step: 'config', version, own }, 'platform was restored from a copy')
    this.#position = undefined
    return this.answered(false)
  }

  /** There is no configuration yet: one instance polls the store, the others read only when no peer confirms that. @param ageMs time since the read began. */
  #onNotPublished (ageMs: number): number {
    this.answered(true)
    if (!this.#notPublishedLogged) this.log.info({ step: 'config' }, 'no configuration is published yet')
    this.#notPublishedLogged = true
    this.receiver.confirmConfig(ageMs)
    return this.receiver.isConfigReader ? UNPUBLISHED_POLL_INTERVAL_MS : 0
  }

  /** @param ageMs time since the store is known to have had nothing newer. */
  #applyConfig (read: StoreRead, ageMs: number): void {
    this.#position = read.version
    const isWhole = read.isPartial !== true || !this.receiver.followsEvacuations
    for (const item of read.items.filter(i => i.key === CONFIG_KEY)) {
      const config = parseConfig(item)
      if (config === undefined) this.log.error({ step: 'config', bytes: item.value.length }, 'unreadable configuration')
      else this.receiver.updateConfig(config, isWhole ? ageMs : Infinity)
    }
    if (isWhole) this.receiver.confirmConfig(ageMs)
  }
}

function hasChanges ({ items, deleted }: StoreRead): boolean {
  return items.length > 0 || (deleted?.length ?? 0) > 0
}

function evacuatedIn (read: StoreRead): string[] {
  return read.items.map(item => parseEvacuation(item.key)).filter(dataCentre => dataCentre !== undefined)
}

/** Reads the list of endpoints. A watch would fire on each endpoint's heartbeat; a full read per second costs less. */
export class EndpointReader extends StoreReader {
  readonly #intervalMs: number
  #malformedKeys = ''

  constructor (store: IStoreReads, random: IRandom, log: Log, receiver: IStoreReceiver, intervalMs: number, wait = systemWait) {
    super('endpoints', store, random, log, receiver, wait)
    this.#intervalMs = intervalMs
  }

  protected override async step (): Promise<number> {
    const waitMs = this.receiver.listWaitMs(this.#intervalMs)
    if (waitMs > 0) return waitMs
    const startedAt = performance.now()
    const read = await this.store.range(ENDPOINT_PREFIX)
    if (read.isErr()) {
      this.receiver.endpointReadFailed(performance.now() - startedAt)
      return this.failed(read.error)
    }
    const malformed = read.value.items.filter(item => parseEndpoint(item) === undefined)
    this.#logMalformed(malformed)
    const endpoints = read.value.items.map(parseEndpoint).filter(e => e !== undefined)
    return this.answered(this.receiver.updateEndpoints({ version: read.value.version, endpoints }, performance.now() - startedAt))
  }

  #logMalformed (items: readonly StoreItem[]): void {
    const keys = items.map(i => i.key).join(' ')
    if (keys !== this.#malformedKeys && keys !== '') this.log.warn({ step: 'endpoints', keys }, 'malformed entries left out')
    this.#malformedKeys = keys
  }
}
