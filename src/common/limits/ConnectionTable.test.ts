import { beforeEach, describe, expect, it } from 'vitest'
import type { ConnectionLimits } from './ConnectionLimits.js'
import { ConnectionTable, type Eviction } from './ConnectionTable.js'

const LIMITS: ConnectionLimits = {
  maxSockets: 6,
  maxConnections: 4,
  guaranteedForwards: 2,
  maxIdleEndpointConnections: 1,
  maxPartialHeads: 10,
  maxPipelined: 3,
  maxPipelinedTogether: 3,
  maxUnreadBytes: 100,
  maxBufferedBytes: 100
}
const SLOW_MS = 2_500

/** A connection with what has come on it. */
interface FakeConnection {
  readonly name: string
  bytesRead: number
  isReading: boolean
}

let table: ConnectionTable<FakeConnection>
let now = 0

const create = (limits: Partial<ConnectionLimits> = {}): void => {
  table = new ConnectionTable({ ...LIMITS, ...limits }, { bytesRead: c => c.bytesRead, isReading: c => c.isReading })
}

const namesOf = (evictions: ReadonlyArray<Eviction<FakeConnection>>): string[] => evictions.map(e => `${e.connection.name}: ${e.refusal}`)

/** Adds a connection one millisecond later than the last; the names of those that are closed for it are added to `closed`. */
const open = (name: string, closed: string[] = []): FakeConnection => {
  const connection = { name, bytesRead: 0, isReading: false }
  closed.push(...namesOf(table.add(connection, ++now)))
  return connection
}

const openActive = (name: string): FakeConnection => {
  const connection = open(name)
  table.beginRequest(connection, now)
  return connection
}

beforeEach(() => {
  now = 0
  create()
})

describe('ConnectionTable, with as many connections as are allowed', () => {
  // Connections that are only opened kept ordinary callers out.
  it('closes the one that has waited longest for its head, not one that was just opened, before one in use', () => {
    open('silent')
    const idle = openActive('idle')
    table.endRequest(idle, now)
    openActive('active')
    const closed: string[] = []
    open('new', closed)
    open('early', closed)
    now += 1_000
    open('late', closed)
    expect(closed).toEqual(['idle: connections', 'silent: connections'])
  })

  it('closes one that ends, then one that waits for its next request', () => {
    const [ending, idle] = [openActive('ending'), openActive('idle')]
    openActive('active')
    openActive('other')
    table.close(ending, now)
    table.endRequest(idle, now)
    now += 1_000
    const closed: string[] = []
    openActive('a')
    table.endRequest(ending, now)
    expect(table.size).toBe(4)
    open('b', closed)
    expect(closed).toEqual(['idle: connections'])
  })

  it('closes one whose response has been unread for a while, and refuses the new one when all are in work', () => {
    const unread = openActive('unread')
    for (const name of ['a', 'b', 'c']) openActive(name)
    table.setUnread(unread, 10, now)
    const closed: string[] = []
    open('early', closed)
    now += 1_500
    table.beginRequest(open('late', closed), now)
    open('later', closed)
    expect(closed).toEqual(['early: connections', 'unread: connections', 'later: connections'])
  })

  // Announced bodies that never come took all connections, and all memory for bodies.
  it('closes one whose body hardly comes, not one whose body comes or has come', () => {
    const slow = openActive('slow')
    const fast = openActive('fast')
    const done = openActive('done')
    slow.isReading = fast.isReading = true
    openActive('active')
    now += SLOW_MS
    fast.bytesRead = 1_000_000
    table.checkBodies(now)
    const closed: string[] = []
    open('new', closed)
    table.endRequest(done, now)
    expect([closed, namesOf(table.closeSlowBodies())]).toEqual([['slow: connections'], []])
  })
})

describe('ConnectionTable', () => {
  it('names the connections whose bodies hardly come, to make room for others', () => {
    const slow = openActive('slow')
    slow.isReading = true
    table.checkBodies(now += SLOW_MS)
    expect([namesOf(table.closeSlowBodies()), table.size]).toEqual([['slow: slow-bodies'], 0])
  })

  // Thousands of requests were pipelined on one connection, each with a context and a response.
  it('takes a few requests of a connection at once, and few of all connections beyond the first of each', () => {
    const [a, b] = [openActive('a'), openActive('b')]
    const taken = [a, a, a, b, b].map(c => table.beginRequest(c, now))
    table.endRequest(a, now)
    expect([taken, table.beginRequest(b, now)]).toEqual([[undefined, undefined, 'pipelined', undefined, 'pipelined'], undefined])
  })

  it('closes the connection with most unread bytes when all together have too many', () => {
    const [a, b] = [openActive('a'), openActive('b')]
    const first = table.setUnread(a, 60, now)
    const second = table.setUnread(b, 50, now)
    expect([namesOf(first), namesOf(second), table.unreadBytes]).toEqual([[], ['a: unread-bytes'], 50])
  })

  it('counts unread bytes until they are read', () => {
    const a = openActive('a')
    table.setUnread(a, 90, now)
    table.setUnread(a, 0, now)
    expect([namesOf(table.setUnread(openActive('b'), 90, now)), table.unreadBytes]).toEqual([[], 90])
  })

  it('closes partial heads beyond their limit, and leaves connections on which nothing has come', () => {
    create({ maxPartialHeads: 2 })
    open('silent')
    for (const name of ['a', 'b', 'c']) open(name).bytesRead = 10
    expect(namesOf(table.checkHeads(now))).toEqual(['a: partial-heads'])
  })

  it('finds partial heads on connections that were used', () => {
    create({ maxPartialHeads: 1 })
    const [used, idle] = [openActive('used'), openActive('idle')]
    table.endRequest(used, now)
    table.endRequest(idle, now)
    const before = table.checkHeads(now)
    used.bytesRead = idle.bytesRead = 10
    expect([namesOf(before), namesOf(table.checkHeads(now))]).toEqual([[], ['used: partial-heads']])
  })

  // Callers' connections and those to endpoints have their descriptors from one source.
  it('lets forwarded requests use what callers\' connections leave, and a number that is kept for them', () => {
    const alone = [1, 2, 3, 4, 5, 6, 7].map(() => table.beginForward(now).granted)
    for (const granted of alone) if (granted) table.endForward()
    for (const name of ['a', 'b', 'c', 'd']) openActive(name)
    expect([alone.filter(granted => granted).length, [1, 2, 3].map(() => table.beginForward(now).granted)]).toEqual([6, [true, true, false]])
  })

  // Callers keep connections open between their requests; these must not keep the requests of others from being forwarded.
  it('closes a connection that waits for its next request for a request that is forwarded', () => {
    const idle = openActive('idle')
    for (const name of ['a', 'b', 'c']) openActive(name)
    table.endRequest(idle, now)
    const decisions = [1, 2, 3, 4].map(() => table.beginForward(now))
    expect(decisions.map(d => [d.granted, ...namesOf(d.evicted)])).toEqual([[true], [true], [true, 'idle: connections'], [false]])
  })

  it('forgets a connection that was closed, whatever it held', () => {
    const a = openActive('a')
    table.beginRequest(a, now)
    table.setUnread(a, 50, now)
    table.remove(a)
    table.remove(a)
    table.endRequest(a, now)
    expect([table.size, table.unreadBytes, table.beginRequest(a, now)]).toEqual([0, 0, 'connections'])
  })
})
