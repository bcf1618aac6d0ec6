/**
 * Decides whether an answer that ended with its connection, without a length or a last chunk, is whole. A process that crashes ends its
 * connections as one that has finished does. Only a connection that the same process holds open beyond the end shows that it lived on.
 */

/**
 * What a connection that was opened to the endpoint at the answer's head tells after the end: `held` when it is still open,
 * `ended` when the endpoint's side closed it, `unknown` when it never came about.
 */
export type Liveness = 'held' | 'ended' | 'unknown'

/** Evidence of an unmarked end. */
export interface UnmarkedEnd {
  /** True on a route of streams, whose answers must not be cut short unseen. */
  readonly streaming: boolean
  /** True when the endpoint is listed and not leaving: its process listens as long as it lives. */
  readonly usable: boolean
  /** True when the endpoint's port refused a connection after the end. */
  readonly refused: boolean
  readonly liveness: Liveness
}

/**
 * True when the answer counts as whole. Without evidence that the endpoint's process lives on, a stream counts as broken off. A call
 * counts as whole then: an endpoint that is leaving may refuse connections while it ends its answers.
 */
export function isWholeAt ({ streaming, usable, refused, liveness }: UnmarkedEnd): boolean {
  if (usable && refused) return false
  return liveness === 'unknown' ? !streaming : liveness === 'held'
}
