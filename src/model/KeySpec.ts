/**
 * Specification of at-most-once for a caller's own key: instances with lagging lists, lost consents and a
 * caller that repeats the key anywhere. `KeyLease` and `KeyDecision` are the functions that the router runs;
 * here time goes in whole units.
 *
 * What needs no event of its own: a crashed, cut off or sleeping instance is one that takes no further events.
 * A run counts at its decision, so a process that sleeps between its check and its first byte for any time,
 * and then sends, is covered. The key is minted at its first request: an earlier mint time only makes
 * `canVouch` stricter.
 */
import { isFirstOwner, decideKey, type KeyAction, type KeyedRequest, type KeyState, type KeyTimes } from '../common/once/KeyDecision.js'
import { initialLease, keyOwnership, withConsent, withList, type KeyLease, type KeyOwnership } from '../common/once/KeyLease.js'
import type { Specification } from './Explore.js'

const LEASE = { leaseMs: 2 }
const TIMES: KeyTimes = { skewMs: 0, retentionMs: 1_000 }
const KEY = 'k'

/** Rules under test; a mutant replaces one. */
export interface KeyRules {
  readonly keyRight: typeof keyOwnership
  readonly decideKey: (state: KeyState, req: KeyedRequest, right: KeyOwnership, times: KeyTimes) => KeyAction
  readonly withConsent: typeof withConsent
  /** Whether a peer consents to a list that is not its own. */
  readonly consentsToOtherLists: boolean
}

export const KEY_RULES: KeyRules = { keyRight: keyOwnership, decideKey, withConsent, consentsToOtherLists: false }

interface NodeState {
  /** Index of the list that it acts upon. */
  readonly list: number
  readonly lease: KeyLease
  readonly key: KeyState
}

export interface KeyWorld {
  readonly now: number
  readonly minted: number | undefined
  readonly runs: number
  readonly nodes: Readonly<Record<string, NodeState>>
}

export type KeyEvent =
  | { readonly type: 'tick' }
  | { readonly type: 'list', readonly node: string, readonly to: number }
  | { readonly type: 'round', readonly node: string }
  | { readonly type: 'request', readonly node: string }

/** One course of the platform's list to explore. */
export interface KeyCourse {
  readonly name: string
  readonly lists: ReadonlyArray<readonly string[]>
  readonly ranking: readonly string[]
  readonly until: number
  /** Lists that an instance misses, as its reader lags. */
  readonly missed?: Readonly<Record<string, readonly number[]>>
}

/** Lists always share a running instance, as GUARANTEES.md states. */
export const KEY_COURSES: readonly KeyCourse[] = [
  { name: 'owner dropped', lists: [['a', 'b'], ['b']], ranking: ['a', 'b'], until: 7 },
  { name: 'owner joins', lists: [['b'], ['a', 'b']], ranking: ['a', 'b'], until: 7 },
  { name: 'owner dropped and listed again', lists: [['a', 'b'], ['b'], ['a', 'b']], ranking: ['a', 'b'], until: 6 },
  { name: 'owner dropped, then listed again with another', lists: [['a', 'b'], ['b'], ['a', 'b', 'c']], ranking: ['a', 'b', 'c'], until: 5, missed: { a: [1] } },
  { name: 'owner replaced by another', lists: [['a', 'b'], ['b', 'c']], ranking: ['a', 'c', 'b'], until: 6 }
]

function ownerIn (course: KeyCourse): (key: string, list: readonly string[]) => string | undefined {
  return (_key, list) => course.ranking.find(id => list.includes(id))
}

function change (world: KeyWorld, id: string, node: Partial<NodeState>): KeyWorld {
  return { ...world, nodes: { ...world.nodes, [id]: { ...world.nodes[id]!, ...node } } }
}

