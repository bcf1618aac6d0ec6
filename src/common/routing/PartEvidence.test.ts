import fc from 'fast-check'
import { describe, expect, it, vi } from 'vitest'
import type { PartCrash } from '../generated/PeerDatagram.js'
import { SeededRandom } from '../SeededRandom.js'
import { TrialLeases } from '../limits/TrialLeases.js'
import { PartEvidence, YOUNG_ANSWER_MS } from './PartEvidence.js'

const FATAL = 999
const APART_MS = 500
const MAX_CRASHES = 5 // engines that the users allow one part to end
const CONTACT_MS = 3_000 // time that instances have to learn of them
const MAX_LATER = 3 // fatal requests that may be sent after that
const MAX_REFUSED = 0.01 // of the sound requests
const MAX_REFUSED_WAITING = 0.015 // the same, when waiting requests are held against crashes as well

/** Evidence of crashes of engines 1, 2, ... at intervals, each with young answers on these parts. */
function evidenceOf (crashes: ReadonlyArray<readonly number[]>, intervalMs = APART_MS): PartEvidence {
  const evidence = new PartEvidence()
  crashes.forEach((parts, i) => evidence.recordCrash(parts, i + 1, 0, i * intervalMs))
  return evidence
}

const stateOf = (evidence: PartEvidence, ...parts: number[]): string => evidence.assess(parts)?.state ?? 'sound'

