/** Explores a specification exhaustively with `getAdjacencyMap` and checks its invariant in every state. */
import { getAdjacencyMap } from '@xstate/graph'
import { fromTransition, type EventObject } from 'xstate'

const MAX_STATES = 3_000_000

/** A specification: a pure transition function, the events that may occur in each state, and an invariant. */
export interface Specification<S, E extends EventObject> {
  readonly name: string
  readonly initial: S
  events (state: S): readonly E[]
  next (state: S, event: E): S
  /** Describes how the state violates the invariant; undefined if it does not. */
  violation (state: S): string | undefined
}

/** Result of an exploration. */
export interface Exploration {
  readonly name: string
  readonly states: number
  readonly violation: string | undefined
}

class InvariantViolation extends Error {}

/** Explores all reachable states; stops at the first violation. */
export function explore<S, E extends EventObject> (spec: Specification<S, E>): Exploration {
  const seen = new Set<string>()
  const logic = fromTransition((state: S, event: E) => spec.next(state, event), spec.initial)
  try {
    getAdjacencyMap(logic, {
      events: snapshot => [...spec.events(snapshot.context)],
      serializeState: snapshot => {
        const key = JSON.stringify(snapshot.context)
        if (seen.has(key)) return key
        seen.add(key)
        const violation = spec.violation(snapshot.context)
        if (violation !== undefined) throw new InvariantViolation(violation)
        return key
      },
      limit: MAX_STATES
    })
  } catch (e) {
    if (e instanceof InvariantViolation) return { name: spec.name, states: seen.size, violation: e.message }
    throw e
  }
  return { name: spec.name, states: seen.size, violation: undefined }
}
