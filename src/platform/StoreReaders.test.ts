import { err, ok, type Result } from 'neverthrow'
import { pino } from 'pino'
import { afterEach, describe, expect, it } from 'vitest'
import { toDisposable } from '../common/Disposable.js'
import { SeededRandom } from '../common/SeededRandom.js'
import { GatewayMetrics } from '../gateway/GatewayMetrics.js'
import { PlatformStore } from '../standin/PlatformStore.js'
import { StoreClient, type IStoreReads, type StoreError, type StoreRead } from './StoreClient.js'
import { ConfigReader, EndpointReader, type IStoreReceiver } from './StoreReaders.js'

const DELAY_MS = 120

const store = new PlatformStore()

/** A reader's receiver to which a read is always due and whose lists are never taken. */
function createReceiver (changes: Partial<IStoreReceiver>): IStoreReceiver {
  return {
    isConfigReader: true,
    onReaderChange: () => toDisposable(() => {}),
    configWaitMs: () => 0,
    listWaitMs: () => 0,
    endpointReadFailed: () => {},
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
    const calls = [await countCalls('config', unusable[name]!), await countCalls('endpoints', unusable[name]!)]
    const max = [2 * MAX_ROUNDS, MAX_ROUNDS] // a watch may be followed by a read of its key
    expect(calls.map((n, i) => n > 0 && n <= max[i]!)).toEqual([true, true])
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
