import { err, ok, type Result } from 'neverthrow'
import { pino } from 'pino'
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest'
import { toDisposable } from '../common/Disposable.js'
import { SeededRandom } from '../common/SeededRandom.js'
import { GatewayMetrics } from '../gateway/GatewayMetrics.js'
import { PlatformStore } from '../standin/PlatformStore.js'
import { StoreClient, type IStoreReads, type StoreError, type StoreItem, type StoreRead } from './StoreClient.js'
import { ConfigReader, EndpointReader, type IStoreReceiver } from './StoreReaders.js'

const DELAY_MS = 120

const store = new PlatformStore()

/** A reader's receiver to which a read is always due and whose lists are never taken. */
function createReceiver (changes: Partial<IStoreReceiver>): IStoreReceiver {
  return {
    isConfigReader: true,
    configAgeMs: 0,
    onReaderChange: () => toDisposable(() => {}),
    configWaitMs: () => 0,
    configWatch: { waitMs: 1_500, timeoutMs: 2_200 },
    listWaitMs: () => 0,
    endpointReadFailed: () => {},
    followsEvacuations: false,
    updateEvacuations: () => {},
    addEvacuations: () => {},
    updateConfig: () => {},
    confirmConfig: () => {},
    updateEndpoints: () => false,
    ...changes
  }
}

afterEach(() => { store.close() })

describe('EndpointReader', () => {
  it('counts the age of a list from the start of its read when the response is slow', async () => {
    const client = new StoreClient('127.0.0.1', await store.listen(), new GatewayMetrics())
    store.delayMs = DELAY_MS
    const ageMs = await new Promise<number>(resolve => {
      const receiver = createReceiver({
        isConfigReader: false,
        updateEndpoints: (_list, age) => {
          reader.dispose()
          resolve(age)
          return true
        }
      })
      const reader = new EndpointReader(client, new SeededRandom(1), pino({ level: 'silent' }), receiver, 1_000)
      reader.run().catch(() => {})
    })
    client.close()
    expect(ageMs).toBeGreaterThanOrEqual(DELAY_MS - 5) // timers may fire a little early
  })
})

type Answer = Result<StoreRead, StoreError>

const VIRTUAL_MS = 20_000
const MIN_FULL_BACKOFF_MS = 600 // half of the longest one, by its spread
const FIRST_ROUNDS = 4 // before the backoff has grown
const MAX_ROUNDS = VIRTUAL_MS / MIN_FULL_BACKOFF_MS + FIRST_ROUNDS

const read = (revision: number, epoch = 1, items: StoreRead['items'] = []): Answer => ok({ items, version: { epoch, revision } })
const failure = (kind: StoreError['kind']): Answer => err({ step: 'store', peer: 'store', kind, reason: kind })

/** Answers to the n-th call that bring nothing usable, each at once. */
const unusable: Readonly<Record<string, (call: number) => Answer>> = {
  same: () => read(5),
  older: call => read(1_000 - call),
  'of another epoch each time': call => read(5, call),
  'of two epochs in turn': call => read(5, call % 2),
  'an unreadable entry': () => read(5, 1, [{ key: 'op/config', value: Buffer.from('{') }]),
  malformed: () => failure('malformed'),
  refused: () => failure('refused'),
  'history gone': () => failure('history-gone')
}

/** Counts the calls of a reader in virtual time. */
async function countCalls (kind: 'config' | 'endpoints', answer: (call: number) => Answer, changes: Partial<IStoreReceiver> = {}): Promise<number> {
  let calls = 0
  let elapsedMs = 0
  const next = async (): Promise<Answer> => await Promise.resolve(answer(++calls))
  const reads: IStoreReads = { key: next, range: next, watch: next }
  const receiver = createReceiver(changes)
  const wait = async (ms: number): Promise<void> => {
    elapsedMs += ms
    if (elapsedMs >= VIRTUAL_MS) reader.dispose()
    await Promise.resolve()
  }
  const [log, random] = [pino({ level: 'silent' }), new SeededRandom(1)]
  const reader = kind === 'config' ? new ConfigReader(reads, random, log, receiver, wait) : new EndpointReader(reads, random, log, receiver, 1_000, wait)
  await reader.run()
  return calls
}