describe('PartEvidence, when each engine that answers one part ends', () => {
  it('suspects the part after two engines and blocks it after three', () => {
    const states = [1, 2, 3].map(count => stateOf(evidenceOf(Array.from({ length: count }, (_, i) => [FATAL, i])), FATAL, 77))
    expect(states).toEqual(['sound', 'suspect', 'blocked'])
  })

  it('counts one crash once, however many instances and requests saw it', () => {
    const evidence = new PartEvidence()
    for (let i = 0; i < 10; i++) evidence.recordCrash([FATAL], 1, 5 * i, 100 * i)
    expect(stateOf(evidence, FATAL)).toBe('sound')
  })

  // One bad data centre, or a power cut, must not block the templates in every prompt.
  it('counts engines that end together as one crash', () => {
    expect(stateOf(evidenceOf([[FATAL], [FATAL], [FATAL], [FATAL]], 20), FATAL)).toBe('sound')
  })

  // Without a proof that the engines ended, a network that resets connections and an engine that ends look alike at first.
  it('suspects a part that five engines broke off, and blocks it after six, not when one did so often or all at once', () => {
    const states = [[1, 2, 3, 4], [1, 2, 3, 4, 5], [1, 2, 3, 4, 5, 6], [1, 1, 1, 1, 1, 1, 1]].map(engines => {
      const evidence = new PartEvidence()
      engines.forEach((engine, i) => evidence.recordClose([FATAL], engine, 0, APART_MS * i))
      return stateOf(evidence, FATAL)
    })
    const together = new PartEvidence()
    for (let engine = 1; engine <= 8; engine++) together.recordClose([FATAL], engine, 0, engine)
    expect([...states, stateOf(together, FATAL)]).toEqual(['sound', 'suspect', 'blocked', 'sound', 'sound'])
  })

  it('counts engines that broke off the part as ended once the list tells so', () => {
    const evidence = new PartEvidence()
    for (const engine of [1, 2, 3]) evidence.recordClose([FATAL], engine, 0, APART_MS * engine)
    const news = [1, 2, 3].flatMap(engine => evidence.confirmCrash(engine, 5_000, 10_000))
    expect([news.length, stateOf(evidence, FATAL)]).toEqual([3, 'blocked'])
  })

  // Six requests with the part that arrived together ended all engines, and counted as one crash each time.
  it('suspects a part when five engines end together, until an answer on it is whole', () => {
    const evidence = evidenceOf([[FATAL, 1], [FATAL, 1], [FATAL, 1], [FATAL, 1], [FATAL, 1]], 15)
    const before = stateOf(evidence, 1)
    evidence.recordSound([1], 1_000)
    evidence.recordCrash([FATAL], 6, 0, 2_000)
    const next = stateOf(evidence, FATAL)
    evidence.recordCrash([FATAL], 7, 0, 3_000)
    expect([before, stateOf(evidence, 1), next, stateOf(evidence, FATAL)]).toEqual(['suspect', 'sound', 'suspect', 'blocked'])
  })

  it('holds nothing against a part with a whole answer since, whichever instance saw it first', () => {
    const evidence = evidenceOf([[FATAL, 1], [FATAL, 1], [FATAL, 1]])
    const stale = evidence.reports(64, 2_000)
    evidence.recordSound([1], 2_000)
    evidence.merge(stale, 2_100)
    expect([stateOf(evidence, 1), stateOf(evidence, FATAL)]).toEqual(['sound', 'blocked'])
  })

  // A template in every prompt was suspect after each second crash, until an answer on it that ended later: callers were refused meanwhile.
  it('does not hold back a part that was in a whole answer lately, and forgets that after a while', () => {
    const evidence = evidenceOf([[FATAL, 1]])
    evidence.recordSound([1, 2], 400)
    const news = [2, 3].flatMap(engine => evidence.recordCrash([FATAL, 1, 2], engine, 0, APART_MS * engine))
    const states = [stateOf(evidence, 1), stateOf(evidence, 2), stateOf(evidence, FATAL)]
    for (const engine of [4, 5, 6]) evidence.recordCrash([2], engine, 0, 100_000 * engine)
    expect([news.filter(n => n.refuted).length, states, stateOf(evidence, 2)]).toEqual([4, ['sound', 'sound', 'blocked'], 'blocked'])
  })

  it('holds nothing against parts that were only beside the fatal one', () => {
    const evidence = evidenceOf([[FATAL, 1, 2], [FATAL, 1, 3], [FATAL, 1, 4], [FATAL, 5]])
    expect([1, 2, 3, 4, 5, FATAL].map(part => stateOf(evidence, part))).toEqual(['sound', 'sound', 'sound', 'sound', 'sound', 'blocked'])
  })

  it('lets a trial tell apart two parts that were always together: one at a time, at once', () => {
    const evidence = evidenceOf([[FATAL, 1], [FATAL, 1], [FATAL, 1]])
    expect([stateOf(evidence, FATAL, 1), stateOf(evidence, 1, 2), stateOf(evidence, FATAL, 2)]).toEqual(['blocked', 'suspect', 'suspect'])
    evidence.recordSound([1, 2], 1_700)
    expect([stateOf(evidence, 1, 2), stateOf(evidence, FATAL, 2)]).toEqual(['sound', 'blocked'])
  })

  it('waits longer for each further trial of a blocked part, also while such requests still come', () => {
    const evidence = evidenceOf([[FATAL], [FATAL], [FATAL]], APART_MS)
    const waits = [4, 5, 6].map(engine => {
      const { nextTrialAt } = evidence.assess([FATAL])!
      evidence.recordCrash([FATAL], engine, 0, nextTrialAt)
      return nextTrialAt
    })
    expect(waits).toEqual([21_000, 101_000, 421_000])
  })

  it('blocks the part until a trial succeeds, however late, and does not block it again by older reports', () => {
    const evidence = evidenceOf([[FATAL], [FATAL], [FATAL]])
    const stale = evidence.reports(64, 2_000).map(crash => ({ ...crash, ageMs: crash.ageMs + 1_998_000 }))
    evidence.recordCrash([1], 9, 0, 1_999_000)
    const before = stateOf(evidence, FATAL)
    evidence.recordSound([FATAL], 2_000_000)
    evidence.merge(stale, 2_000_000)
    evidence.recordCrash([1], 10, 0, 2_002_000)
    evidence.merge(stale, 2_002_000)
    expect([before, stateOf(evidence, FATAL)]).toEqual(['blocked', 'sound'])
  })

  it('is learned by an instance that starts long after the crashes', () => {
    const evidence = new PartEvidence()
    evidence.merge(evidenceOf([[FATAL], [FATAL], [FATAL]]).reports(64, 1_500_000), 7)
    expect(stateOf(evidence, FATAL)).toBe('blocked')
  })

  it('is the same in whatever order and however often the reports of instances arrive', () => {
    const report: fc.Arbitrary<PartCrash> = fc
      .record({ part: fc.nat(3), endpoint: fc.nat(5), ageMs: fc.constant(0), refuted: fc.boolean(), unconfirmed: fc.boolean() })
      .map(r => ({ ...r, ageMs: 10_000 - 300 * r.endpoint - r.part }))
    fc.assert(fc.property(fc.array(report, { maxLength: 30 }), fc.infiniteStream(fc.nat()), (reports, keys) => {
      const assessed = (order: readonly PartCrash[]): unknown[] => {
        const evidence = new PartEvidence()
        for (const r of order) evidence.merge([r], 20_000)
        return [0, 1, 2, 3].map(part => evidence.assess([part]))
      }
      const shuffled = [...reports, ...reports].map(r => ({ r, key: keys.next().value })).sort((a, b) => a.key - b.key).map(({ r }) => r)
      expect(assessed(shuffled)).toEqual(assessed(reports))
    }), { seed: 5, numRuns: 300 })
  })

  it('stays bounded when many parts are in crashes', () => {
    const evidence = new PartEvidence()
    for (let i = 0; i < 5_000; i++) evidence.recordCrash([FATAL, i], i, 0, APART_MS * i)
    expect(evidence.reports(Infinity, 0).length).toBeLessThanOrEqual(600)
    expect(stateOf(evidence, FATAL)).toBe('blocked')
  })
})

