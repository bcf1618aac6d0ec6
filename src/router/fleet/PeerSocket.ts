/** UDP socket for datagrams between peers: counts their bytes and drops those without a valid signature. */
import { createSocket, type Socket } from 'node:dgram'
import { Disposable, toDisposable } from '../../common/Disposable.js'
import { Emitter } from '../../common/Emitter.js'
import type { PeerDatagram } from '../../common/generated/PeerDatagram.js'
import type { InstanceAddress } from '../../common/Types.js'
import type { DatagramCodec } from './DatagramCodec.js'

/** Decides which links are up; failure tests block some. */
export interface ILinkFilter {
  passes (peer: string): boolean
}

/** Counter of control traffic in bytes. */
export interface IControlCounter {
  countControlBytes (direction: 'sent' | 'received', kind: string, bytes: number): void
}

function senderOf (datagram: PeerDatagram): string {
  return 'from' in datagram ? datagram.from.id : datagram.id
}

/** Sends and receives signed datagrams. */
export class PeerSocket extends Disposable {
  readonly #socket: Socket
  readonly #codec: DatagramCodec
  readonly #links: ILinkFilter
  readonly #metrics: IControlCounter
  readonly #received = this.own(new Emitter<PeerDatagram>())

  /** Fires for each valid datagram from a peer whose link is up. */
  readonly onDatagram = this.#received.event

  constructor (codec: DatagramCodec, links: ILinkFilter, metrics: IControlCounter) {
    super()
    this.#codec = codec
    this.#links = links
    this.#metrics = metrics
    this.#socket = createSocket('udp4')
    this.#socket.on('message', bytes => this.#receive(bytes))
    this.#socket.on('error', () => {}) // sending to a closed port is not an error of this instance
    this.own(toDisposable(() => this.#socket.close()))
  }

  async bind (address: string, port: number): Promise<void> {
    await new Promise<void>((resolve, reject) => {
      this.#socket.once('error', reject)
      this.#socket.bind(port, address, () => resolve())
    })
  }

  /** Sends one datagram, without a delivery guarantee. */
  send (to: InstanceAddress, datagram: PeerDatagram): void {
    this.sendAll([to], datagram)
  }

  /** Encodes a datagram once and sends it to each of `to`. */
  sendAll (to: readonly InstanceAddress[], datagram: PeerDatagram): void {
    const receivers = to.filter(peer => this.#links.passes(peer.id))
    if (this.isDisposed || receivers.length === 0) return
    const bytes = this.#codec.encode(datagram)
    for (const { peerPort, address } of receivers) {
      this.#metrics.countControlBytes('sent', datagram.kind, bytes.length)
      this.#socket.send(bytes, peerPort, address)
    }
  }

  #receive (bytes: Buffer): void {
    const decoded = this.#codec.decode(bytes)
    if (decoded.isErr() || !this.#links.passes(senderOf(decoded.value))) return
    this.#metrics.countControlBytes('received', decoded.value.kind, bytes.length)
    this.#received.fire(decoded.value)
  }
}
