/** Messaging between gateways and their membership, as far as the gateway's other tasks use them. */
import type { PeerDatagram } from '../common/generated/PeerDatagram.js'
import type { RendezvousList } from '../common/RendezvousList.js'
import type { IEvent } from '../common/Services.js'
import type { InstanceAddress } from '../common/Types.js'

/** Topics that one gateway of each data centre reads from the platform. */
export const CONFIG_TOPIC = 'config'
export const LIST_TOPIC = 'endpoints'
export const TOPICS = [CONFIG_TOPIC, LIST_TOPIC] as const

/** Messaging between gateways. */
export interface IPeerTransport {
  readonly self: InstanceAddress
  readonly onDatagram: IEvent<PeerDatagram>
  /** Ids of live gateways, this one included unless it is leaving. @param dataCentre undefined for all. */
  usable (dataCentre?: string): RendezvousList<string>
  address (id: string): InstanceAddress | undefined
  send (to: InstanceAddress, datagram: PeerDatagram): void
}

/** Messaging and membership, as far as gossip uses them. */
export interface IGossipPeers extends IPeerTransport {
  /** Ids of the known peers that aren't dead. */
  contactable (): readonly string[]
  /** Names of the data centres with known peers. */
  readonly dataCentres: ReadonlySet<string>
  /** True when this instance reads `topic` from the platform for its data centre. */
  isReader (topic: string): boolean
  /** Encodes one datagram and sends it to several peers. */
  sendAll (to: readonly InstanceAddress[], datagram: PeerDatagram): void
}
