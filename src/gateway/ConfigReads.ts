/** Decides when this gateway reads the configuration from the platform, and tells its peers what its reads found. */
import { ConfigSchedule, READER_RANKS, type WatchTimes } from '../common/peers/ConfigSchedule.js'
import { instanceJitter, readersOf } from '../common/peers/ReaderElection.js'
import { latestNoticeMs } from '../common/routing/EvacuationSet.js'
import type { RoutingConfig } from '../common/routing/Types.js'
import { FROM_PLATFORM, type ConfigHolder } from './ConfigHolder.js'
import { CONFIG_TOPIC, type IPeerTransport } from './Peers.js'

/** Sends this gateway's view of the platform to its data centre. */
export interface IConfigGossip {
  broadcastConfigRead (): void
}

/** Times within which every gateway must know what the operator wrote. */
export interface OperatorBounds {
  /** Longest time until a change of the configuration must be in force. */
  readonly configApplyMs: number
  /** Longest time until an evacuated data centre gets no more requests; undefined where none is ever evacuated. */
  readonly evacuationMs?: number | undefined
}

/** Schedule of reads that bring both in time: evacuations are read together with the configuration. */
function scheduleOf ({ configApplyMs, evacuationMs }: OperatorBounds): ConfigSchedule {
  return new ConfigSchedule(Math.min(configApplyMs, evacuationMs === undefined ? Infinity : latestNoticeMs(evacuationMs)))
}

export class ConfigReads {
  readonly #config: ConfigHolder
  readonly #peers: Pick<IPeerTransport, 'self' | 'usable'>
  readonly #gossip: IConfigGossip
  readonly #jitter: number
  #schedule: ConfigSchedule
  /** Revision that the last read of the platform confirmed. */
  #confirmedRevision = -1

  constructor (config: ConfigHolder, peers: Pick<IPeerTransport, 'self' | 'usable'>, gossip: IConfigGossip, bounds: OperatorBounds) {
    this.#config = config
    this.#peers = peers
    this.#gossip = gossip
    this.#jitter = instanceJitter(peers.self.id)
    this.#schedule = scheduleOf(bounds)
  }

  setBounds (bounds: OperatorBounds): void {
    this.#schedule = scheduleOf(bounds)
  }

  /** True when this gateway watches the configuration for its data centre. */
  get isReader (): boolean {
    return this.#rank === 0
  }

  /** Times of the next watch. */
  get watch (): WatchTimes {
    return this.#schedule.watch(this.#config.ageMs)
  }

  /** Time until this gateway should read the configuration when it doesn't watch it. */
  get waitMs (): number {
    const rank = this.#rank
    return Math.max(0, this.#schedule.readAgeMs(rank === -1 ? READER_RANKS : rank, this.#jitter) - this.#config.ageMs)
  }

  /** Applies a configuration that this gateway read. @param ageMs time since the platform is known to have had nothing newer. */
  update (config: RoutingConfig, ageMs: number): void {
    this.#config.update(config, FROM_PLATFORM, ageMs)
  }

  /** Records a read of this gateway that found nothing newer, and tells the data centre of it; a change is gossiped with its age when it comes into force. */
  confirm (ageMs: number): void {
    this.#config.confirm(ageMs)
    const { revision } = this.#config
    const isChanged = revision !== this.#confirmedRevision
    this.#confirmedRevision = revision
    if (!isChanged) this.#gossip.broadcastConfigRead()
  }

  /** Place of this gateway among the readers of its data centre; -1 for none. */
  get #rank (): number {
    return readersOf(CONFIG_TOPIC, this.#peers.usable(this.#peers.self.dataCentre), READER_RANKS).indexOf(this.#peers.self.id)
  }
}
