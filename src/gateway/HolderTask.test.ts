import { afterEach, describe, expect, it, vi } from 'vitest'
import { Emitter } from '../common/Emitter.js'
import type { PeerDatagram } from '../common/generated/PeerDatagram.js'
import { FakeClock } from '../common/TestUtils.test.js'
import type { InstanceAddress } from '../common/Types.js'
import { HolderTask } from './HolderTask.js'

/** Gateways that reach each other over a wire that can be cut. */
class Wire {
  readonly tasks = new Map<string, HolderTask>()
  readonly #receivers = new Map<string, Emitter<PeerDatagram>>()
  readonly usableEndpoints = new Set([1, 2, 3])
  sent = 0
  cut = false

  constructor (ids: readonly string[]) {
    const clock = new FakeClock()
    const addresses = new Map<string, InstanceAddress>(ids.map(id => [id, { id, dataCentre: 'dc', address: id, peerPort: 1 }]))
    for (const id of ids) {
      const received = new Emitter<PeerDatagram>()
      this.#receivers.set(id, received)
      const peers = {
        self: addresses.get(id)!,
        onDatagram: received.event,
        usable: () => ids,
        address: (peer: string) => addresses.get(peer),
        send: (to: InstanceAddress, datagram: PeerDatagram) => this.#send(to, datagram)
      }
      this.tasks.set(id, new HolderTask(peers, clock, endpoint => this.usableEndpoints.has(endpoint)))
    }
  }

  #send (to: InstanceAddress, datagram: PeerDatagram): void {
    this.sent++
    if (!this.cut) this.#receivers.get(to.id)!.fire(datagram)
  }
}

afterEach(() => { vi.useRealTimers() })

describe('HolderTask', () => {
  it('tells all gateways the same holder, the first that was proposed', async () => {
    const wire = new Wire(['a', 'b', 'c'])
    const told = []
    for (const [proposed, task] of [[1, wire.tasks.get('a')], [2, wire.tasks.get('b')], [3, wire.tasks.get('c')]] as const) told.push(await task!.holder(77, proposed))
    expect(told).toEqual([1, 1, 1])
  })

  it('replaces a holder that left', async () => {
    const wire = new Wire(['a', 'b', 'c'])
    await wire.tasks.get('a')!.holder(77, 1)
    wire.usableEndpoints.delete(1)
    expect([await wire.tasks.get('b')!.holder(77, 2), await wire.tasks.get('c')!.holder(77, 3)]).toEqual([2, 2])
    expect(wire.tasks.get('a')!.remembered(77)).toBeUndefined()
  })

  it('goes by the proposal when the owner is silent, and does not ask it again at once', async () => {
    vi.useFakeTimers()
    const wire = new Wire(['a', 'b'])
    wire.cut = true
    for (const session of [1, 2, 3, 4, 5, 6, 7, 8]) {
      const told = wire.tasks.get('a')!.holder(session, 2)
      await vi.advanceTimersByTimeAsync(20)
      expect(await told).toBe(2)
    }
    expect(wire.sent).toBe(1)
  })
})
