/**
 * Specification of at-most-once execution for tickets: two instances crash and restart under the same name, and a
 * caller sends the ticket through any entry any number of times. Only the incarnation that issued a ticket may run it.
 */
import { decideKey, type KeyState } from '../common/idempotency/KeyDecision.js'
import type { Specification } from './Explore.js'

const TIMES = { skewMs: 0, retentionMs: 1_000 }

interface NodeState {
  readonly incarnation: number
  readonly key: KeyState
}

/** State of the model. */
export interface TicketModelState {
  readonly issuedBy: { readonly node: string, readonly incarnation: number } | undefined
  readonly runs: number
  readonly nodes: Readonly<Record<string, NodeState>>
}

/** Events of the model. */
export type TicketEvent =
  | { readonly type: 'issue', readonly node: string }
  | { readonly type: 'request' }
  | { readonly type: 'crash', readonly node: string }

/** Rules under test; each mutant replaces one of them. */
export interface TicketRules {
  readonly issuedHere: (ticket: { readonly node: string, readonly incarnation: number }, node: string, incarnation: number) => boolean
  /** Whether the key's state is recorded before the call is sent. */
  readonly recordsBeforeCall: boolean
}

/** The rules that the router follows. */
export const TICKET_RULES: TicketRules = {
  issuedHere: (ticket, node, incarnation) => ticket.node === node && ticket.incarnation === incarnation,
  recordsBeforeCall: true
}

/** Builds the specification for the given rules. */
export function ticketSpec (rules: TicketRules = TICKET_RULES): Specification<TicketModelState, TicketEvent> {
  const initialNode = (incarnation: number): NodeState => ({ incarnation, key: 'unseen' })
  const request = (state: TicketModelState): TicketModelState => {
    const ticket = state.issuedBy!
    const node = state.nodes[ticket.node]!
    const isOwner = rules.issuedHere(ticket, ticket.node, node.incarnation)
    const ownership = { isOwner, exclusiveSince: -Infinity }
    const action = node.key === 'unseen' ? (isOwner ? 'run' : 'unknown') : decideKey(node.key, { mintedAt: undefined, now: 0 }, ownership, TIMES)
    if (action !== 'run') return state
    const key: KeyState = rules.recordsBeforeCall ? 'answered' : 'unseen'
    return { ...state, runs: state.runs + 1, nodes: { ...state.nodes, [ticket.node]: { ...node, key } } }
  }
  return {
    name: 'ticket',
    initial: { issuedBy: undefined, runs: 0, nodes: { a: initialNode(0), b: initialNode(0) } },
    events: state => [
      ...(state.issuedBy === undefined ? Object.keys(state.nodes).map(node => ({ type: 'issue' as const, node })) : [{ type: 'request' as const }]),
      ...Object.entries(state.nodes).filter(([, n]) => n.incarnation < 3).map(([node]) => ({ type: 'crash' as const, node }))
    ],
    next: (state, event) => {
      if (event.type === 'issue') return { ...state, issuedBy: { node: event.node, incarnation: state.nodes[event.node]!.incarnation } }
      if (event.type === 'crash') return { ...state, nodes: { ...state.nodes, [event.node]: initialNode(state.nodes[event.node]!.incarnation + 1) } }
      return request(state)
    },
    violation: state => state.runs > 1 ? `ran ${state.runs} times` : undefined
  }
}

/** Rules with one fault each, for which the exploration must find a violation. */
export const TICKET_MUTANTS: ReadonlyArray<{ readonly name: string, readonly rules: TicketRules }> = [
  { name: 'a ticket names the instance but not its incarnation', rules: { ...TICKET_RULES, issuedHere: (ticket, node) => ticket.node === node } },
  { name: 'the state of the key is recorded after the call', rules: { ...TICKET_RULES, recordsBeforeCall: false } }
]
