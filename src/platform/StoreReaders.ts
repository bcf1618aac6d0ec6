/** Tasks that read the store: one watches the configuration, one reads the list of endpoints at an interval. */
import { setTimeout as sleep } from 'node:timers/promises'
import { Disposable } from '../common/Disposable.js'
import type { ListVersion } from '../common/generated/PeerDatagram.js'
import type { EndpointList, RoutingConfig } from '../common/routing/Types.js'
import type { IEvent, IRandom } from '../common/Services.js'
import type { Log } from '../router/telemetry/Log.js'
import { CONFIG_KEY, ENDPOINT_PREFIX, parseConfig, parseEndpoint } from './Records.js'
import type { StoreClient, StoreError, StoreItem, StoreRead } from './StoreClient.js'

const WATCH_WAIT_MS = 1_500 // short, so that a dead connection is detected soon
const CONFIG_FALLBACK_MS = 1_600 // interval of an instance that doesn't watch, when no peer confirms its configuration
const UNPUBLISHED_POLL_INTERVAL_MS = 400
const UNPUBLISHED_WAIT_MS = 2_500 // for the first configuration to arrive from a peer, before an instance reads the store itself
const MIN_BACKOFF_MS = 150
const MAX_BACKOFF_MS = 1_200

/** Receives what was read and schedules further reads, taking the reads of peers into account. */
export interface IStoreReceiver {
  /** True when this instance watches the configuration for its data centre. */
  readonly isConfigReader: boolean
  /** Fires when this instance becomes or ceases to be a reader, so that its next read may be due earlier. */
  readonly onReaderChange: IEvent<void>
  /** Time until the configuration should be read, when this instance doesn't watch it. */
  configWaitMs (intervalMs: number): number
  /** Time until the list should be read again. */
  listWaitMs (intervalMs: number): number
  updateConfig (config: RoutingConfig): void
  /** Records that the store has no newer configuration than the one that was read last. */
  confirmConfig (): void
  /** @param ageMs time since the read began: a slow response may be as old as its request. */
  updateEndpoints (list: EndpointList, ageMs: number): void
  /** @param ageMs time since the failed read began. */
  endpointReadFailed (ageMs: number): void
}

/** Base class of the readers: backs off after failures and logs each loss and recovery of the store once. */
abstract class StoreReader extends Disposable {
  protected readonly receiver: IStoreReceiver
  protected readonly store: StoreClient
  protected readonly log: Log
  readonly #random: IRandom
  readonly #name: string
  #failures = 0
  #lostAt = 0

  constructor (name: string, store: StoreClient, random: IRandom, log: Log, receiver: IStoreReceiver) {
    super()
    this.receiver = receiver
    this.#name = name
    this.store = store
    this.#random = random
    this.log = log
  }

  /** Reads until disposed. */
  async run (): Promise<void> {
    while (!this.isDisposed) {
      const waitMs = await this.step()
      if (waitMs > 0) await this.#wait(waitMs)
    }
  }

  /** Waits until the next step. A change of the readers ends the wait, unless the store failed: then the backoff counts. */
  async #wait (ms: number): Promise<void> {
    const abort = new AbortController()
    const listener = this.receiver.onReaderChange(() => { if (this.#failures === 0) abort.abort() })
    await sleep(ms, undefined, { ref: false, signal: abort.signal }).catch(() => {}) // rejects when ended early
    listener.dispose()
  }

  /** Makes one read if it is due; returns the time in ms until the next step. */
  protected abstract step (): Promise<number>

  protected succeeded (): void {
    if (this.#failures > 0) this.log.info({ step: 'store', reader: this.#name, failures: this.#failures, lostMs: Math.round(performance.now() - this.#lostAt) }, 'store regained')
    this.#failures = 0
  }

  /** Returns the time in ms to wait before the next try. */
  protected failed (e: StoreError): number {
    if (this.#failures === 0) {
      this.#lostAt = performance.now()
      this.log.warn({ step: e.step, reader: this.#name, peer: e.peer, kind: e.kind, reason: e.reason }, 'store lost')
    }
    const backoffMs = Math.min(MAX_BACKOFF_MS, MIN_BACKOFF_MS * 2 ** this.#failures++)
    return backoffMs * (0.5 + this.#random.next() / 2)
  }
}

/** Watches the configuration. */
export class ConfigReader extends StoreReader {
  /** Version that the watch goes on from; undefined when the key is to be read first. */
  #position: ListVersion | undefined
  #notPublishedLogged = false

  constructor (store: StoreClient, random: IRandom, log: Log, receiver: IStoreReceiver) {
    super('config', store, random, log, receiver)
  }

  protected override async step (): Promise<number> {
    if (!this.receiver.isConfigReader) {
      const waitMs = this.receiver.configWaitMs(CONFIG_FALLBACK_MS)
      if (waitMs > 0) return waitMs
      this.#position = undefined
    }
    const position = this.#position
    const read = position === undefined ? await this.store.key(CONFIG_KEY) : await this.store.watch(CONFIG_KEY, position.revision, WATCH_WAIT_MS)
    if (read.isErr()) {
      if (read.error.kind === 'not-found') return this.#onNotPublished()
      this.#position = undefined // the store may come back from a copy, in which the revision stands for another change
      return this.failed(read.error)
    }
    this.succeeded()
    this.#apply(read.value)
    if (position !== undefined && position.epoch !== read.value.version.epoch) this.#onRestored(position, read.value.version)
    return 0
  }

  /** Changes before the revision of the watch may have been missed: reads the key again. */
  #onRestored (own: ListVersion, version: ListVersion): void {
    this.log.warn({ step: 'config', version, own }, 'platform was restored from a copy')
    this.#position = undefined
  }

  /** No configuration was ever published: one instance polls the store, the others wait until a peer has one. */
  #onNotPublished (): number {
    this.succeeded()
    if (!this.#notPublishedLogged) this.log.info({ step: 'config' }, 'no configuration is published yet')
    this.#notPublishedLogged = true
    return this.receiver.isConfigReader ? UNPUBLISHED_POLL_INTERVAL_MS : UNPUBLISHED_WAIT_MS
  }

  #apply (read: StoreRead): void {
    this.#position = read.version
    for (const item of read.items.filter(i => i.key === CONFIG_KEY)) {
      const config = parseConfig(item)
      if (config === undefined) this.log.error({ step: 'config', bytes: item.value.length }, 'unreadable configuration')
      else this.receiver.updateConfig(config)
    }
    this.receiver.confirmConfig()
  }
}

/** Reads the list of endpoints. A watch would fire on each endpoint's heartbeat; a full read per second costs less. */
export class EndpointReader extends StoreReader {
  readonly #intervalMs: number
  #malformedKeys = ''

  constructor (store: StoreClient, random: IRandom, log: Log, receiver: IStoreReceiver, intervalMs: number) {
    super('endpoints', store, random, log, receiver)
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
    this.succeeded()
    const malformed = read.value.items.filter(item => parseEndpoint(item) === undefined)
    this.#logMalformed(malformed)
    const endpoints = read.value.items.map(parseEndpoint).filter(e => e !== undefined)
    this.receiver.updateEndpoints({ version: read.value.version, endpoints }, performance.now() - startedAt)
    return 0
  }

  #logMalformed (items: readonly StoreItem[]): void {
    const keys = items.map(i => i.key).join(' ')
    if (keys !== this.#malformedKeys && keys !== '') this.log.warn({ step: 'endpoints', keys }, 'malformed entries left out')
    this.#malformedKeys = keys
  }
}
