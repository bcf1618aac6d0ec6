import { describe, expect, it } from 'vitest'
import { hashString } from '../Hash.js'
import { SeededRandom } from '../SeededRandom.js'
import { placeCall } from './CallPlacement.js'
import { Candidates } from './Candidates.js'
import { DataCentreHealth } from './DataCentreHealth.js'
import { EndpointGroup } from './EndpointGroup.js'
import { EndpointHealth } from './EndpointHealth.js'
import { EndpointState } from './EndpointState.js'
import { HolderDirectory } from './HolderDirectory.js'
import { placePrompt, promptKey } from './PromptPlacement.js'
import { RouteTable } from './RouteTable.js'
import type { Endpoint, Prompt, Route, RoutingConfig } from './Types.js'

function endpoint (id: string, extra: Partial<Endpoint> = {}): Endpoint {
  return { id, service: 'pool', address: '10.0.0.1', port: 80, dataCentre: 'dc-a', slots: 8, leaving: false, startedAtMs: 0, warmUpMs: 0, ...extra }
}

function route (name: string, pathPrefix: string, extra: Partial<Route> = {}): Route {
  return {
    name,
    host: 'a.example',
    pathPrefix,
    targets: [{ service: 'pool', weight: 1 }],
    idempotent: true,
    streaming: false,
    resumable: false,
    timeoutMs: 1_000,
    latencyGoalMs: 100,
    eventPauseGoalMs: 0,
    maxAttempts: 2,
    priority: 1,
    open: false,
    ...extra
  }
}

function config (extra: Partial<RoutingConfig> = {}): RoutingConfig {
  const limits = { maxHeaderBytes: 16_384, maxBodyBytes: 1_000, headerTimeoutMs: 3_000, idleTimeoutMs: 15_000 }
  return { revision: 1, routes: [route('short', '/a/'), route('long', '/a/b/')], services: [], accounts: [{ id: 'looms', keys: ['k1', 'k2'], priority: 1 }], limits, ...extra }
}

function prompt (session: string): Prompt {
  return { parts: [{ id: 'shared', tokens: 100 }, { id: session, tokens: 800 }, { id: `own-${session}`, tokens: 50 }], promptTokens: 950, maxAnswerTokens: 100 }
}

const session = (name: string): number => promptKey(prompt(name)).session

const engines = (count: number): EndpointState[] => Array.from({ length: count }, (_, i) => new EndpointState(endpoint(`e${i}`)))

/** All of `states` as candidates at one time. */
function among (states: readonly EndpointState[], now: number): Candidates {
  return new Candidates(new EndpointGroup(states, now), { tried: new Set(), isReachable: () => true }, now)
}

describe('RouteTable', () => {
  it('finds the route with the longest prefix, and the account of any of its keys', () => {
    const table = new RouteTable(config())
    const names = ['/a/x', '/a/b/x', '/b/x', '/a'].map(path => table.route('A.example:80', path).map(r => r.name).unwrapOr('none'))
    expect(names).toEqual(['short', 'long', 'none', 'none'])
    expect([table.account('k2').map(a => a.id).unwrapOr(''), table.account('k3').isNothing, table.route('b.example', '/a/').isNothing]).toEqual(['looms', true, true])
  })

  it('splits sessions over services by weight and keeps each session at one service', () => {
    const table = new RouteTable(config())
    const split = route('split', '/', { targets: [{ service: 'x', weight: 90 }, { service: 'y', weight: 10 }] })
    const services = Array.from({ length: 2_000 }, (_, i) => table.serviceFor(split, hashString(`s${i}`)))
    const part = services.filter(s => s === 'y').length / services.length
    expect(part).toBeGreaterThan(0.07)
    expect(part).toBeLessThan(0.13)
    expect(services).toEqual(Array.from({ length: 2_000 }, (_, i) => table.serviceFor(split, hashString(`s${i}`))))
  })
})

