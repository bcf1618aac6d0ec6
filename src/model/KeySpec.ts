/**
 * Specification of at-most-once execution for idempotency keys that callers create: the instances' lists lag,
 * consents get lost, and a caller may repeat the key at any instance. `KeyLease` and `KeyDecision` are the functions
 * that the router runs; time advances in whole units.
 *
 * A crashed, partitioned or suspended instance needs no event of its own: it is one that takes no further events.
 * A run is counted when it is decided, so a process that is suspended for any time between the decision and the first
 * byte that it sends is covered too. The key is created at its first request: an earlier creation time only makes
 * `isFirstOwner` stricter.
 */
import { isFirstOwner, decideKey, type KeyAction, type KeyedRequest, type KeyState, type KeyTimes } from '../common/idempotency/KeyDecision.js'
import { initialLease, keyOwnership, withConsent, withList, type KeyLease, type KeyOwnership } from '../common/idempotency/KeyLease.js'
import type { Specification } from './Explore.js'

const LEASE = { leaseMs: 2 }
const TIMES: KeyTimes = { skewMs: 0, retentionMs: 1_000 }
const KEY = 'k'

/** Rules under test; each mutant replaces one of them. */
export interface KeyRules {
  readonly keyOwnership: typeof keyOwnership
  readonly decideKey: (state: KeyState, req: KeyedRequest, ownership: KeyOwnership, times: KeyTimes) => KeyAction
  readonly withConsent: typeof withConsent
  /** Whether a peer consents to a list other than the one that it uses. */
  readonly consentsToOtherLists: boolean
}

/** The rules that the router follows. */
export const KEY_RULES: KeyRules = { keyOwnership, decideKey, withConsent, consentsToOtherLists: false }

interface NodeState {
  /** Index of the list that the instance uses. */
  readonly list: number
  readonly lease: KeyLease
  readonly key: KeyState
}

/** State of the model. */
export interface KeyModelState {
  readonly now: number
  readonly minted: number | undefined
  readonly runs: number
  readonly nodes: Readonly<Record<string, NodeState>>
}

/** Events of the model: `list` applies a list of instances, `round` is a round of pings. */
export type KeyEvent =
  | { readonly type: 'tick' }
  | { readonly type: 'list', readonly node: string, readonly to: number }
  | { readonly type: 'round', readonly node: string }
  | { readonly type: 'request', readonly node: string }

/** One sequence of lists that the platform publishes, to be explored until `endTime`. */
export interface ListScenario {
  readonly name: string
  readonly lists: ReadonlyArray<readonly string[]>
  readonly ranking: readonly string[]
  readonly endTime: number
  /** Indices of the lists that an instance misses because its reader lags. */
  readonly missedLists?: Readonly<Record<string, readonly number[]>>
}

/** Scenarios to explore. Lists always share a running instance, as GUARANTEES.md requires. */
export const KEY_SCENARIOS: readonly ListScenario[] = [
  { name: 'owner dropped', lists: [['a', 'b'], ['b']], ranking: ['a', 'b'], endTime: 7 },
  { name: 'owner joins', lists: [['b'], ['a', 'b']], ranking: ['a', 'b'], endTime: 7 },
  { name: 'owner dropped and listed again', lists: [['a', 'b'], ['b'], ['a', 'b']], ranking: ['a', 'b'], endTime: 6 },
  { name: 'owner dropped, then listed again with another', lists: [['a', 'b'], ['b'], ['a', 'b', 'c']], ranking: ['a', 'b', 'c'], endTime: 5, missedLists: { a: [1] } },
  { name: 'owner replaced by another', lists: [['a', 'b'], ['b', 'c']], ranking: ['a', 'c', 'b'], endTime: 6 }
]

function ownerFunction (scenario: ListScenario): (key: string, list: readonly string[]) => string | undefined {
  return (_key, list) => scenario.ranking.find(id => list.includes(id))
}

function withNode (state: KeyModelState, id: string, node: Partial<NodeState>): KeyModelState {
  return { ...state, nodes: { ...state.nodes, [id]: { ...state.nodes[id]!, ...node } } }
}

