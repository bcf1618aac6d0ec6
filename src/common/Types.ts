/** Types shared by all modules: outcomes, members and request metadata. */

/** Outcome that a caller may rely on: the request ran, certainly did not run, or may have run. */
export type Outcome = 'answered' | 'not-run' | 'outcome-unknown'

/** Liveness of an instance as seen by another. */
export type MemberState = 'alive' | 'suspect' | 'dead' | 'leaving'

/** Where an instance listens for its peers. */
export interface InstanceAddress {
  readonly id: string
  readonly dataCentre: string
  readonly address: string
  readonly peerPort: number
}

/** One row of the platform's list of instances. */
export interface ListedInstance extends InstanceAddress {
  readonly state: 'live' | 'leaving'
}

/** One row of the platform's list of endpoints. */
export interface ListedEndpoint {
  readonly id: string
  readonly state: 'live' | 'leaving'
}

/** Snapshot of the platform's list; possibly stale, but ordered by its revision. */
export interface PlatformList {
  readonly revision: number
  readonly instances: readonly ListedInstance[]
  readonly endpoints: readonly ListedEndpoint[]
}
