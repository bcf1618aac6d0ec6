/**
 * Keeps the active configuration current: the relays of a data centre watch the platform; all other instances see a new
 * revision in a peer's gossip digest and fetch the missing parts from that peer. Nothing is written to disk or to the platform.
 */
import { setTimeout as sleep } from 'node:timers/promises'
import { Disposable } from '../../common/Disposable.js'
import { Emitter } from '../../common/Emitter.js'
import { joinVersions, supersedes, type ConfigManifest, type ConfigVersion, type RejectedVersion } from '../../common/config/ConfigJoin.js'
import { joinParts, splitText, type SplitFile } from '../../common/config/ConfigParts.js'
import { checkFileText } from '../../common/config/FileChecks.js'
import { VotedConfig } from '../../common/config/VotedConfig.js'
import type { InstanceDigest } from '../../common/generated/PeerDatagram.js'
import { hashString } from '../../common/Hash.js'
import { rankTop } from '../../common/Rendezvous.js'
import type { IClock } from '../../common/Services.js'
import { sha256 } from '../fleet/Crypto.js'
import type { Fleet } from '../fleet/Fleet.js'
import type { Log } from '../telemetry/Log.js'
import type { Metrics } from '../telemetry/Metrics.js'
import type { PeerApiClients } from '../fleet/PeerApi.js'
import type { PlatformClient } from './PlatformClient.js'

const WATCH_TIMEOUT_MS = 20_000
const RELAYS_PER_DATA_CENTRE = 2
const RELAY_TERM_MS = 60_000 // relays rotate to spread the cost of full reads over all instances
const ROLE_CHECK_INTERVAL_MS = 500
const RETRY_DELAY_MS = 300
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
  #platformRevision = -1
  #fetching = false

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

  #isRelay (): boolean {
    const fleet = this.#fleet!
    const term = Math.floor(this.#clock.wallMs() / RELAY_TERM_MS)
    const candidates = fleet.usableInstances(fleet.self.dataCentre).map(id => ({ id, hash: hashString(id), weight: 1 }))
    return rankTop(hashString(`relay:${term}`), candidates, RELAYS_PER_DATA_CENTRE).some(c => c.id === fleet.self.id)
  }

  async #watch (): Promise<void> {
    while (!this.isDisposed) {
      if (!this.#isRelay() && this.#current !== undefined) {
        await sleep(ROLE_CHECK_INTERVAL_MS)
        continue
      }
      const before = this.#platformRevision
      const startedAt = performance.now()
      const read = await this.#platform.revision(before, WATCH_TIMEOUT_MS)
      if (this.isDisposed) return
      if (read.isErr()) {
        this.#log.debug({ ...read.error }, 'cannot read the platform')
        await sleep(RETRY_DELAY_MS)
        if (this.#current === undefined) await this.#fetchFromPeers()
      } else {
        if (read.value !== before) await this.#readPlatform()
        const hasWaited = performance.now() - startedAt >= RETRY_DELAY_MS
        if (!hasWaited && this.#platformRevision === before) await sleep(RETRY_DELAY_MS)
      }
    }
  }

  async #readPlatform (): Promise<boolean> {
    const read = await this.#platform.file()
    if (read.isErr() || this.isDisposed) return false
    this.#platformRevision = read.value.revision
    this.apply(read.value.text, read.value.revision, 'platform')
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
