/** Interface that an adapter to a platform implements for the gateway, and the messages that it translates. */
import type { Result } from 'neverthrow'
import type { RouteError } from '../common/Errors.js'
import type { Endpoint, Prompt, ReportedLoad } from '../common/routing/Types.js'

/** Headers as a flat list of alternating names and values, in the order received. */
export type HeaderList = readonly string[]

/** Head of a request as received from a caller. */
export interface RequestHead {
  readonly method: string
  /** Path and query, unchanged. */
  readonly target: string
  readonly headers: HeaderList
}

/** Fields of a request's head that routing uses. */
export interface RoutedRequest {
  /** Id that the caller gave this attempt; empty when it gave none. */
  readonly id: string
  readonly method: string
  readonly target: string
  readonly host: string
  readonly path: string
  readonly apiKey: string | undefined
  /** Time that the caller waits for the response, counted from the request's arrival. */
  readonly timeoutMs: number | undefined
  /** Present when the request is for a model engine. */
  readonly prompt: Prompt | undefined
  /** Headers that are forwarded to the endpoint unchanged. */
  readonly passHeaders: HeaderList
}

/** A request with the values that the gateway adds for the endpoint. */
export interface EndpointCall {
  readonly request: RoutedRequest
  readonly endpointId: string
  readonly account: string | undefined
  /** 0 is the highest; undefined leaves the endpoint's default. */
  readonly priority: number | undefined
  readonly timeLeftMs: number | undefined
  /** Id of the last event that the caller received, when a stream is resumed at another endpoint. */
  readonly lastEventId: string | undefined
  /** Engine from which the endpoint may copy prompt parts that it hasn't cached, as that is faster than reading them. */
  readonly promptSource: Endpoint | undefined
}

/** Decoded head of an endpoint's response. */
export interface ResponseHead {
  readonly status: number
  /** False when the response belongs to another request or isn't an endpoint's own complete response. */
  readonly trusted: boolean
  /** True when the endpoint reports that it did not run the request. */
  readonly notRun: boolean
  /** True when another endpoint answered at the address: the one that was meant is gone. */
  readonly misdirected: boolean
  /** True when the body is a stream of server-sent events, whatever the route says. */
  readonly isEventStream: boolean
  readonly load: ReportedLoad | undefined
  /** Requests a second that the endpoint takes from all instances together; undefined when it names no limit. */
  readonly requestsPerSec: number | undefined
  /** True when the endpoint says that it is leaving. */
  readonly leaving: boolean
  /** Time for which the endpoint, which refused the request, wants no further one from this instance; undefined when it names none. */
  readonly pauseMs: number | undefined
  /** Headers to forward to the caller. */
  readonly passHeaders: HeaderList
}

/** Translates between the platform's headers and the gateway's messages. */
export interface IRequestCodec {
  decodeRequest (head: RequestHead): Result<RoutedRequest, RouteError>
  encodeRequest (call: EndpointCall): HeaderList
  /** @param isReused true when the connection carried an earlier request, so that bytes on it may belong to that one. */
  decodeResponse (request: RoutedRequest, status: number, headers: HeaderList, isReused: boolean): ResponseHead
  /** Headers of an error response that the gateway itself sends. */
  errorHeaders (request: RoutedRequest | undefined, retryAfterMs: number | undefined): HeaderList
}
