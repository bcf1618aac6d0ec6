/**
 * Specification of the configuration join: three nodes, a platform that publishes a refused file between good
 * ones and shows any earlier revision again, lost gossip, restarts with nothing. `supersedes` is the router's.
 */
import { supersedes } from '../common/config/ConfigJoin.js'
import type { Specification } from './Explore.js'

const NODES = ['a', 'b', 'c'] as const
const REVISIONS = 4
const REFUSED_REVISION = 3

interface NodeState {
  /** Revision in force; 0 while starting. */
  readonly revision: number
  /** Highest revision that this process had in force. */
  readonly highest: number
  /** It asked its peers since it started. */
  readonly asked: boolean
}

export interface ConfigWorld {
  readonly published: number
  readonly nodes: Readonly<Record<string, NodeState>>
  /** A node came into force below what a peer that it asked had. */
  readonly startedLow: boolean
  readonly restarts: number
}

export type ConfigEvent =
  | { readonly type: 'publish' }
  | { readonly type: 'read', readonly node: string, readonly revision: number }
  | { readonly type: 'gossip', readonly from: string, readonly to: string }
  | { readonly type: 'ask', readonly node: string }
  | { readonly type: 'restart', readonly node: string }

/** Rules under test; a mutant replaces one. */
export interface ConfigRules {
  readonly supersedes: (a: number, b: number) => boolean
  readonly valid: (revision: number) => boolean
  /** Whether a starting node asks its peers before it takes the platform's file. */
  readonly asksFirst: boolean
}

export const CONFIG_RULES: ConfigRules = {
  supersedes: (a, b) => supersedes({ revision: a, digest: '' }, { revision: b, digest: '' }),
  valid: revision => revision !== REFUSED_REVISION,
  asksFirst: true
}

export function configSpec (rules: ConfigRules = CONFIG_RULES): Specification<ConfigWorld, ConfigEvent> {
  const offer = (node: NodeState, revision: number): NodeState => {
    if (revision === 0 || !rules.valid(revision) || !rules.supersedes(revision, node.revision)) return node
    return { ...node, revision, highest: Math.max(node.highest, revision) }
  }
  const set = (world: ConfigWorld, id: string, node: NodeState): ConfigWorld => ({ ...world, nodes: { ...world.nodes, [id]: node } })
  const ask = (world: ConfigWorld, id: string): ConfigWorld => {
    const best = NODES.filter(n => n !== id).reduce((top, n) => Math.max(top, world.nodes[n]!.revision), 0)
    const node = offer({ ...world.nodes[id]!, asked: true }, best)
    return { ...set(world, id, node), startedLow: world.startedLow || node.revision < best }
  }
  const read = (world: ConfigWorld, id: string, revision: number): ConfigWorld => {
    const asked = rules.asksFirst && !world.nodes[id]!.asked ? ask(world, id) : world
    const before = asked.nodes[id]!
    const node = offer(before, revision)
    const low = !before.asked && NODES.some(n => n !== id && asked.nodes[n]!.revision > node.revision)
    return { ...set(asked, id, { ...node, asked: true }), startedLow: asked.startedLow || low }
  }
  return {
    name: 'configuration join',
    initial: { published: 1, startedLow: false, restarts: 0, nodes: Object.fromEntries(NODES.map(n => [n, { revision: 0, highest: 0, asked: false }])) },
    events: world => [
      ...(world.published < REVISIONS ? [{ type: 'publish' as const }] : []),
      ...NODES.flatMap(node => Array.from({ length: world.published }, (_, i) => ({ type: 'read' as const, node, revision: i + 1 }))),
      ...NODES.flatMap(from => NODES.filter(to => to !== from).map(to => ({ type: 'gossip' as const, from, to }))),
      ...NODES.filter(node => !world.nodes[node]!.asked).map(node => ({ type: 'ask' as const, node })),
      ...(world.restarts < 3 ? NODES.map(node => ({ type: 'restart' as const, node })) : [])
    ],
    next: (world, event) => {
      switch (event.type) {
        case 'publish': return { ...world, published: world.published + 1 }
        case 'read': return read(world, event.node, event.revision)
        case 'gossip': return set(world, event.to, offer(world.nodes[event.to]!, world.nodes[event.from]!.revision))
        case 'ask': return ask(world, event.node)
        case 'restart': return { ...set(world, event.node, { revision: 0, highest: 0, asked: false }), restarts: world.restarts + 1 }
      }
    },
    violation: world => {
      for (const [id, node] of Object.entries(world.nodes)) {
        if (node.revision < node.highest) return `${id} went back from ${node.highest} to ${node.revision}`
        if (node.revision === REFUSED_REVISION) return `${id} has a refused file in force`
      }
      return world.startedLow ? 'a node started below a peer' : undefined
    }
  }
}

export const CONFIG_MUTANTS: ReadonlyArray<{ readonly name: string, readonly rules: ConfigRules }> = [
  { name: 'the last file read wins', rules: { ...CONFIG_RULES, supersedes: (a, b) => a !== b } },
  { name: 'files are not checked', rules: { ...CONFIG_RULES, valid: () => true } },
  { name: 'a starting node does not ask its peers', rules: { ...CONFIG_RULES, asksFirst: false } }
]
