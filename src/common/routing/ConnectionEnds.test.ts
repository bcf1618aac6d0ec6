import { describe, expect, it } from 'vitest'
import { ConnectionEnds, hasProcessEnded } from './ConnectionEnds.js'

const AT = 10_000

/** Whether an endpoint whose connections ended at these times has ended, while those opened at `open` are open. */
function judge (ends: readonly number[], open: readonly number[] = [], seenByPeer = false): boolean {
  const connections = new ConnectionEnds()
  ends.forEach(at => connections.recordEnd(at))
  return hasProcessEnded(connections.lookUp(AT, open), seenByPeer)
}

// Both errors: an engine that ended behind a port that still accepts went unseen; one that lives on must not count as ended.
describe('ConnectionEnds', () => {
  it('tells that a process has ended when all connections to it ended together, those of a peer among them', () => {
    const judged = [judge([AT, AT + 1]), judge([AT - 20, AT, AT + 30], [AT + 2]), judge([AT], [], true)] // the one opened at AT + 2 is to its successor
    expect(judged).toEqual([true, true, true])
  })

  it('tells nothing of a single connection, of ends at other times, and when one that was open before is left', () => {
    const judged = [judge([AT]), judge([AT - 500, AT, AT + 500]), judge([AT, AT + 1], [AT - 3_000]), judge([AT], [AT - 3_000], true), judge([], [], true)]
    expect(judged).toEqual([false, false, false, false, false])
  })
})