describe('PartEvidence, in a fleet where many engines have ended', () => {
  it('takes in a report at a cost that does not depend on the number of parts that are known', () => {
    const costs = [10, 500].map(known => {
      const evidence = new PartEvidence()
      for (let i = 0; i < known; i++) evidence.recordCrash([1_000 + i], i, 0, 0)
      const sort = vi.spyOn(Array.prototype, 'sort') // called once for each part that is summed up
      evidence.recordCrash([FATAL, 1], 7_777, 0, 10)
      const calls = sort.mock.calls.length
      sort.mockRestore()
      return calls
    })
    expect(costs).toEqual([2, 2])
  })
})

interface SimulatedAnswer {
  readonly parts: readonly number[]
  /** Part that the request has a lease for. */
  readonly trial: number | undefined
  readonly beginsAt: number
  readonly endsAt: number
}

interface SimulatedEngine {
  incarnation: number
  upAt: number
  answers: SimulatedAnswer[]
}

/** What a simulated run cost. */
interface Costs {
  /** Engines that the fatal part ended. */
  crashes: number
  /** Fatal requests that were sent after the crashes that the users allow, and the time that instances have to learn of them. */
  later: number
  sound: number
  /** Sound requests that were refused. */
  refused: number
}

/**
 * Six engines with sound requests of three templates and many sessions; `fatalPerSec` requests a second share a template and one
 * part that ends an engine 80 ms after the answer began. @param crashEveryMs interval of crashes with another cause.
 * @param countsWaiting true when requests that wait for their answer are held against a crash as well; the fatal part then ends an engine at once.
 */
