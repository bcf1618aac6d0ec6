/** The voted file in virtual time, at an instance that doesn't watch the platform. */
import { err, ok } from 'neverthrow'
import { pino } from 'pino'
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest'
import { toDisposable } from '../../common/Disposable.js'
import type { VotedFile } from '../../common/generated/VotedFile.js'
import type { WatchTimes } from '../../common/peers/ConfigSchedule.js'
import type { IClock } from '../../common/Services.js'
import { sampleFile } from '../../common/TestUtils.test.js'
import type { Fleet } from '../fleet/Fleet.js'
import type { Metrics } from '../telemetry/Metrics.js'
import type { PeerApiClients } from '../fleet/PeerApi.js'
import { ConfigTask } from './ConfigTask.js'
import type { PlatformClient } from './PlatformClient.js'

// Faked timers don't reach this module.
vi.mock('node:timers/promises', () => ({ setTimeout: async (ms: number) => await new Promise(resolve => setTimeout(resolve, ms)) }))

const QUIET_MS = 1_000
const POLL_MS = 100
const MOST_OF_A_TERM_MS = 50_000
const IN_FORCE_MS = 4_000 // guarantee of an accepted file
const INSTANCES = ['i1', 'i2', 'i3', 'i4', 'i5', 'i6']

const clock: IClock = { nowMs: () => performance.now(), wallMs: () => performance.now() }

/** The platform, with the file that was published last; a watch waits for the next. */
class FakePlatform {
  file: { readonly revision: number, readonly text: string } = { revision: 1, text: JSON.stringify(sampleFile()) }
  /** Instances that wait for a change. */
  readonly watching = new Set<string>()
  calls = 0
  /** Instances that don't reach the platform. */
  cutOff: ReadonlySet<string> = new Set()

  publish (file: VotedFile): void {
    this.file = { revision: this.file.revision + 1, text: JSON.stringify(file) }
  }

  clientOf (id: string): PlatformClient {
    const answer = (value: unknown): unknown => this.cutOff.has(id) ? err({ step: 'read', peer: 'platform', detail: 'cut off' }) : ok(value)
    const revision = async (after: number, { waitMs }: WatchTimes): Promise<unknown> => {
      this.calls++
      const end = performance.now() + waitMs
      this.watching.add(id)
      while (!this.cutOff.has(id) && this.file.revision === after && performance.now() < end) await new Promise(resolve => setTimeout(resolve, POLL_MS))
      this.watching.delete(id)
      return answer(this.file.revision)
    }
    return { revision, file: async () => await Promise.resolve(answer(this.file)) } as unknown as PlatformClient
  }
}

/** The fleet as an instance sees it: all are alive, and no peer has anything newer to tell. */
function fleetOf (id: string): Fleet {
  return { self: { id, dataCentre: 'a' }, usableInstances: () => INSTANCES, onDigest: () => toDisposable(() => {}) } as unknown as Fleet
}

/** Instances of one data centre that have read the first file. */
async function startAll (platform: FakePlatform): Promise<ReadonlyMap<string, ConfigTask>> {
  const metrics = { configRevision: { set: () => {} } } as unknown as Metrics
  const tasks = new Map(INSTANCES.map(id => [id, new ConfigTask(clock, platform.clientOf(id), metrics, pino({ level: 'silent' }))]))
  const peers = { forInstance: (id: string) => ({ config: { confirmation: { query: async () => await Promise.resolve(tasks.get(id)!.confirmation()) } } }) }
  for (const [id, task] of tasks) await task.start(fleetOf(id), peers as unknown as PeerApiClients)
  await vi.advanceTimersByTimeAsync(QUIET_MS)
  return tasks
}

async function stopAll (tasks: ReadonlyMap<string, ConfigTask>): Promise<void> {
  tasks.forEach(task => task.dispose())
  await vi.advanceTimersByTimeAsync(IN_FORCE_MS)
}

beforeEach(() => { vi.useFakeTimers({ toFake: ['setTimeout', 'clearTimeout', 'performance'] }) })

afterEach(() => { vi.useRealTimers() })

describe('a new file', () => {
  // Two instances of a data centre watch the platform for a minute each; those that lost it went on as its readers, and all others waited for them.
  it('is in force within 4 s at an instance that reaches the platform, when those that watch it don\'t', async () => {
    const platform = new FakePlatform()
    const tasks = await startAll(platform)
    platform.cutOff = new Set(platform.watching)
    platform.publish(sampleFile())
    await vi.advanceTimersByTimeAsync(IN_FORCE_MS)
    const inTouch = INSTANCES.filter(id => !platform.cutOff.has(id))
    const revisions = inTouch.map(id => tasks.get(id)!.current?.version.revision)
    await stopAll(tasks)
    expect([inTouch.length, revisions]).toEqual([4, [2, 2, 2, 2]])
  })

  it('is asked for by those that watch only, while the platform answers them', async () => {
    const platform = new FakePlatform()
    const tasks = await startAll(platform)
    const [watching, before] = [platform.watching.size, platform.calls]
    await vi.advanceTimersByTimeAsync(MOST_OF_A_TERM_MS)
    const calls = platform.calls - before
    await stopAll(tasks)
    expect([watching, calls <= watching * (1 + MOST_OF_A_TERM_MS / (0.6 * IN_FORCE_MS))]).toEqual([2, true])
  })
})
