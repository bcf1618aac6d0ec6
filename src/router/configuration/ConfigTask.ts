/**
 * Keeps the active configuration current: the relays of a data centre watch the platform; all other instances see a new
 * revision in a peer's gossip digest and fetch the missing parts from that peer. An instance whose configuration no relay confirms in time
 * reads the platform itself. Nothing is written to disk or to the platform.
 */
import { setTimeout as sleep } from 'node:timers/promises'
import { Disposable } from '../../common/Disposable.js'
import { Emitter } from '../../common/Emitter.js'
import { joinVersions, supersedes, type ConfigConfirmation, type ConfigManifest, type ConfigVersion, type RejectedVersion } from '../../common/config/ConfigJoin.js'
import { joinParts, splitText, type SplitFile } from '../../common/config/ConfigParts.js'
import { checkFileText } from '../../common/config/FileChecks.js'
import { VotedConfig } from '../../common/config/VotedConfig.js'
import type { InstanceDigest } from '../../common/generated/PeerDatagram.js'
import { hashString } from '../../common/Hash.js'
import { ageAfterWatch, ConfigSchedule, type WatchTimes } from '../../common/peers/ConfigSchedule.js'
import { instanceJitter } from '../../common/peers/ReaderElection.js'
import { rankTop } from '../../common/Rendezvous.js'
import type { IClock } from '../../common/Services.js'
import { sha256 } from '../fleet/Crypto.js'
import type { Fleet } from '../fleet/Fleet.js'
import type { Log } from '../telemetry/Log.js'
import type { Metrics } from '../telemetry/Metrics.js'
import type { PeerApiClients } from '../fleet/PeerApi.js'
import type { PlatformClient } from './PlatformClient.js'

const IN_FORCE_MS = 4_000 // until an accepted file must be in force everywhere
const RELAYS_PER_DATA_CENTRE = 2
const STANDBYS_PER_DATA_CENTRE = 2
const MIN_QUERY_INTERVAL_MS = 100
const RELAY_QUERY_AGE_MS = 1_000 // younger configurations need no confirmation
const RELAY_TERM_MS = 60_000 // relays rotate to spread the cost of full reads over all instances
const ROLE_CHECK_INTERVAL_MS = 500
const RETRY_DELAY_MS = 300
const STANDBY_RETRY_DELAY_MS = 2_000 // longer than a relay's, so that not all instances call a platform that is down
const PART_HASH_LENGTH = 12 // 72 bits; the digest of the whole file is verified as well
const START_ATTEMPTS = 10

/** Watches, fetches, validates and activates configurations. */
export class ConfigTask extends Disposable {
  readonly #clock: IClock
  readonly #platform: PlatformClient
  readonly #metrics: Metrics
  readonly #log: Log
  readonly #changed = this.own(new Emitter<VotedConfig>())
  #fleet: Fleet | undefined
  #peers: PeerApiClients | undefined
  #current: VotedConfig | undefined
  #split: SplitFile = { manifest: [], parts: new Map() }
  #rejected: RejectedVersion | undefined
  readonly #schedule = new ConfigSchedule(IN_FORCE_MS)
  #platformRevision = -1
  #confirmedAt = -Infinity
  #fetching = false
  #asking = false

  /** Fires when another configuration becomes active. */
  readonly onChange = this.#changed.event

  constructor (clock: IClock, platform: PlatformClient, metrics: Metrics, log: Log) {
    super()
    this.#clock = clock
    this.#platform = platform
    this.#metrics = metrics
    this.#log = log
  }

  /** The active configuration; undefined until one has been obtained. */
  get current (): VotedConfig | undefined {
    return this.#current
  }

  /** The last configuration that was rejected as invalid. */
  get rejected (): RejectedVersion | undefined {
    return this.#rejected
  }