// Readers called again at once as long as nothing they read was taken: an attack on a store that had just come back.
describe('the readers, when a store answers at once with nothing of use', () => {
  it.each(Object.keys(unusable))('back off: %s', async name => {
    const followed = { followsEvacuations: true }
    const calls = [await countCalls('config', unusable[name]!), await countCalls('endpoints', unusable[name]!), await countCalls('config', unusable[name]!, followed)]
    const max = [2 * MAX_ROUNDS, MAX_ROUNDS, 2 * MAX_ROUNDS] // a watch may be followed by a read of its key
    expect(calls.map((n, i) => n > 0 && n <= max[i]!)).toEqual([true, true, true])
  })
})

// An exception as a list or a configuration was applied ended the reader for good: the instance followed neither any more.
describe('the readers, when what they read can\'t be applied', () => {
  const fail = (): never => { throw new Error('odd record') }

  it.each(['config', 'endpoints'] as const)('go on, and back off: %s', async kind => {
    const calls = await countCalls(kind, () => read(5), { confirmConfig: fail, updateEndpoints: fail })
    expect([calls > 1, calls <= 2 * MAX_ROUNDS]).toEqual([true, true])
  })
})

/** What a receiver got, and the calls of the store. */
interface Followed {
  readonly store: PlatformStore
  readonly client: StoreClient
  /** Evacuated data centres of each update, with the epoch. */
  readonly updates: string[]
  readonly revisions: number[]
  /** Order of what was received. */
  readonly order: string[]
  readonly reader: ConfigReader
}

const OP_CONFIG = { version: 3, routes: [], services: [] }
const opened: Followed[] = []

/** Starts a reader of a store with a configuration and these evacuations. */
async function follow (evacuated: readonly string[], changes: Partial<IStoreReceiver> = {}): Promise<Followed> {
  const ownStore = new PlatformStore()
  ownStore.put('op/config', OP_CONFIG)
  evacuated.forEach(name => ownStore.put(`op/evacuate/${name}`, {}))
  const client = new StoreClient('127.0.0.1', await ownStore.listen(), new GatewayMetrics())
  const [updates, revisions, order]: [string[], number[], string[]] = [[], [], []]
  const receiver = createReceiver({
    followsEvacuations: true,
    configWaitMs: () => 30,
    updateEvacuations: (names, { epoch, revision }) => {
      updates.push(`${epoch}: ${names.join(' ')}`)
      revisions.push(revision)
      order.push('evacuations')
    },
    updateConfig: ({ revision }) => { order.push(`config ${revision}`) },
    confirmConfig: () => { order.push('confirmed') },
    ...changes
  })
  const reader = new ConfigReader(client, new SeededRandom(1), pino({ level: 'silent' }), receiver)
  const followed = { store: ownStore, client, updates, revisions, order, reader }
  opened.push(followed)
  reader.run().catch(() => {})
  return followed
}

/** The last update that was received, once it is the expected one. */
async function settled ({ updates }: Followed, expected: string): Promise<string | undefined> {
  for (let i = 0; i < 400 && updates.at(-1) !== expected; i++) await new Promise(resolve => setTimeout(resolve, 10))
  return updates.at(-1)
}