function simulate (seed: number, fatalPerSec: number, crashEveryMs: number, countsWaiting = false): Costs {
  const random = new SeededRandom(seed)
  const evidence = new PartEvidence()
  const leases = new TrialLeases()
  const engines: SimulatedEngine[] = Array.from({ length: 6 }, (_, i) => ({ incarnation: i, upAt: 0, answers: [] }))
  const costs: Costs = { crashes: 0, later: 0, sound: 0, refused: 0 }
  let incarnations = engines.length
  let lateFrom = Infinity
  const crash = (engine: SimulatedEngine, now: number): void => {
    const young = engine.answers.filter(a => (countsWaiting || a.beginsAt <= now) && now - a.beginsAt < YOUNG_ANSWER_MS).flatMap(a => a.parts)
    evidence.recordCrash([...new Set(young)], engine.incarnation, 0, now)
    young.forEach(part => leases.release(part))
    Object.assign(engine, { incarnation: incarnations++, upAt: now + 3_000, answers: [] })
    cancelBlocked(now)
  }
  const cancelBlocked = (now: number): void => {
    for (const e of engines) {
      const cancelled = e.answers.filter(a => a.beginsAt > now && a.parts.some(part => evidence.blockedParts.has(part)))
      for (const { trial } of cancelled) if (trial !== undefined) leases.release(trial)
      e.answers = e.answers.filter(a => !cancelled.includes(a))
    }
  }
  const send = (parts: readonly number[], now: number): boolean => {
    const assessment = evidence.assess(parts)
    if (assessment !== undefined && (assessment.nextTrialAt > now || leases.acquire(assessment.part, now) > 0)) return false
    const up = engines.filter(e => e.upAt <= now)
    const engine = up[Math.floor(random.next() * up.length)]
    if (engine === undefined && assessment !== undefined) leases.release(assessment.part)
    const beginsAt = now + 50 + 200 * random.next()
    engine?.answers.push({ parts, trial: assessment?.part, beginsAt, endsAt: beginsAt + 300 + 3_000 * random.next() })
    return true
  }
  for (let now = 0; now < 60_000; now += 10) {
    for (const engine of engines) {
      const isFatal = engine.answers.some(a => a.parts.includes(FATAL) && a.beginsAt + (countsWaiting ? 0 : 80) <= now)
      if (isFatal && ++costs.crashes === MAX_CRASHES) lateFrom = now + CONTACT_MS
      if (isFatal || (crashEveryMs > 0 && now % crashEveryMs === 0 && random.next() < 1 / 6)) crash(engine, now)
      for (const a of engine.answers.filter(a => a.endsAt <= now || now - a.beginsAt >= YOUNG_ANSWER_MS)) evidence.recordSound(a.parts, now)
      engine.answers = engine.answers.filter(a => a.endsAt > now)
    }
    if (random.next() < fatalPerSec / 100 && send([1, FATAL, 5_000 + now], now) && now > lateFrom) costs.later++
    if (random.next() < 0.3) {
      const session = 100 + Math.floor(60 * random.next())
      costs.sound++
      if (!send([session % 3, session], now)) costs.refused++
    }
  }
  return costs
}

describe('PartEvidence, on seeded loads of sound requests beside fatal ones', () => {
  it.each([0.5, 1, 5])('loses few engines and refuses few sound requests, at %d fatal requests a second', fatalPerSec => {
    const runs = Array.from({ length: 30 }, (_, i) => simulate(i + 1, fatalPerSec, 0))
    expect(Math.max(...runs.map(r => r.crashes))).toBeLessThanOrEqual(MAX_CRASHES + MAX_LATER)
    expect(Math.max(...runs.map(r => r.later))).toBeLessThanOrEqual(MAX_LATER)
    expect(Math.max(...runs.map(r => r.refused / r.sound))).toBeLessThan(MAX_REFUSED)
  })

  // The template that the fatal requests share is held back until an answer on it has gone on for a second: more often when waiting requests count too.
  it.each([0.5, 1, 5])('does so when the heads of answers are lost in the crashes, at %d fatal requests a second', fatalPerSec => {
    const runs = Array.from({ length: 30 }, (_, i) => simulate(i + 1, fatalPerSec, 0, true))
    expect(Math.max(...runs.map(r => r.crashes))).toBeLessThanOrEqual(MAX_CRASHES + MAX_LATER)
    expect(Math.max(...runs.map(r => r.later))).toBeLessThanOrEqual(MAX_LATER)
    expect(Math.max(...runs.map(r => r.refused / r.sound))).toBeLessThan(MAX_REFUSED_WAITING)
  })

  it('refuses few sound requests when engines end every two seconds for other reasons', () => {
    const runs = Array.from({ length: 30 }, (_, i) => simulate(i + 1, 0, 2_000))
    expect(Math.max(...runs.map(r => r.refused / r.sound))).toBeLessThan(MAX_REFUSED)
  })
})
