/** Ports of the gateway: what an adapter to a platform implements, and the messages that pass through them. */
import type { Result } from 'neverthrow'
import type { RouteError } from '../common/Errors.js'
import type { Endpoint, Prompt, ReportedLoad } from '../common/routing/Types.js'

/** Headers as a flat list of names and values in the order they came. */
export type HeaderList = readonly string[]

/** The head of a request as it came from a caller. */
export interface RequestHead {
  readonly method: string
  /** Path and query, unchanged. */
  readonly target: string
  readonly headers: HeaderList
}

/** What routing reads from a request's head. */
export interface RoutedRequest {
  /** Name of this attempt of the caller; empty when it gave none. */
  readonly id: string
  readonly method: string
  readonly target: string
  readonly host: string
  readonly path: string
  readonly apiKey: string | undefined
  /** How long the caller waits, counted from now. */
  readonly timeoutMs: number | undefined
  /** Present when the request is for a model engine. */
  readonly prompt: Prompt | undefined
  /** Headers that an endpoint may see as the caller sent them. */
  readonly passHeaders: HeaderList
}

/** What this system adds for the endpoint. */
export interface EndpointCall {
  readonly request: RoutedRequest
  readonly endpointId: string
  readonly account: string | undefined
  /** 0 is first; undefined leaves the endpoint's default. */
  readonly priority: number | undefined
  readonly timeLeftMs: number | undefined
  /** Last event that the caller has, when a stream goes on at another endpoint. */
  readonly lastEventId: string | undefined
  /** Engine from which the endpoint may copy what it hasn't read of the prompt, as that is faster than reading it. */
  readonly promptSource: Endpoint | undefined
}

/** What an endpoint's answer says of itself. */
export interface ResponseHead {
  readonly status: number
  /** False when the answer belongs to another request or isn't an endpoint's own whole answer. */
  readonly trusted: boolean
  /** True when the endpoint states that it did not run the request. */
  readonly notRun: boolean
  readonly load: ReportedLoad | undefined
  /** Headers to pass on to the caller. */
  readonly passHeaders: HeaderList
}

/** Translates between the wire and the gateway's messages. */
export interface IRequestCodec {
  decodeRequest (head: RequestHead): Result<RoutedRequest, RouteError>
  encodeRequest (call: EndpointCall): HeaderList
  decodeResponse (request: RoutedRequest, status: number, headers: HeaderList): ResponseHead
  /** Headers of an answer that this system makes itself. */
  errorHeaders (request: RoutedRequest | undefined, retryAfterMs: number | undefined): HeaderList
}
