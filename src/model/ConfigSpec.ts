/**
 * Specification of the configuration join, by which instances agree on the newest valid revision. The platform
 * publishes an invalid file between valid ones and may return any earlier revision again; gossip gets lost, and three
 * instances restart without state. `supersedes` is the function that the router runs.
 */
import { supersedes } from '../common/config/ConfigJoin.js'
import type { Specification } from './Explore.js'

const NODES = ['a', 'b', 'c'] as const
const REVISIONS = 4
const REFUSED_REVISION = 3

interface NodeState {
  /** Revision in force; 0 until the first one is applied. */
  readonly revision: number
  /** Highest revision that was in force since the instance started. */
  readonly highest: number
  /** Whether the instance has queried its peers since it started. */
  readonly queriedPeers: boolean
}

/** State of the model. */
export interface ConfigModelState {
  readonly published: number
  readonly nodes: Readonly<Record<string, NodeState>>
  /** Whether an instance started with a revision below that of a peer. */
  readonly startedBelowPeer: boolean
  readonly restarts: number
}

/** Events of the model. */
export type ConfigEvent =
  | { readonly type: 'publish' }
  | { readonly type: 'read', readonly node: string, readonly revision: number }
  | { readonly type: 'gossip', readonly from: string, readonly to: string }
  | { readonly type: 'ask', readonly node: string }
  | { readonly type: 'restart', readonly node: string }

/** Rules under test; each mutant replaces one of them. */
export interface ConfigRules {
  readonly supersedes: (a: number, b: number) => boolean
  readonly valid: (revision: number) => boolean
  /** Whether a starting instance queries its peers before it applies the platform's file. */
  readonly queriesPeersFirst: boolean
}

/** The rules that the router follows. */
export const CONFIG_RULES: ConfigRules = {
  supersedes: (a, b) => supersedes({ revision: a, digest: '' }, { revision: b, digest: '' }),
  valid: revision => revision !== REFUSED_REVISION,
  queriesPeersFirst: true
}

/** Builds the specification for the given rules. */
export function configSpec (rules: ConfigRules = CONFIG_RULES): Specification<ConfigModelState, ConfigEvent> {
  const applyRevision = (node: NodeState, revision: number): NodeState => {
    if (revision === 0 || !rules.valid(revision) || !rules.supersedes(revision, node.revision)) return node
    return { ...node, revision, highest: Math.max(node.highest, revision) }
  }
  const withNode = (state: ConfigModelState, id: string, node: NodeState): ConfigModelState => ({ ...state, nodes: { ...state.nodes, [id]: node } })
  const queryPeers = (state: ConfigModelState, id: string): ConfigModelState => {
    const highestAtPeers = NODES.filter(n => n !== id).reduce((highest, n) => Math.max(highest, state.nodes[n]!.revision), 0)
    const node = applyRevision({ ...state.nodes[id]!, queriedPeers: true }, highestAtPeers)
    return { ...withNode(state, id, node), startedBelowPeer: state.startedBelowPeer || node.revision < highestAtPeers }
  }
  const read = (state: ConfigModelState, id: string, revision: number): ConfigModelState => {
    const queried = rules.queriesPeersFirst && !state.nodes[id]!.queriedPeers ? queryPeers(state, id) : state
    const before = queried.nodes[id]!
    const node = applyRevision(before, revision)
    const belowPeer = !before.queriedPeers && NODES.some(n => n !== id && queried.nodes[n]!.revision > node.revision)
    return { ...withNode(queried, id, { ...node, queriedPeers: true }), startedBelowPeer: queried.startedBelowPeer || belowPeer }
  }
  return {
    name: 'configuration join',
    initial: {
      published: 1,
      startedBelowPeer: false,
      restarts: 0,
      nodes: Object.fromEntries(NODES.map(n => [n, { revision: 0, highest: 0, queriedPeers: false }]))
    },
    events: state => [
      ...(state.published < REVISIONS ? [{ type: 'publish' as const }] : []),
      ...NODES.flatMap(node => Array.from({ length: state.published }, (_, i) => ({ type: 'read' as const, node, revision: i + 1 }))),
      ...NODES.flatMap(from => NODES.filter(to => to !== from).map(to => ({ type: 'gossip' as const, from, to }))),
      ...NODES.filter(node => !state.nodes[node]!.queriedPeers).map(node => ({ type: 'ask' as const, node })),
      ...(state.restarts < 3 ? NODES.map(node => ({ type: 'restart' as const, node })) : [])
    ],
    next: (state, event) => {
      switch (event.type) {
        case 'publish': return { ...state, published: state.published + 1 }
        case 'read': return read(state, event.node, event.revision)
        case 'gossip': return withNode(state, event.to, applyRevision(state.nodes[event.to]!, state.nodes[event.from]!.revision))
        case 'ask': return queryPeers(state, event.node)
        case 'restart': return { ...withNode(state, event.node, { revision: 0, highest: 0, queriedPeers: false }), restarts: state.restarts + 1 }
      }
    },
    violation: state => {
      for (const [id, node] of Object.entries(state.nodes)) {
        if (node.revision < node.highest) return `${id} reverted from revision ${node.highest} to ${node.revision}`
        if (node.revision === REFUSED_REVISION) return `${id} applied an invalid file`
      }
      return state.startedBelowPeer ? 'an instance started with a revision below that of a peer' : undefined
    }
  }
}

/** Rules with one fault each, for which the exploration must find a violation. */
export const CONFIG_MUTANTS: ReadonlyArray<{ readonly name: string, readonly rules: ConfigRules }> = [
  { name: 'the file read last is applied', rules: { ...CONFIG_RULES, supersedes: (a, b) => a !== b } },
  { name: 'files are not validated', rules: { ...CONFIG_RULES, valid: () => true } },
  { name: 'a starting instance does not query its peers', rules: { ...CONFIG_RULES, queriesPeersFirst: false } }
]