describe('EndpointHealth', () => {
  it('ejects an endpoint that fails far more often than the others, not one that fails as often', () => {
    const [failing, typical] = [new EndpointHealth(), new EndpointHealth()]
    const outcomes = ['failed', 'answered', 'failed', 'failed', 'failed', 'failed'] as const
    const ejected = outcomes.map(o => [failing.record(o, 0.02, 0), typical.record(o, 0.5, 0)])
    expect(ejected.filter(([s]) => s).length).toBeGreaterThan(0)
    expect(ejected.some(([, u]) => u)).toBe(false)
  })

  it('ejects an unreachable endpoint for longer each time, up to a limit', () => {
    const health = new EndpointHealth()
    let now = 0
    const spans = Array.from({ length: 6 }, () => {
      health.record('unreachable', 0, now)
      const span = health.ejectedUntil - now
      now = health.ejectedUntil
      return span
    })
    expect(spans).toEqual([400, 800, 1_600, 3_200, 5_000, 5_000])
  })
})

describe('EndpointHealth with reports of peers, for an endpoint to which each of many instances sends few requests', () => {
  /** Simulates instances that each record an outcome now and then and report it to all others. */
  function fleet (size: number, seconds: number, failsAt: (request: number) => boolean): readonly EndpointHealth[] {
    const instances = Array.from({ length: size }, () => new EndpointHealth())
    for (let request = 0; request < seconds * size; request++) {
      const now = request * 1_000 / size
      const one = instances[request % size]!
      one.record(failsAt(request) ? 'failed' : 'answered', 0, now)
      for (const other of instances) {
        if (other !== one) other.recordPeerReport(String(request % size), one.localOutcomes(now), 0, now)
      }
    }
    return instances
  }

  it('ejects an endpoint that fails half of its requests, at all instances', () => {
    const ejected = fleet(20, 3, request => request % 2 === 0)
    expect(ejected.filter(health => health.ejectedUntil > 0).length).toBe(20)
  })

  it('does not eject an endpoint that fails one request in twenty, when each report reaches only a few peers', () => {
    const random = new SeededRandom(1)
    const instances = Array.from({ length: 146 }, () => new EndpointHealth())
    let ejections = 0
    for (let now = 0; now < 20_000; now++) {
      if (random.next() < 0.03 && instances[random.below(146)]!.record(random.next() < 0.05 ? 'failed' : 'answered', 0.03, now)) ejections++
      instances.forEach((one, i) => {
        if ((now + i * 17) % 250 !== 0) return
        for (const other of [random.below(146), random.below(146), random.below(146)]) {
          if (other !== i && instances[other]!.recordPeerReport(String(i), one.localOutcomes(now), 0.03, now)) ejections++
        }
      })
    }
    expect(ejections).toBe(0)
  })

  it('drops decayed counts, and counts only the latest report of each peer', () => {
    const health = new EndpointHealth()
    for (let i = 0; i < 10; i++) health.recordPeerReport('peer', { failed: 1, ended: 1 }, 0, i)
    expect([health.outcomes(60).ended <= 1, health.outcomes(30_000).ended < 0.01, health.isAvailable(60)]).toEqual([true, true, true])
  })
})

