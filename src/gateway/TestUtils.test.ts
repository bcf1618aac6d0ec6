/** Test doubles shared by the tests of this folder. */
import { Emitter } from '../common/Emitter.js'
import type { PeerDatagram } from '../common/generated/PeerDatagram.js'
import { listOf } from '../common/TestUtils.test.js'
import type { InstanceAddress } from '../common/Types.js'
import type { IGossipPeers } from './Peers.js'

const addressOf = (id: string): InstanceAddress => ({ id, dataCentre: 'dc', address: id, peerPort: 1 })

/** Peers on an in-memory network that can be cut in two, and may lose datagrams. */
export class FakePeerNetwork {
  readonly #receivers = new Map<string, Emitter<PeerDatagram>>()
  /** Peers on the far side of a cut. */
  readonly cutOff = new Set<string>()
  /** Returns true for a datagram that is lost. */
  loses: () => boolean = () => false
  /** Number of datagrams sent, by kind. */
  readonly sent = new Map<string, number>()

  /** Adds a peer, in place of the one with this id if there is one. */
  join (id: string): IGossipPeers {
    const received = new Emitter<PeerDatagram>()
    this.#receivers.set(id, received)
    const reachable = (): string[] => [...this.#receivers.keys()].filter(other => this.#connects(id, other))
    const sendAll = (to: readonly InstanceAddress[], datagram: PeerDatagram): void => { for (const peer of to) this.#send(id, peer.id, datagram) }
    return {
      self: addressOf(id),
      onDatagram: received.event,
      usable: () => listOf(reachable()),
      contactable: () => reachable().filter(other => other !== id),
      dataCentres: new Set(['dc']),
      isReader: () => false,
      address: addressOf,
      send: (to, datagram) => sendAll([to], datagram),
      sendAll
    }
  }

  #connects (a: string, b: string): boolean {
    return this.cutOff.has(a) === this.cutOff.has(b)
  }

  #send (from: string, to: string, datagram: PeerDatagram): void {
    this.sent.set(datagram.kind, (this.sent.get(datagram.kind) ?? 0) + 1)
    if (this.#connects(from, to) && !this.loses()) setTimeout(() => this.#receivers.get(to)?.fire(datagram), 1)
  }
}
