import { describe, expect, it } from 'vitest'
import type { ListVersion } from '../generated/PeerDatagram.js'
import { EvacuationSet } from './EvacuationSet.js'

const BOUND_MS = 5_000
const NOW = 100_000
const GRACE_MS = 2_200
const SESSIONS = Array.from({ length: 400 }, (_, i) => i * 7_919 + 1)

const at = (revision: number, epoch = 1): ListVersion => ({ epoch, revision })

/** A set that was read at NOW at revision 10. */
function createSet (dataCentres: readonly string[] = []): EvacuationSet {
  const set = new EvacuationSet(BOUND_MS)
  set.update(dataCentres, at(10), 0, NOW)
  return set
}

const closed = (set: EvacuationSet, now: number): string[] => ['a', 'b', 'c'].filter(dataCentre => set.isClosed(dataCentre, now))
const left = (set: EvacuationSet, now: number): number => SESSIONS.filter(session => set.isClosedTo('a', session, now)).length / SESSIONS.length

describe('EvacuationSet', () => {
  // An instance that knows no set yet sent requests to a data centre that had long been evacuated.
  it('counts every data centre as evacuated until it knows the set, at any version', () => {
    const [own, other, unknown] = [new EvacuationSet(BOUND_MS), new EvacuationSet(BOUND_MS), new EvacuationSet(BOUND_MS)]
    const before = [closed(own, NOW), own.isClosedTo('a', 1, NOW), own.mayCopyFrom('a', NOW), own.isKnown]
    own.merge(unknown.report(NOW), NOW)
    const still = own.isKnown
    other.update(['b'], at(3), 0, NOW)
    own.merge(other.report(NOW), NOW)
    expect([before, still, closed(own, NOW), own.isKnown]).toEqual([[['a', 'b', 'c'], true, false, false], false, ['b'], true])
  })

  // Two evacuations overlap, and one is taken back: one that replaced or ended the other sent requests to an evacuated data centre.
  it('begins and ends each evacuation by itself, by complete reads', () => {
    const set = createSet()
    const changes = [
      set.update(['a'], at(11), 0, NOW + 100), set.update(['a', 'b'], at(12), 0, NOW + 200), set.update(['b'], at(13), 0, NOW + 300), set.update([], at(14), 0, NOW + 400)
    ]
    expect([changes, closed(set, NOW + 400)]).toEqual([[
      [{ dataCentre: 'a', kind: 'started', ageMs: 0 }],
      [{ dataCentre: 'b', kind: 'started', ageMs: 0 }],
      [{ dataCentre: 'a', kind: 'ended', ageMs: 200 }],
      [{ dataCentre: 'b', kind: 'ended', ageMs: 200 }]
    ], []])
  })

  // A slow answer or a peer on the far side of a cut, both from before the evacuation, ended it.
  it('only adds by a read that doesn\'t tell of all, and a complete one of the same version ends nothing', () => {
    const set = createSet(['a'])
    set.add(['b'], at(12), NOW)
    const added = closed(set, NOW)
    set.add(['c'], at(9), NOW)
    const older = closed(set, NOW)
    set.update(['a'], at(13), 0, NOW)
    expect([added, older, closed(set, NOW), set.version]).toEqual([['a', 'b'], ['a', 'b'], ['a'], at(13)])
  })

  it('ignores an older read and the older set of a peer', () => {
    const [set, peer] = [createSet(), createSet()]
    set.update(['a'], at(20), 0, NOW)
    const changes = [set.update([], at(15), 0, NOW), set.merge(peer.report(NOW), NOW)]
    expect([changes, closed(set, NOW)]).toEqual([[[], []], ['a']])
  })

  // The order and the repetition of datagrams decided what instances held evacuated.
  it('joins the sets of peers alike in any order', () => {
    const reports = [['a'], ['a', 'b'], ['b']].map((names, i) => {
      const peer = createSet()
      peer.update(names, at(11 + i), 0, NOW)
      return peer.report(NOW)
    })
    const orders = [[0, 1, 2], [2, 1, 0], [1, 2, 0], [2, 2, 0, 1, 0]]
    const results = orders.map(order => {
      const set = createSet()
      for (const i of order) set.merge(reports[i]!, NOW)
      return closed(set, NOW)
    })
    expect(results).toEqual([['b'], ['b'], ['b'], ['b']])
  })

  // Pages of a range are read one after the other, so two sets of the same version may differ: the smaller one ended an evacuation.
  it('holds both of two sets of the same version', () => {
    const [set, peer] = [createSet(['a']), createSet(['b'])]
    set.merge(peer.report(NOW), NOW)
    expect(closed(set, NOW)).toEqual(['a', 'b'])
  })

  // All sessions of a data centre that leave at once read or copy their prompts in the same second; those that leave late miss the bound.
  it('lets sessions leave spread over a part of the bound, the same ones on all instances', () => {
    const [set, peer] = [createSet(), createSet()]
    set.update(['a'], at(11), 0, NOW)
    peer.merge(set.report(NOW + 150), NOW + 150)
    const offLine = [0, 500, 1_000, 1_500, 2_000].filter(ms => Math.abs(left(set, NOW + ms) - ms / 2_000) > 0.06)
    const differing = SESSIONS.filter(session => set.isClosedTo('a', session, NOW + 1_000) !== peer.isClosedTo('a', session, NOW + 1_000))
    expect([offLine, differing, left(set, NOW + 2_000), set.isClosedTo('b', 1, NOW + 9_000)]).toEqual([[], [], 1, false])
  })

  // Each instance that counted from its own first notice kept sessions for longer, and an early notice that came by way of an older set was lost.
  it('counts the time from when the first instance heard', () => {
    const [first, reader, later] = [createSet(), createSet(), createSet()]
    first.update(['a'], at(11), 0, NOW)
    reader.update(['a'], at(12), 0, NOW + 1_500)
    later.merge(reader.report(NOW + 1_600), NOW + 1_600)
    later.merge(first.report(NOW + 1_600), NOW + 1_600)
    expect([reader.ages(NOW + 1_600), later.ages(NOW + 1_600)]).toEqual([[{ dataCentre: 'a', ageMs: 100 }], [{ dataCentre: 'a', ageMs: 1_600 }]])
  })

  // An older set's evacuation of the same data centre, which had ended meanwhile, made all sessions leave at once.
  it('takes no age from an evacuation that had ended before', () => {
    const [set, behind] = [createSet(['a']), createSet(['a'])]
    set.update([], at(11), 0, NOW + 60_000)
    set.update(['a'], at(12), 0, NOW + 70_000)
    set.merge(behind.report(NOW + 70_000), NOW + 70_000)
    expect(set.ages(NOW + 70_100)).toEqual([{ dataCentre: 'a', ageMs: 100 }])
  })

  // A notice that came 2.9 s after the key was written left sessions and copies of prompts in the data centre beyond the bound.
  it('counts the bound from the last time when the key was known to be absent', () => {
    const set = createSet()
    set.update(['a'], at(11), 0, NOW + 2_900)
    const shares = [2_900, 3_400, 4_000].map(ms => left(set, NOW + ms))
    const copies = [3_900, 4_000].map(ms => set.mayCopyFrom('a', NOW + ms))
    expect([shares[0], shares[1]! > 0.2 && shares[1]! < 0.7, shares[2], copies]).toEqual([0, true, 1, [true, false]])
  })

  // After a loss of the store that was longer than the bound, the key may be of any age: all sessions left in the same moment.
  it('leaves a part of the time for sessions to leave, whenever it hears', () => {
    const set = createSet()
    set.update(['a'], at(11), 0, NOW + 60_000)
    expect([left(set, NOW + 60_000) < 0.1, left(set, NOW + 61_000)]).toEqual([true, 1])
  })

  // Sessions that left late could not copy their prompts, or copies were made from a data centre that had been switched off.
  it('allows copies of prompts until all sessions have left, and not up to the bound', () => {
    const set = createSet()
    set.update(['a'], at(11), 0, NOW + 1_500)
    const copies = [1_500, 3_500, 4_000].map(ms => set.mayCopyFrom('a', NOW + ms))
    expect([copies, set.mayCopyFrom('b', NOW + 9_000), left(set, NOW + 3_500)]).toEqual([[true, true, false], true, 1])
  })

  // The store came back from a copy without the key, and requests went to a data centre that the operator still held evacuated.
  it('keeps what was in force for a while when the store comes back from a copy, then takes the store\'s word', () => {
    const set = createSet(['a', 'b'])
    const restored = set.update(['b'], at(5, 2), 0, NOW)
    const during = closed(set, NOW + GRACE_MS - 1)
    const after = closed(set, NOW + GRACE_MS)
    const ended = set.update(['b'], at(6, 2), 0, NOW + GRACE_MS)
    expect([restored, during, after, ended]).toEqual([[], ['a', 'b'], ['b'], [{ dataCentre: 'a', kind: 'ended', ageMs: GRACE_MS }]])
  })

  // A key that had been deleted is in the copy again: the data centre got requests though the store names it.
  it('takes a key of the copy that had been deleted as in force again, from now on', () => {
    const set = createSet(['a'])
    set.update([], at(11), 0, NOW + 1_000)
    const changes = set.update(['a'], at(5, 2), 0, NOW + 9_000)
    expect(changes).toEqual([{ dataCentre: 'a', kind: 'started', ageMs: 0 }])
  })

  // Instances that pass a lost evacuation on to each other must not prolong it, and one that starts must learn of it.
  it('passes on what the store has lost, without prolonging it', () => {
    const [set, peer, starter] = [createSet(['a']), createSet(['a']), new EvacuationSet(BOUND_MS)]
    starter.update([], at(5, 2), 0, NOW)
    set.update([], at(5, 2), 0, NOW)
    for (let now = NOW + 100; now < NOW + 10_000; now += 100) {
      for (const [from, to] of [[set, peer], [peer, starter], [starter, set], [peer, set]] as const) to.merge(from.report(now - 50), now)
      if (now === NOW + 1_000) expect([set, peer, starter].map(s => closed(s, now))).toEqual([['a'], ['a'], ['a']])
    }
    expect([set, peer, starter].map(s => closed(s, NOW + GRACE_MS + 200))).toEqual([[], [], []])
  })

  // The operator wrote the lost key again and deleted it: a peer's retained evacuation went on.
  it('ends an evacuation of the new epoch when its key is deleted, whatever peers retain', () => {
    const [set, peer] = [createSet(['a']), createSet(['a'])]
    set.update(['a'], at(5, 2), 0, NOW)
    peer.update([], at(4, 2), 0, NOW)
    set.update([], at(6, 2), 0, NOW + 100)
    set.merge(peer.report(NOW + 100), NOW + 100)
    expect(closed(set, NOW + 100)).toEqual([])
  })

  // Nothing but the operator's word ends an evacuation, however long the store is away.
  it('keeps the set while nothing is heard', () => {
    const set = createSet(['a', 'b', 'c'])
    expect(closed(set, NOW + 3_600_000)).toEqual(['a', 'b', 'c'])
  })

  // After the first evacuation had ended, every request looked up the data centre of each endpoint for as long as the process ran.
  it('is empty while nothing is in force, and only then', () => {
    const set = new EvacuationSet(BOUND_MS)
    const empty = [set.isEmpty(NOW)]
    for (const [i, names] of [[], ['a'], [], ['a']].entries()) {
      set.update(names, at(10 + i), 0, NOW)
      empty.push(set.isEmpty(NOW))
    }
    set.update([], at(5, 2), 0, NOW)
    expect([empty, set.isEmpty(NOW + GRACE_MS - 1), set.isEmpty(NOW + GRACE_MS)]).toEqual([[false, true, false, true, false], false, true])
  })
})