describe('HolderDirectory, for many new sessions within seconds', () => {
  it('finds the engine of a session again after the directory was lost', () => {
    const states = engines(9)
    const keys = Array.from({ length: 60 }, (_, i) => promptKey(prompt(`s${i}`)))
    const [before, after] = [new HolderDirectory(), new HolderDirectory()]
    const choose = (directory: HolderDirectory): number[] => keys.map((key, i) => directory.choose(key, among(states, i * 500), i * 500)!.hash)
    expect(choose(before)).toEqual(choose(after))
  })

  it('spreads long prompts over engines instead of queueing them at one', () => {
    const states = engines(9)
    const directory = new HolderDirectory()
    const long = (name: string): ReturnType<typeof promptKey> => ({ ...promptKey(prompt(name)), sessionTokens: 6_000 })
    const assigned = new Map<number, number>()
    for (let i = 0; i < 27; i++) {
      const chosen = directory.choose(long(`s${i}`), among(states, 0), 0)!.hash
      assigned.set(chosen, (assigned.get(chosen) ?? 0) + 1)
    }
    expect(Math.max(...assigned.values())).toBeLessThanOrEqual(4)
  })

  it('selects an engine to copy from: the previous one of the session, else one that has the template', () => {
    const directory = new HolderDirectory()
    const [first, second] = [promptKey(prompt('s1')), promptKey(prompt('s2'))]
    directory.record(first, 1, 0)
    const listed = (): boolean => true
    const sources = [
      directory.copySource(first, 1, listed, 10),
      directory.copySource(first, 2, listed, 10),
      directory.copySource(second, 2, listed, 10),
      directory.copySource(second, 2, () => false, 10)
    ]
    expect(sources).toEqual([undefined, 1, 1, undefined])
  })

  // The few requests that a cold engine takes were spent on prompts that take it longest.
  it('places short new sessions, and those whose template it has, at a cold engine, long ones elsewhere', () => {
    const states = engines(3)
    const sized = promptKey(prompt('s'))
    const key = (templateTokens: number, sessionTokens: number): typeof sized => ({ ...sized, templateTokens, sessionTokens })
    const directory = new HolderDirectory()
    const home = directory.choose(key(0, 0), among(states, 0), 0)!
    home.warmUp.limit = { durationMs: 3_000, requestsPerSec: 12 }
    home.warmUp.recordEntry(3_000, 0, 0)
    const isHome = (d: HolderDirectory, k: typeof sized, now: number): boolean => d.choose(k, among(states, now), now) === home
    const cold = [key(500, 500), key(500, 8_000), key(8_000, 500)].map(k => isHome(new HolderDirectory(), k, 1))
    directory.record({ ...key(8_000, 500), session: 9 }, home.hash, 1)
    expect([cold, isHome(directory, key(8_000, 500), 1), isHome(new HolderDirectory(), key(500, 8_000), 3_000)]).toEqual([[true, false, false], true, true])
  })

  it('avoids engines that are busy or ejected', () => {
    const states = engines(3)
    const key = promptKey(prompt('s'))
    const home = new HolderDirectory().choose(key, among(states, 0), 0)!
    home.inFlight = 20
    const other = new HolderDirectory().choose(key, among(states, 0), 0)!
    other.health.record('unreachable', 0, 0)
    const last = new HolderDirectory().choose(key, among(states, 0), 0)!
    expect(new Set([home, other, last]).size).toBe(3)
    expect(new HolderDirectory().choose(key, among([], 0), 0)).toBeUndefined()
  })
})

describe('DataCentreHealth, for a data centre that is cut off under load', () => {
  it('ejects it after two endpoints failed, and readmits it on the first success', () => {
    const reach = new DataCentreHealth()
    const ejected = [reach.recordFailure('dc-b', 'e1', 0), reach.recordFailure('dc-b', 'e1', 100), reach.recordFailure('dc-b', 'e2', 200)]
    expect([ejected, reach.isEjected('dc-b', 300), reach.isEjected('dc-a', 300), reach.isEjected('dc-b', 900)]).toEqual([[false, false, true], true, false, false])
    reach.recordFailure('dc-b', 'e1', 1_000)
    reach.recordSuccess('dc-b')
    expect(reach.isEjected('dc-b', 1_000)).toBe(false)
  })

  it('does not eject a data centre of which one endpoint fails', () => {
    const reach = new DataCentreHealth()
    for (let now = 0; now < 5_000; now += 100) reach.recordFailure('dc-b', 'e1', now)
    expect(reach.isEjected('dc-b', 5_000)).toBe(false)
  })
})

