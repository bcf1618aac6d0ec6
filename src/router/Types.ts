/**
 * Message types and interfaces of the request path, within a router and between routers. The entry instance is the
 * router that accepted the caller's request; the home node of an endpoint is the router that dispatches to it.
 */
import type { ChatPlacement } from '../common/placement/ChatKey.js'
import type { PlacementReason } from '../common/placement/PlacementPolicy.js'
import type { RouteError } from '../common/Errors.js'

/** A chat that the entry forwards to the home node of an engine; JSON on the wire. */
export interface ChatCall {
  readonly requestId: string
  readonly model: string
  /** Engine that the entry selected. */
  readonly endpoint: string
  readonly placement: ChatPlacement
  /** True for the home node of the top-ranked engine, which has the chat's prefix in its directory and may redirect to another engine. */
  readonly mayRedirect: boolean
  /** True on the last attempt: admits the chat above the load bound. */
  readonly force: boolean
  /** Engines that have declined or failed. */
  readonly excluded: readonly string[]
  readonly account: string
  readonly priority: number
  readonly share: number
  /** Time left for the whole request in ms. */
  readonly timeoutMs: number
  /** Number of response events that the caller has received. */
  readonly from: number
  readonly traceparent?: string
}

/** A request to resume a response that an engine has buffered; JSON on the wire. */
export interface ResumeCall {
  readonly requestId: string
  readonly endpoint: string
  readonly from: number
  readonly timeoutMs: number
}

/** Reply of a home node instead of a stream; JSON on the wire. */
export type HomeReply =
  | { readonly kind: 'redirect', readonly endpoint: string, readonly reason: PlacementReason }
  | { readonly kind: 'declined', readonly endpoint: string, readonly load: number }
  | { readonly kind: 'error', readonly error: RouteError }

/** Receiver of a chat's response. Nothing is called after `onReply`, `onError`, or `onEvents` with `done`. */
export interface IChatSink {
  /** The engine accepted the request. */
  onAccepted (endpoint: string): void
  /** Whole events; `done` marks the end of the response. */
  onEvents (bytes: Uint8Array, events: number, done: boolean): void
  /** The home node replied instead of streaming. */
  onReply (reply: HomeReply): void
  /** The response ended early. `sent` is false when the request can't have reached the engine. */
  onError (error: RouteError, sent: boolean): void
}

/** Handle of a running chat. */
export interface IChatRun {
  /** Stops reading; the engine keeps generating for a while, so that the caller can resume. */
  stop (): void
  pause (): void
  resume (): void
}

/** The home node of an engine, which dispatches all work to it: in this process or on a peer. */
export interface IHomeNode {
  /** Places a chat on an engine and streams the response. */
  chat (call: ChatCall, body: Uint8Array, sink: IChatSink): IChatRun
  /** Streams the rest of a response from the engine that has buffered it. */
  resume (call: ResumeCall, sink: IChatSink): IChatRun
  /** Cancels the request on the engine. */
  cancel (requestId: string, endpoint: string): void
}

/** A call to a plain service that the entry forwards to the executing instance; JSON on the wire. */
export interface ServiceCallMessage {
  readonly requestId: string
  readonly service: string
  readonly method: 'GET' | 'POST' | 'PUT' | 'PATCH' | 'DELETE'
  /** Path and query, relative to the service. */
  readonly path: string
  readonly headers: Readonly<Record<string, string>>
  readonly neverRepeat: boolean
  /** Idempotency key; absent when the caller sent none. */
  readonly key?: string
  readonly account: string
  readonly timeoutMs: number
  readonly traceparent?: string
}

/** A service's complete response. */
export interface ServiceResponse {
  readonly status: number
  readonly headers: Readonly<Record<string, string>>
  readonly body: Uint8Array
}