/** The specification for one course under the given rules. */
export function keySpec (course: KeyCourse, rules: KeyRules = KEY_RULES): Specification<KeyWorld, KeyEvent> {
  const owner = ownerIn(course)
  const right = (world: KeyWorld, id: string): KeyOwnership => rules.keyRight(world.nodes[id]!.lease, KEY, world.now, owner, LEASE)
  const nodes: Record<string, NodeState> = {}
  for (const id of course.ranking) {
    const list = course.lists.findIndex(l => l.includes(id))
    nodes[id] = { list, lease: withList(initialLease(id), course.lists[list]!, 0, LEASE), key: 'unseen' }
  }

  const events = (world: KeyWorld): KeyEvent[] => {
    const out: KeyEvent[] = []
    if (world.now < course.until) out.push({ type: 'tick' })
    for (const [id, node] of Object.entries(world.nodes)) {
      for (let to = node.list + 1; to < course.lists.length; to++) {
        if (course.missed?.[id]?.includes(to) !== true) out.push({ type: 'list', node: id, to })
      }
      if (owner(KEY, node.lease.list) !== id) continue // others never act, so what they hear changes nothing
      if (node.lease.list.some(peer => peer !== id && node.lease.consents[peer]?.last !== world.now)) out.push({ type: 'round', node: id })
      out.push({ type: 'request', node: id })
    }
    return out
  }

  /** One round of pings: every peer that acts upon the same list consents. A lost round is one that does not come. */
  const round = (world: KeyWorld, id: string): KeyWorld => {
    const list = world.nodes[id]!.lease.list
    const agreeing = list.filter(peer => peer !== id && (rules.consentsToOtherLists || world.nodes[peer]!.lease.list.join() === list.join()))
    const lease = agreeing.reduce((held, peer) => rules.withConsent(held, peer, world.now, LEASE), world.nodes[id]!.lease)
    return change(world, id, { lease })
  }

  const request = (world: KeyWorld, id: string): KeyWorld => {
    const minted = world.minted ?? world.now
    const action = rules.decideKey(world.nodes[id]!.key, { mintedAt: minted, now: world.now }, right(world, id), TIMES)
    return action === 'run' ? { ...change(world, id, { key: 'answered' }), minted, runs: world.runs + 1 } : { ...world, minted }
  }

  const next = (world: KeyWorld, event: KeyEvent): KeyWorld => {
    switch (event.type) {
      case 'tick': return { ...world, now: world.now + 1 }
      case 'list': {
        const node = world.nodes[event.node]!
        return change(world, event.node, { list: event.to, lease: withList(node.lease, course.lists[event.to]!, world.now, LEASE) })
      }
      case 'round': return round(world, event.node)
      case 'request': return request(world, event.node)
    }
  }

  return {
    name: `key: ${course.name}`,
    initial: { now: 0, minted: undefined, runs: 0, nodes },
    events,
    next,
    violation: world => world.runs > 1 ? `ran ${world.runs} times` : undefined
  }
}

/** Rules with one guard taken out, and the course in which the checker must find a violation. */
export interface KeyMutant {
  readonly name: string
  readonly course: string
  readonly rules: KeyRules
}

const consentsNeverRunOut: typeof keyOwnership = (lease, key, now, owner, times) => {
  const real = keyOwnership(lease, key, now, owner, times)
  return real.isOwner ? real : keyOwnership(lease, key, lastConsent(lease), owner, times)
}

const noSettling: typeof keyOwnership = (lease, key, now, owner, times) => {
  const heard = owner(key, lease.list) === lease.self && allHeard(lease, now)
  return heard ? { isOwner: true, exclusiveSince: newestFirst(lease) } : keyOwnership(lease, key, now, owner, times)
}

const alwaysContinues: typeof keyOwnership = (lease, key, now, owner, times) => {
  const real = keyOwnership(lease, key, now, owner, times)
  return real.isOwner && lease.previous !== undefined ? { isOwner: true, exclusiveSince: lease.previous.exclusiveSince } : real
}

export const KEY_MUTANTS: readonly KeyMutant[] = [
  {
    name: 'unseen keys run without a check of their mint time',
    course: 'owner dropped',
    rules: { ...KEY_RULES, decideKey: (state, req, right, times) => state === 'unseen' && right.isOwner ? 'run' : decideKey(state, req, right, times) }
  },
  { name: 'consents never run out', course: 'owner replaced by another', rules: { ...KEY_RULES, keyRight: consentsNeverRunOut } },
  { name: 'peers consent to any list', course: 'owner dropped', rules: { ...KEY_RULES, consentsToOtherLists: true } },
  { name: 'no wait for earlier consents to run out', course: 'owner dropped', rules: { ...KEY_RULES, keyRight: noSettling } },
  {
    name: 'every list change counts as a continuation',
    course: 'owner dropped, then listed again with another',
    rules: { ...KEY_RULES, keyRight: alwaysContinues }
  },
  {
    name: 'a remembered answer is run again',
    course: 'owner dropped',
    rules: { ...KEY_RULES, decideKey: (_state, req, right, times) => isFirstOwner(req, right, times) ? 'run' : 'unknown' }
  }
]

function lastConsent (lease: KeyLease): number {
  return Object.values(lease.consents).reduce((latest, c) => Math.max(latest, c.last), lease.listAt)
}

function newestFirst (lease: KeyLease): number {
  return Object.values(lease.consents).reduce((latest, c) => Math.max(latest, c.first), lease.listAt)
}

function allHeard (lease: KeyLease, now: number): boolean {
  return lease.list.every(id => id === lease.self || now - (lease.consents[id]?.last ?? -Infinity) < LEASE.leaseMs)
}