describe('placePrompt, for sessions that return', () => {
  it('sends a session to one engine, whichever instance decides, and moves few sessions when an engine joins', () => {
    const before = engines(9)
    const after = [...before, new EndpointState(endpoint('new'))]
    const sessions = Array.from({ length: 900 }, (_, i) => prompt(`s${i}`))
    const engineOf = (p: Prompt, states: readonly EndpointState[]): number => placePrompt(promptKey(p).session, undefined, among(states, 0), 0)!.state.hash
    const moved = sessions.filter(p => engineOf(p, before) !== engineOf(p, after))
    expect(moved.length / sessions.length).toBeLessThan(0.15)
  })

  it('keeps a session with its holder when an engine joins, and falls back to rendezvous order when the holder is ejected', () => {
    const [first, ...rest] = engines(4)
    const other = rest.find(e => e !== placePrompt(session('s'), undefined, among([first!, ...rest], 0), 0)!.state)!
    expect(placePrompt(session('s'), other.hash, among([first!, ...rest], 0), 0)).toMatchObject({ reason: 'holder', state: other })
    other.health.record('unreachable', 0, 0)
    expect(placePrompt(session('s'), other.hash, among([first!, ...rest], 0), 0)!.reason).toBe('home')
  })

  it('spills a hot session over before its engine exceeds twice the mean load plus 3', () => {
    const states = engines(9)
    for (let i = 0; i < 60; i++) {
      const choice = placePrompt(session('hot'), undefined, among(states, 0), 0)!
      const mean = states.reduce((sum, s) => sum + s.inFlight, 0) / states.length
      expect(choice.state.inFlight).toBeLessThanOrEqual(2 * mean + 3)
      choice.state.inFlight++
    }
  })

  it('uses the engine whose ejection ends first when all are ejected', () => {
    const [a, b] = engines(2)
    a!.health.record('unreachable', 0, 0)
    b!.health.record('unreachable', 0, 0)
    b!.health.record('unreachable', 0, 0)
    expect(placePrompt(session('s'), undefined, among([a!, b!], 1), 1)).toMatchObject({ reason: 'only-closed', state: a })
    expect(placePrompt(session('s'), undefined, among([], 1), 1)).toBeUndefined()
  })

  it('uses the last shared part as the session', () => {
    const single = { ...prompt('s'), parts: [{ id: 'only', tokens: 10 }] }
    expect([promptKey(prompt('s')), promptKey(single)]).toEqual([
      { session: hashString('s'), template: hashString('shared'), templateTokens: 100, sessionTokens: 800 },
      { session: hashString('only'), template: hashString('only'), templateTokens: 10, sessionTokens: 0 }
    ])
  })
})

describe('placeCall, for short calls to a few small endpoints', () => {
  it('stays in the data centre while its endpoint has capacity, and leaves it before requests queue', () => {
    const near = new EndpointState(endpoint('near', { slots: 6 }))
    const far = new EndpointState(endpoint('far', { slots: 6, dataCentre: 'dc-b' }))
    const reasons = Array.from({ length: 8 }, (_, i) => {
      const choice = placeCall(`r${i}`, 'dc-a', among([near, far], 0), 0)!
      choice.state.inFlight++
      return choice.state.endpoint.id
    })
    expect(reasons).toEqual(['near', 'near', 'near', expect.any(String), expect.any(String), expect.any(String), expect.any(String), expect.any(String)])
    expect(near.inFlight).toBeLessThanOrEqual(6)
    expect(far.inFlight).toBeGreaterThan(0)
  })
})

describe('EndpointState', () => {
  it('adds its own requests to those of other instances, and reduces the weight of old reports', () => {
    const state = new EndpointState(endpoint('e'))
    state.inFlight = 2
    state.recordReport(10, 1_000)
    state.inFlight = 3
    expect([state.load(1_000), state.load(2_500), state.load(5_000)]).toEqual([11, 11, 3])
    state.recordReport(4, 500)
    expect(state.load(1_000)).toBe(11)
  })
})
