/** Reads the state of all instances, which it discovers through any one of them. */
import { err, ok, ResultAsync, type Result } from 'neverthrow'
import { createPeerApiClient, type NodeStatus, type PeerApiClient } from '../router/fleet/PeerApi.js'

/** Reason why the state of an instance could not be read. */
export interface FleetError {
  readonly step: 'connect' | 'call'
  readonly peer: string
  readonly detail: string
}

/** One instance with its state, or the reason why it could not be read. */
export interface FleetRow {
  readonly id: string
  readonly status: Result<NodeStatus, FleetError>
}

/** Client of the peer API for operators. */
export class FleetClient {
  readonly #address: string
  readonly #port: number
  readonly #secret: string

  /** @param node IP address and peer port of any instance. */
  constructor (node: string, secret: string) {
    const separator = node.lastIndexOf(':')
    this.#address = node.slice(0, separator)
    this.#port = Number(node.slice(separator + 1))
    this.#secret = secret
  }

  /** API of the instance given to the constructor. */
  get api (): PeerApiClient {
    return createPeerApiClient(this.#address, this.#port, this.#secret)
  }

  /** State of the given instance, then of its members that are not dead, sorted by id. Fails if the given instance does. */
  async statuses (): Promise<Result<readonly FleetRow[], FleetError>> {
    const first = await this.#status(this.#address, this.#port, `${this.#address}:${this.#port}`)
    if (first.isErr()) return err(first.error)
    const others = first.value.members.filter(m => m.state !== 'dead')
    const rows = await Promise.all(others.map(async m => ({ id: m.id, status: await this.#status(m.address, m.peerPort, m.id) })))
    rows.sort((a, b) => a.id.localeCompare(b.id, undefined, { numeric: true }))
    return ok([{ id: first.value.id, status: first }, ...rows])
  }

  async #status (address: string, port: number, peer: string): Promise<Result<NodeStatus, FleetError>> {
    const call = createPeerApiClient(address, port, this.#secret).status.query()
    return await ResultAsync.fromPromise(call, e => ({ step: 'call' as const, peer, detail: (e as Error).message }))
  }
}