describe('ConfigReader, where data centres may be evacuated', () => {
  afterEach(() => {
    for (const { reader, client, store: ownStore } of opened.splice(0)) {
      reader.dispose()
      client.close()
      ownStore.close()
    }
  })

  // A configuration that was confirmed without the evacuations of the same read kept other gateways from reading them.
  it('reads both in one call, over several pages, and passes the evacuations on first', async () => {
    const followed = await follow(['a', 'b', 'c', 'd', 'e'])
    await settled(followed, '1: a b c d e')
    const { order, store: { callCounts } } = followed
    expect([order.slice(0, 3), callCounts.get('key'), callCounts.get('range')]).toEqual([['evacuations', 'config 3', 'confirmed'], undefined, 2])
  })

  // Deletions of a watch were dropped, so that an evacuation went on after its end.
  it('passes on the whole set after each change that the watch brings', async () => {
    const followed = await follow(['a'])
    await settled(followed, '1: a')
    followed.store.put('op/evacuate/b', {})
    const steps = [await settled(followed, '1: a b')]
    followed.store.delete('op/evacuate/a')
    steps.push(await settled(followed, '1: b'))
    followed.store.put('op/evacuate/b', '')
    followed.store.put('op/evacuate/a', 'odd')
    steps.push(await settled(followed, '1: a b'))
    expect([steps, followed.store.callCounts.get('range')]).toEqual([['1: a b', '1: b', '1: a b'], 1])
  })

  // A key that was deleted and written again between two calls is in force; the deletion came later in the answer.
  it('takes the last change of a key, in whatever order an answer has them', async () => {
    const followed = await follow(['a', 'b'])
    await settled(followed, '1: a b')
    followed.store.mode = 'silent' // its pending watch isn't answered
    followed.store.delete('op/evacuate/a')
    followed.store.put('op/evacuate/a', {})
    followed.store.delete('op/evacuate/b')
    followed.store.mode = 'serves'
    followed.store.put('op/other', {})
    expect(await settled(followed, '1: a')).toBe('1: a')
  })

  // A key that was deleted while the store was away stayed in force, as no event tells of it.
  it('learns by a read of all what was deleted while the store was away or its history was compacted', async () => {
    const followed = await follow(['a', 'b'])
    await settled(followed, '1: a b')
    followed.store.mode = 'refuses'
    followed.store.delete('op/evacuate/a')
    followed.store.compact()
    await new Promise(resolve => setTimeout(resolve, 2_000))
    const during = followed.updates.at(-1)
    followed.store.mode = 'serves'
    expect([during, await settled(followed, '1: b')]).toEqual(['1: a b', '1: b'])
  }, 15_000)

  // Changes since the copy are lost, and the watch's revision stands for another change.
  it('reads all again in another epoch, and confirms nothing by an answer from before', async () => {
    const followed = await follow([])
    await settled(followed, '1: ')
    const copy = followed.store.copy()
    followed.store.put('op/evacuate/a', {})
    await settled(followed, '1: a')
    const confirmed = followed.order.length
    followed.store.restore(copy)
    const last = await settled(followed, '2: ')
    expect([last, followed.order.slice(confirmed).filter((what, i, all) => what === 'confirmed' && all[i - 1] !== 'config 3')]).toEqual(['2: ', []])
  }, 15_000)

  // An instance that doesn't watch read the key alone when gossip stayed away, and so no evacuations.
  it('reads all when it doesn\'t watch', async () => {
    const followed = await follow(['a'], { isConfigReader: false, configWaitMs: () => 0 })
    await settled(followed, '1: a')
    followed.store.delete('op/evacuate/a')
    expect([await settled(followed, '1: '), followed.store.callCounts.get('watch')]).toEqual(['1: ', undefined])
  })

  // Evacuations without a configuration, as on a new platform, were not read.
  it('follows the evacuations while no configuration is published', async () => {
    const followed = await follow(['a'])
    await settled(followed, '1: a')
    followed.store.delete('op/config')
    followed.store.compact()
    followed.store.put('op/evacuate/b', {})
    const last = await settled(followed, '1: a b')
    followed.store.delete('op/evacuate/a')
    expect([last, await settled(followed, '1: b')]).toEqual(['1: a b', '1: b'])
  })

  // Without evacuations the store must be read as before.
  it('reads the key alone where none is evacuated', async () => {
    const followed = await follow(['a'], { followsEvacuations: false })
    await new Promise(resolve => setTimeout(resolve, 100))
    const { callCounts } = followed.store
    expect([followed.updates, callCounts.get('range'), callCounts.get('key')]).toEqual([[], undefined, 1])
  })

  // An answer with an item that can't be read was taken for all that is evacuated, and the watch went on behind it: what it lacked was lost for good.
  it('takes nothing away by an answer of which a part can\'t be read, and reads all again', async () => {
    const calls: string[] = []
    const item = (key: string): StoreItem => ({ key, value: Buffer.from(key === 'op/config' ? JSON.stringify(OP_CONFIG) : '{}') })
    const version = { epoch: 1, revision: 5 }
    let partial = 2
    const odd: IStoreReads = {
      key: async () => await Promise.reject(new Error('not used')),
      range: async () => {
        const read = { version, items: [item('op/config'), item('op/evacuate/a')], ...partial-- > 0 ? { isPartial: true as const } : {} }
        return await Promise.resolve(ok(read))
      },
      watch: async () => {
        reader.dispose()
        return await Promise.resolve(ok({ version, items: [] }))
      }
    }
    const receiver = createReceiver({
      followsEvacuations: true,
      addEvacuations: names => { calls.push(`add ${names.join()}`) },
      updateEvacuations: names => { calls.push(`update ${names.join()}`) },
      confirmConfig: () => { calls.push('confirm') }
    })
    const reader = new ConfigReader(odd, new SeededRandom(1), pino({ level: 'silent' }), receiver, async () => {})
    await reader.run()
    expect(calls.slice(0, 4)).toEqual(['add a', 'add a', 'update a', 'confirm'])
  })
})