/** Builds the specification for one scenario and the given rules. */
export function keySpec (scenario: ListScenario, rules: KeyRules = KEY_RULES): Specification<KeyModelState, KeyEvent> {
  const owner = ownerFunction(scenario)
  const ownership = (state: KeyModelState, id: string): KeyOwnership => rules.keyOwnership(state.nodes[id]!.lease, KEY, state.now, owner, LEASE)
  const nodes: Record<string, NodeState> = {}
  for (const id of scenario.ranking) {
    const list = scenario.lists.findIndex(l => l.includes(id))
    nodes[id] = { list, lease: withList(initialLease(id), scenario.lists[list]!, 0, LEASE), key: 'unseen' }
  }

  const events = (state: KeyModelState): KeyEvent[] => {
    const events: KeyEvent[] = []
    if (state.now < scenario.endTime) events.push({ type: 'tick' })
    for (const [id, node] of Object.entries(state.nodes)) {
      for (let to = node.list + 1; to < scenario.lists.length; to++) {
        if (scenario.missedLists?.[id]?.includes(to) !== true) events.push({ type: 'list', node: id, to })
      }
      if (owner(KEY, node.lease.list) !== id) continue // only the owner acts, so events at other instances change nothing
      if (node.lease.list.some(peer => peer !== id && node.lease.consents[peer]?.last !== state.now)) events.push({ type: 'round', node: id })
      events.push({ type: 'request', node: id })
    }
    return events
  }

  /** One round of pings: every peer that uses the same list consents. A lost round is one whose event does not occur. */
  const round = (state: KeyModelState, id: string): KeyModelState => {
    const list = state.nodes[id]!.lease.list
    const consenting = list.filter(peer => peer !== id && (rules.consentsToOtherLists || state.nodes[peer]!.lease.list.join() === list.join()))
    const lease = consenting.reduce((acc, peer) => rules.withConsent(acc, peer, state.now, LEASE), state.nodes[id]!.lease)
    return withNode(state, id, { lease })
  }

  const request = (state: KeyModelState, id: string): KeyModelState => {
    const minted = state.minted ?? state.now
    const action = rules.decideKey(state.nodes[id]!.key, { mintedAt: minted, now: state.now }, ownership(state, id), TIMES)
    return action === 'run' ? { ...withNode(state, id, { key: 'answered' }), minted, runs: state.runs + 1 } : { ...state, minted }
  }

  const next = (state: KeyModelState, event: KeyEvent): KeyModelState => {
    switch (event.type) {
      case 'tick': return { ...state, now: state.now + 1 }
      case 'list': {
        const node = state.nodes[event.node]!
        return withNode(state, event.node, { list: event.to, lease: withList(node.lease, scenario.lists[event.to]!, state.now, LEASE) })
      }
      case 'round': return round(state, event.node)
      case 'request': return request(state, event.node)
    }
  }

  return {
    name: `key: ${scenario.name}`,
    initial: { now: 0, minted: undefined, runs: 0, nodes },
    events,
    next,
    violation: state => state.runs > 1 ? `ran ${state.runs} times` : undefined
  }
}

/** Rules with one guard removed, and the scenario in which the checker must find a violation. */
export interface KeyMutant {
  readonly name: string
  readonly scenario: string
  readonly rules: KeyRules
}

const consentsNeverExpire: typeof keyOwnership = (lease, key, now, owner, times) => {
  const actual = keyOwnership(lease, key, now, owner, times)
  return actual.isOwner ? actual : keyOwnership(lease, key, lastConsent(lease), owner, times)
}

const withoutSettling: typeof keyOwnership = (lease, key, now, owner, times) => {
  const ownsWithRecentConsents = owner(key, lease.list) === lease.self && allConsentsRecent(lease, now)
  return ownsWithRecentConsents ? { isOwner: true, exclusiveSince: latestFirstConsent(lease) } : keyOwnership(lease, key, now, owner, times)
}

const alwaysContinuation: typeof keyOwnership = (lease, key, now, owner, times) => {
  const actual = keyOwnership(lease, key, now, owner, times)
  return actual.isOwner && lease.previous !== undefined ? { isOwner: true, exclusiveSince: lease.previous.exclusiveSince } : actual
}

/** Mutants that the exploration must detect. */
export const KEY_MUTANTS: readonly KeyMutant[] = [
  {
    name: 'unseen keys run without a check of their creation time',
    scenario: 'owner dropped',
    rules: { ...KEY_RULES, decideKey: (state, req, ownership, times) => state === 'unseen' && ownership.isOwner ? 'run' : decideKey(state, req, ownership, times) }
  },
  { name: 'consents never expire', scenario: 'owner replaced by another', rules: { ...KEY_RULES, keyOwnership: consentsNeverExpire } },
  { name: 'peers consent to any list', scenario: 'owner dropped', rules: { ...KEY_RULES, consentsToOtherLists: true } },
  { name: 'no wait for earlier consents to expire', scenario: 'owner dropped', rules: { ...KEY_RULES, keyOwnership: withoutSettling } },
  {
    name: 'every list change counts as a continuation',
    scenario: 'owner dropped, then listed again with another',
    rules: { ...KEY_RULES, keyOwnership: alwaysContinuation }
  },
  {
    name: 'a key with a stored answer runs again',
    scenario: 'owner dropped',
    rules: { ...KEY_RULES, decideKey: (_state, req, ownership, times) => isFirstOwner(req, ownership, times) ? 'run' : 'unknown' }
  }
]

function lastConsent (lease: KeyLease): number {
  return Object.values(lease.consents).reduce((latest, c) => Math.max(latest, c.last), lease.listAt)
}

function latestFirstConsent (lease: KeyLease): number {
  return Object.values(lease.consents).reduce((latest, c) => Math.max(latest, c.first), lease.listAt)
}

function allConsentsRecent (lease: KeyLease, now: number): boolean {
  return lease.list.every(id => id === lease.self || now - (lease.consents[id]?.last ?? -Infinity) < LEASE.leaseMs)
}
