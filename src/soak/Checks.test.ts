import { describe, expect, it } from 'vitest'
import { STREAM_EVENT_COUNT } from '../standin/PlatformWorker.js'
import { CHECKS, findViolations, type Observations } from './Checks.js'
import { SOAK_PROCESS, Timeline } from './Timeline.js'
import type { ArrivalRecord, CallRecord, ExtraRoute, ProbeRecord, RunRecord } from './Types.js'

const AT = 20_000
const EVENT_TEXT = Array.from({ length: STREAM_EVENT_COUNT }, (_, i) => `id: ${i + 1}\ndata: token${i + 1}\n\n`)

function call (more: Partial<CallRecord> = {}): CallRecord {
  return {
    id: 'q1', kind: 'write', gateway: 'g0', account: 'looms', startedAt: AT, endedAt: AT + 100, end: 'whole', status: 200, body: 'answer to q1: q1', signature: 'w0.q1', answerId: 'q1', reused: true, ...more
  }
}

function run (more: Partial<RunRecord> = {}): RunRecord {
  return { id: 'q1', worker: 'w0', at: AT + 10, account: 'looms', overAt: AT + 90, ...more }
}

const arrival = (more: Partial<ArrivalRecord> = {}): ArrivalRecord => ({ id: 'q1', worker: 'w0', service: 'orders', dataCentre: 'a', at: AT + 10, pauseMs: 0, ...more })
const probe = (more: Partial<ProbeRecord> = {}): ProbeRecord => ({ route: 'extra0', gateway: 'g0', restarts: 0, at: AT, answeredAt: AT + 5, status: 200, ...more })
const route = (more: Partial<ExtraRoute> = {}): ExtraRoute => ({ name: 'extra0', addedAt: 10_000, removedAt: Infinity, ...more })

function violatedRules (more: Partial<Observations>): string[] {
  const observed: Observations = {
    calls: [],
    runs: [],
    arrivals: [],
    probes: [],
    routes: [],
    leavingAt: new Map(),
    saysLeavingAt: new Map(),
    evacuations: [],
    timeline: new Timeline(),
    drainMs: 2_000,
    evacuationMs: 4_000,
    applyMs: 2_000,
    retryRatio: 0.2,
    retryBurst: 2,
    ...more
  }
  return [...new Set(findViolations(observed).map(v => v.rule))]
}

/** For each guarantee, records that violate it and nothing else. */
const VIOLATIONS: Readonly<Record<string, () => Partial<Observations>>> = {
  'own whole answer': () => ({ calls: [call({ answerId: 'q2', signature: 'w0.q2' })], runs: [run()] }),
  'at most once': () => ({ calls: [call()], runs: [run(), run({ worker: 'w1' })] }),
  'not run': () => ({ calls: [call({ status: 503, signature: '', body: '' })], runs: [run()] }),
  order: () => ({ calls: [call({ kind: 'stream', end: 'cut', body: EVENT_TEXT[0]! + EVENT_TEXT[2]! })] }),
  account: () => ({ calls: [call()], runs: [run({ account: 'beads' })] }),
  drain: () => ({ calls: [call()], runs: [run()], leavingAt: new Map([['w0', AT - 2_100]]) }),
  word: () => {
    const later = call({ id: 'q2', answerId: 'q2', kind: 'read', startedAt: AT + 2_200, endedAt: AT + 2_300, status: 502 })
    return { calls: [call(), later], runs: [run()], arrivals: [arrival({ id: 'q2', at: AT + 2_250 })], saysLeavingAt: new Map([['w0', AT - 10]]) }
  },
  evacuation: () => ({ calls: [call()], runs: [run()], arrivals: [arrival()], evacuations: [{ dataCentre: 'a', writtenAt: AT - 4_000, deletedAt: Infinity }] }),
  pause: () => {
    const ids = ['q1', 'q2', 'q3', 'q4']
    const refused = ids.map((id, i) => call({ id, answerId: id, status: 502, startedAt: AT + 600 * i }))
    return { calls: refused, arrivals: ids.map((id, i) => arrival({ id, at: AT + 600 * i, pauseMs: i === 0 ? 3_000 : 0 })) }
  },
  lost: () => ({ calls: [call({ end: 'cut', status: 0 })], runs: [run()] }),
  cancel: () => ({ calls: [call({ end: 'left', status: 0 })], runs: [run({ overAt: AT + 700 })] }),
  denied: () => ({ calls: [call({ status: 404, signature: '', body: '' })] }),
  'in force': () => ({ probes: [probe({ status: 404 })], routes: [route()] }),
  'never back': () => ({ probes: [probe(), probe({ at: AT + 1, status: 404 }), probe({ at: AT + 2 })], routes: [route({ removedAt: AT })] }),
  budget: () => ({ calls: [call({ kind: 'read' })], runs: [run()], arrivals: Array.from({ length: 4 }, () => arrival()) }),
  recovery: () => {
    const timeline = new Timeline()
    const restart = timeline.begin('herd', 'g0')
    restart.restartedAt = restart.from
    restart.to = restart.from + 15_000
    return { timeline, calls: [call({ startedAt: restart.from + 12_100, status: 502, signature: '' })] }
  }
}