const LATE_MS = 2_500 // beyond the wait of a watch
const WATCHED_MS = 1_500 // wait of the receiver's watches
const CHANGED_MS = 900

/** Answers of a store, each after a time. */
type TimedAnswer = readonly [afterMs: number, answer: Answer]

/** Ages at which a reader confirms the configuration when the store answers the key and then the watch like this. */
async function confirmedAges (key: TimedAnswer, watch: TimedAnswer, changes: Partial<IStoreReceiver> = {}): Promise<number[]> {
  const ages: number[] = []
  const answer = async ([afterMs, value]: TimedAnswer): Promise<Answer> => {
    await new Promise(resolve => setTimeout(resolve, afterMs))
    return value
  }
  const first = async (): Promise<Answer> => await answer(key)
  const reads: IStoreReads = { key: first, range: first, watch: async () => await answer(watch) }
  const receiver = createReceiver({
    confirmConfig: ageMs => {
      ages.push(Math.round(ageMs))
      if (ages.length === 2) reader.dispose()
    },
    ...changes
  })
  const reader = new ConfigReader(reads, new SeededRandom(1), pino({ level: 'silent' }), receiver, async () => {})
  const run = reader.run()
  await vi.advanceTimersByTimeAsync(VIRTUAL_MS)
  await run
  return ages
}

// An answer that came late, as after a pause of the process, counted as if the store had given it at that moment, and so refreshed the whole fleet.
describe('ConfigReader, when an answer of the store is late', () => {
  beforeEach(() => { vi.useFakeTimers({ toFake: ['setTimeout', 'clearTimeout', 'performance'] }) })

  afterEach(() => { vi.useRealTimers() })

  const config = read(5, 1, [{ key: 'op/config', value: Buffer.from(JSON.stringify(OP_CONFIG)) }])
  const changed = read(6, 1, [{ key: 'op/config', value: Buffer.from(JSON.stringify({ ...OP_CONFIG, version: 4 })) }])

  it.each([false, true])('counts the age from the time until which the store was sure, with evacuations: %s', async followsEvacuations => {
    const ages = {
      late: await confirmedAges([300, config], [WATCHED_MS + LATE_MS, read(5)], { followsEvacuations }),
      inTime: await confirmedAges([4, config], [WATCHED_MS + 4, read(5)], { followsEvacuations }),
      cutShort: await confirmedAges([4, config], [CHANGED_MS, read(5)], { followsEvacuations }),
      changed: await confirmedAges([4, config], [CHANGED_MS, changed], { followsEvacuations })
    }
    expect(ages).toEqual({ late: [300, LATE_MS], inTime: [4, 4], cutShort: [4, CHANGED_MS], changed: [4, CHANGED_MS] })
  })

  it('passes the age on with a configuration and with evacuations', async () => {
    const received: Array<readonly [string, number]> = []
    const note = (what: string) => (_value: unknown, ...more: readonly unknown[]): void => { received.push([what, Math.round(more.at(-1) as number)]) }
    const changes = { followsEvacuations: true, updateConfig: note('configuration'), updateEvacuations: note('evacuations') }
    await confirmedAges([300, config], [CHANGED_MS, changed], changes)
    expect(received.slice(0, 4)).toEqual([['evacuations', 300], ['configuration', 300], ['evacuations', CHANGED_MS], ['configuration', CHANGED_MS]])
  })
})
