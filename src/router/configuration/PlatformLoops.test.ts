/** Counts the calls of the platform's watches when answers come at once and bring nothing newer. */
import { ok } from 'neverthrow'
import { pino } from 'pino'
import { afterEach, describe, expect, it } from 'vitest'
import { toDisposable } from '../../common/Disposable.js'
import { SeededRandom } from '../../common/SeededRandom.js'
import { FakeClock, sampleFile } from '../../common/TestUtils.test.js'
import type { Fleet } from '../fleet/Fleet.js'
import type { PeerApiClients } from '../fleet/PeerApi.js'
import type { Metrics } from '../telemetry/Metrics.js'
import { ConfigTask } from './ConfigTask.js'
import type { PlatformClient } from './PlatformClient.js'
import { PlatformListTask } from './PlatformListTask.js'

const COUNTED_MS = 500
const MAX_CALLS = 6 // the first ones, and two each 300 ms

let task: { dispose (): void } | undefined
afterEach(() => task?.dispose())

const sleep = async (ms: number): Promise<void> => { await new Promise(resolve => setTimeout(resolve, ms)) }

/** An instance that is alone, and the first of its data centre to watch. */
function createFleet (): Fleet {
  return {
    self: { id: 'i1', dataCentre: 'a' },
    list: { revision: 9, instances: [], endpoints: [] },
    usableInstances: () => ['i1'],
    applyList: () => {},
    onDigest: () => toDisposable(() => {})
  } as unknown as Fleet
}

/** A platform whose watch names revision 9 at once, and whose reads are older. */
class EagerPlatform {
  calls = 0

  async revision (): Promise<unknown> {
    return await this.#answer(9)
  }

  async file (): Promise<unknown> {
    return await this.#answer({ revision: 8, text: JSON.stringify(sampleFile()) })
  }

  async list (): Promise<unknown> {
    return await this.#answer({ revision: 8, instances: [], endpoints: [] })
  }

  async #answer (value: unknown): Promise<unknown> {
    this.calls++
    await new Promise(resolve => setImmediate(resolve))
    return ok(value)
  }
}

// Both watches called again at once after an answer that changed nothing.
describe('the watches of the platform', () => {
  it('pause when the list is older than the one that is known', async () => {
    const platform = new EagerPlatform()
    const list = new PlatformListTask(createFleet(), platform as unknown as PlatformClient, {} as unknown as PeerApiClients, new SeededRandom(1))
    task = list
    await list.start()
    await sleep(COUNTED_MS)
    expect(platform.calls).toBeLessThanOrEqual(MAX_CALLS)
  })

  it('pause when the configuration that is read is older than the revision that is named', async () => {
    const platform = new EagerPlatform()
    const metrics = { configRevision: { set: () => {} } } as unknown as Metrics
    const config = new ConfigTask(new FakeClock(), platform as unknown as PlatformClient, metrics, pino({ level: 'silent' }))
    task = config
    await config.start(createFleet(), {} as unknown as PeerApiClients)
    await sleep(COUNTED_MS)
    expect(platform.calls).toBeLessThanOrEqual(MAX_CALLS)
  })
})
