/** State of one gateway as it reports it to operators, as JSON. Has no secrets: neither keys nor names of client accounts. */
import type { ListVersion } from './generated/PeerDatagram.js'
import type { EvacuationAge } from './routing/EvacuationSet.js'

/** Path on a gateway's metrics address. */
export const GATEWAY_STATUS_PATH = '/status'

/** Endpoints of one service. */
export interface ServiceEndpoints {
  readonly service: string
  /** Those that the gateway knows, leaving ones included; 0 for a configured service without any. */
  readonly endpoints: number
  /** Those that leave, by the list or by their own word. */
  readonly leaving: number
}

/** An endpoint that takes few requests as it warms up. */
export interface ColdEndpointStatus {
  readonly endpoint: string
  readonly service: string
  /** Time until it is warm. */
  readonly leftMs: number
  /** Requests a second that it takes from all gateways together. */
  readonly requestsPerSec: number
}

/** A limit that an endpoint named. */
export interface NamedLimitStatus {
  readonly endpoint: string
  readonly service: string
  /** Requests a second that it takes from all gateways together. */
  readonly requestsPerSec: number
  /** Time since the answer that named it. */
  readonly ageMs: number
}

/** State of a gateway. Lists are sorted by name. */
export interface GatewayStatus {
  readonly id: string
  readonly dataCentre: string
  readonly ready: boolean
  /** The configuration in force; revision 0 before the first. The age counts from its last confirmation; null before the first. */
  readonly config: { readonly revision: number, readonly ageMs: number | null }
  /** The list of endpoints. The age counts from the last read that is known; null before the first. */
  readonly list: { readonly version: ListVersion, readonly ageMs: number | null }
  readonly services: readonly ServiceEndpoints[]
  /** Absent where data centres are never evacuated. While they aren't known, every data centre counts as evacuated. */
  readonly evacuations?: { readonly known: boolean, readonly inForce: readonly EvacuationAge[] }
  readonly coldEndpoints: readonly ColdEndpointStatus[]
  readonly namedLimits: readonly NamedLimitStatus[]
  /** Number of gateways among which shared limits are divided, and the addresses of the live ones, this one included. */
  readonly gateways: { readonly counted: number, readonly live: readonly string[] }
}