describe('soak checks', () => {
  it('report each violation under the name of its guarantee only', () => {
    for (const [rule, records] of Object.entries(VIOLATIONS)) expect([rule, violatedRules(records())]).toEqual([rule, [rule]])
    expect(Object.keys(VIOLATIONS).sort()).toEqual(Object.keys(CHECKS).sort())
  })

  it('report nothing for records without a violation', () => {
    const stream = { id: 'q2', answerId: 'q2', kind: 'stream', signature: 'w0.q2', body: EVENT_TEXT.join('') } as const
    expect(violatedRules({ calls: [call(), call(stream)], runs: [run(), run({ id: 'q2' })], probes: [probe()], routes: [route()] })).toEqual([])
  })

  it('do not apply time limits to a disturbed gateway', () => {
    const timeline = new Timeline()
    timeline.begin('pause', 'g0').from = AT - 1_000
    const disturbed = [VIOLATIONS.drain!(), VIOLATIONS.lost!(), VIOLATIONS.cancel!(), VIOLATIONS['in force']!()]
    expect(disturbed.flatMap(records => violatedRules({ ...records, timeline }))).toEqual([])
  })

  it('leave the time in which the soak did not run out of the time until a request is cancelled', () => {
    const after = (pausedMs: number): string[] => {
      const timeline = new Timeline()
      timeline.add({ kind: 'pause', what: SOAK_PROCESS, from: AT + 10, to: AT + 10 + pausedMs })
      return violatedRules({ ...VIOLATIONS.cancel!(), timeline })
    }
    expect([after(100), after(300)]).toEqual([['cancel'], []])
  })

  // The check counted what arrived within the bound, after the end, or in another data centre, and what a gateway sent that couldn't know.
  it('count requests to a data centre only while it is evacuated, from gateways that can know', () => {
    const evacuated = (dataCentre: string, writtenAt: number, deletedAt: number, timeline = new Timeline()): string[] =>
      violatedRules({ ...VIOLATIONS.evacuation!(), timeline, evacuations: [{ dataCentre, writtenAt, deletedAt }] })
    const disturbed = (kind: string, what: string, at = AT - 3_000): Timeline => {
      const timeline = new Timeline()
      timeline.add({ kind, what, from: at, to: at + 500 })
      return timeline
    }
    const from = AT - 4_000
    expect([evacuated('a', from + 20, Infinity), evacuated('a', from, AT), evacuated('b', from, Infinity)]).toEqual([[], [], []])
    expect([disturbed('store', 'store'), disturbed('pause', 'g0'), disturbed('worker link', 'w0')].flatMap(t => evacuated('a', from, Infinity, t))).toEqual([])
    const excusesNothing = [disturbed('hup', 'g0'), disturbed('pause', 'g1'), disturbed('restored store', 'store', AT - 900)]
    expect(excusesNothing.flatMap(t => evacuated('a', from, Infinity, t))).toEqual(['evacuation', 'evacuation', 'evacuation'])
  })

  it('accept a 404 for a route removed while the probe was in flight, but not for one removed after the answer', () => {
    const removed = (removedAt: number): string[] => violatedRules({
      probes: [probe(), probe({ at: AT + 10, answeredAt: AT + 20, status: 404 })], routes: [route({ removedAt })]
    })
    expect([removed(AT + 15), removed(AT + 25)]).toEqual([[], ['never back']])
  })

  it('count recovery from the start of the processes, and excuse no fault of the store', () => {
    const records = VIOLATIONS.recovery!()
    records.timeline!.begin('store', 'store')
    expect(violatedRules(records)).toEqual(['recovery'])
  })

  it('count repeats by service, and requests of the window before', () => {
    const repeats = (service: ArrivalRecord['service']): ArrivalRecord[] => Array.from({ length: 3 }, (_, i) => arrival({ service, at: AT + 10 + i }))
    const earlier = Array.from({ length: 5 }, (_, i) => call({ id: `e${i}`, kind: 'read', answerId: `e${i}`, startedAt: AT - 9_000, end: 'no-connection', status: 0 }))
    const later = call({ kind: 'read', end: 'no-connection', status: 0 })
    expect(violatedRules({ calls: [later], arrivals: [...repeats('orders'), ...repeats('engines')] })).toEqual([])
    expect(violatedRules({ calls: [later], arrivals: [...repeats('orders'), arrival({ at: AT + 20 })] })).toEqual(['budget'])
    expect(violatedRules({ calls: [...earlier, later], arrivals: [...repeats('orders'), arrival({ at: AT + 20 })] })).toEqual([])
  })

  it('report a lost request during a planned stop', () => {
    const timeline = new Timeline()
    timeline.begin('stop', 'g0').from = AT - 1_000
    expect(violatedRules({ ...VIOLATIONS.lost!(), timeline })).toEqual(['lost'])
  })
})