  /** Memory of the parts that are kept for peers, approximated by their text length. */
  get cachedBytes (): number {
    let bytes = 0
    for (const part of this.#split.parts.values()) bytes += part.length
    return bytes
  }

  /** Manifest of the active configuration. */
  manifest (): ConfigManifest | undefined {
    const version = this.#current?.version
    return version === undefined ? undefined : { revision: version.revision, digest: version.digest, manifest: this.#split.manifest }
  }

  /** The active configuration and the age of its confirmation. */
  confirmation (): ConfigConfirmation | undefined {
    const version = this.#current?.version
    return version === undefined ? undefined : { revision: version.revision, digest: version.digest, ageMs: this.#ageMs }
  }

  /** Parts by their hash; unknown hashes are skipped. */
  parts (ids: readonly string[]): Array<readonly [string, string]> {
    return ids.flatMap(id => {
      const text = this.#split.parts.get(id)
      return text === undefined ? [] : [[id, text] as const]
    })
  }

  /** Reads from peers and the platform, up to START_ATTEMPTS times, before the instance serves, then starts watching. */
  async start (fleet: Fleet, peers: PeerApiClients): Promise<void> {
    this.#fleet = fleet
    this.#peers = peers
    this.own(fleet.onDigest(d => this.#onDigest(d)))
    for (let i = 0; i < START_ATTEMPTS && !this.isDisposed; i++) {
      await Promise.all([this.#readPlatform(), this.#fetchFromPeers()])
      if (this.#current !== undefined) break
      await sleep(RETRY_DELAY_MS)
    }
    this.#watch().catch((e: unknown) => this.#log.error({ step: 'config', err: String(e) }, 'watch failed'))
  }

  /** Activates a configuration if it is valid and supersedes the active one; an invalid one is rejected as a whole. */
  apply (text: string, revision: number, source: string): void {
    const digest = sha256(text)
    const active = this.#current?.version
    if (active !== undefined && !supersedes({ revision, digest }, active)) return
    if (this.#rejected?.revision === revision && this.#rejected.digest === digest) return
    const checked = checkFileText(text)
    if (checked.isErr()) {
      this.#rejected = { revision, digest, errors: checked.error }
      this.#log.warn({ step: 'config', peer: source, revision, digest, errors: checked.error.slice(0, 20) }, 'file refused')
      return
    }
    this.#activate(joinVersions<ConfigVersion>(active, { revision, digest, file: checked.value })!, text, source)
  }

  #activate (version: ConfigVersion, text: string, source: string): void {
    this.#current = new VotedConfig(version)
    this.#split = splitText(text, piece => sha256(piece).slice(0, PART_HASH_LENGTH))
    this.#metrics.configRevision.set(version.revision)
    this.#log.info({ step: 'config', peer: source, revision: version.revision, digest: version.digest }, 'file in force')
    this.#changed.fire(this.#current)
  }

  /** Time since the platform is known to have had no newer valid file than the active one. */
  get #ageMs (): number {
    return this.#clock.nowMs() - this.#confirmedAt
  }

  #confirm (ageMs: number): void {
    this.#confirmedAt = Math.max(this.#confirmedAt, this.#clock.nowMs() - ageMs)
  }

  /** The relays of this data centre, then the standbys that read first when no relay confirms the configuration. */
  #readers (): readonly string[] {
    const fleet = this.#fleet!
    const term = Math.floor(this.#clock.wallMs() / RELAY_TERM_MS)
    const candidates = fleet.usableInstances(fleet.self.dataCentre).map(id => ({ id, hash: hashString(id), weight: 1 }))
    return rankTop(hashString(`relay:${term}`), candidates, RELAYS_PER_DATA_CENTRE + STANDBYS_PER_DATA_CENTRE).map(c => c.id)
  }

  async #watch (): Promise<void> {
    while (!this.isDisposed) {
      const readers = this.#readers()
      const rank = readers.indexOf(this.#fleet!.self.id)
      const isRelay = rank >= 0 && rank < RELAYS_PER_DATA_CENTRE
      if (isRelay || this.#current === undefined) await this.#watchPlatform(this.#schedule.watch(this.#ageMs))
      else await this.#followRelays(readers.slice(0, RELAYS_PER_DATA_CENTRE), rank === -1 ? readers.length : rank - RELAYS_PER_DATA_CENTRE + 1)
    }
  }

  /** Waits for a change of the platform's file, and reads it. Returns false when the platform can't be read. */
  async #watchPlatform (times: WatchTimes): Promise<boolean> {
    const before = this.#platformRevision
    const startedAt = performance.now()
    const read = await this.#platform.revision(before, times)
    if (this.isDisposed) return false
    if (read.isErr()) {
      this.#log.debug({ ...read.error }, 'cannot read the platform')
      await sleep(RETRY_DELAY_MS)
      if (this.#current === undefined) await this.#fetchFromPeers()
      return false
    }
    const elapsedMs = performance.now() - startedAt
    if (read.value !== before) await this.#readPlatform()
    else this.#confirm(ageAfterWatch(elapsedMs, times, false))
    if (elapsedMs < RETRY_DELAY_MS && this.#platformRevision === before) await sleep(RETRY_DELAY_MS)
    return true
  }

  /** Has the configuration confirmed by a relay, or reads the platform when that comes too late. @param rank place among the standbys, from 1. */
  async #followRelays (relays: readonly string[], rank: number): Promise<void> {
    const readAgeMs = this.#schedule.readAgeMs(rank, instanceJitter(this.#fleet!.self.id))
    const leftMs = Math.max(0, readAgeMs - this.#ageMs)
    await sleep(Math.min(ROLE_CHECK_INTERVAL_MS, leftMs, Math.max(MIN_QUERY_INTERVAL_MS, leftMs / 2))) // asks more often as the time runs out
    if (this.isDisposed) return
    if (this.#ageMs < readAgeMs) {
      if (this.#ageMs > RELAY_QUERY_AGE_MS) this.#askRelays(relays).catch((e: unknown) => this.#log.error({ step: 'config', err: String(e) }, 'relays not asked'))
    } else {
      this.#log.info({ step: 'config', ageMs: Math.round(this.#ageMs) }, 'file not confirmed in time, reads the platform')
      const isRead = await this.#watchPlatform(this.#schedule.watch(Infinity))
      if (!isRead) await sleep(STANDBY_RETRY_DELAY_MS)
    }
  }

  /** Asks the relays for the age of their configuration, once at a time. */
  async #askRelays (relays: readonly string[]): Promise<void> {
    if (this.#asking) return
    this.#asking = true
    await Promise.all(relays.map(id => this.#askRelay(id)))
    this.#asking = false
  }

  async #askRelay (id: string): Promise<void> {
    const startedAt = performance.now()
    try {
      const remote = await this.#peers!.forInstance(id)?.config.confirmation.query()
      const active = this.#current?.version
      if (remote?.revision === active?.revision && remote?.digest === active?.digest) this.#confirm((remote?.ageMs ?? Infinity) + performance.now() - startedAt)
    } catch (e) {
      this.#log.debug({ step: 'config', peer: id, err: String(e) }, 'relay gave no confirmation')
    }
  }

  async #readPlatform (): Promise<boolean> {
    const startedAt = performance.now()
    const read = await this.#platform.file()
    if (read.isErr() || this.isDisposed) return false
    this.#platformRevision = read.value.revision
    this.apply(read.value.text, read.value.revision, 'platform')
    this.#confirm(performance.now() - startedAt)
    return true
  }

  async #fetchFromPeers (): Promise<void> {
    const fleet = this.#fleet!
    const ids = fleet.usableInstances().filter(id => id !== fleet.self.id).slice(0, 6)
    await Promise.all(ids.map(id => this.#tryFetch(id)))
  }

  #onDigest (digest: InstanceDigest): void {
    if (digest.configRevision === 0 || this.#fetching) return // one fetch at a time; later digests trigger the next
    const active = this.#current?.version
    const own = { revision: active?.revision ?? 0, digest: active?.digest.slice(0, 16) ?? '' }
    if (supersedes({ revision: digest.configRevision, digest: digest.configDigest }, own)) this.#tryFetch(digest.id).catch(() => {})
  }

  async #tryFetch (id: string): Promise<void> {
    this.#fetching = true
    try {
      await this.#fetch(id)
    } catch (e) {
      this.#log.debug({ step: 'config', peer: id, err: String(e) }, 'cannot fetch the configuration from the peer')
    } finally {
      this.#fetching = false
    }
  }

  async #fetch (id: string): Promise<void> {
    const api = this.#peers!.forInstance(id)
    const remote = await api?.config.manifest.query()
    if (api === undefined || remote === undefined || remote === null) return
    const active = this.#current?.version
    if (active !== undefined && !supersedes(remote, active)) return
    const missing = remote.manifest.filter(part => !this.#split.parts.has(part))
    const parts = new Map(this.#split.parts)
    const fetched = missing.length === 0 ? [] : await api.config.parts.query({ ids: [...new Set(missing)] })
    for (const [part, text] of fetched) parts.set(part, text)
    const text = joinParts(remote.manifest, parts)
    if (text !== undefined && sha256(text) === remote.digest) this.apply(text, remote.revision, id)
  }
}
