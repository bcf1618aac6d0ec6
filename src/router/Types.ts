/** Messages between the tasks of a router and between routers on the request path. */
import type { ChatPlacement } from '../common/placement/ChatKey.js'
import type { PlacementReason } from '../common/placement/PlacementPolicy.js'
import type { RouteError } from '../common/Errors.js'

/** A chat on its way from the entry to the home of an engine. */
export interface ChatCall {
  readonly requestId: string
  readonly model: string
  /** Engine that the entry asks for. */
  readonly endpoint: string
  readonly placement: ChatPlacement
  /** True for the first home asked, which knows where the chat's prefix is and may name another engine. */
  readonly mayRedirect: boolean
  /** True on the last attempt: the engine takes the chat above the load bound. */
  readonly force: boolean
  /** Engines that declined already. */
  readonly excluded: readonly string[]
  readonly account: string
  readonly priority: number
  readonly share: number
  /** Time left for the whole request. */
  readonly timeoutMs: number
  /** Events of the answer that the caller has. */
  readonly from: number
  readonly traceparent?: string
}

/** A request to read on in an answer that an engine keeps. */
export interface ResumeCall {
  readonly requestId: string
  readonly endpoint: string
  readonly from: number
  readonly timeoutMs: number
}

/** What the home answers in place of a stream. */
export type HomeReply =
  | { readonly kind: 'redirect', readonly endpoint: string, readonly reason: PlacementReason }
  | { readonly kind: 'declined', readonly endpoint: string, readonly load: number }
  | { readonly kind: 'error', readonly error: RouteError }

/** Receiver of a chat's answer; after `onReply`, `onEnd` or `onError` nothing more is called. */
export interface IChatSink {
  /** The engine took the request. */
  onAccepted (endpoint: string): void
  /** Whole events; `done` marks the end of the answer. */
  onEvents (bytes: Uint8Array, events: number, done: boolean): void
  onReply (reply: HomeReply): void
  /** The answer broke off. `sent` is false when the request can't have reached the engine. */
  onError (error: RouteError, sent: boolean): void
}

/** Handle of a running chat. */
export interface IChatRun {
  /** Stops reading; the engine goes on for a while, so that the caller can resume. */
  stop (): void
  pause (): void
  resume (): void
}

/** A way to the home of an engine: in this process or on a peer. */
export interface IHomeNode {
  chat (call: ChatCall, body: Uint8Array, sink: IChatSink): IChatRun
  resume (call: ResumeCall, sink: IChatSink): IChatRun
  /** Tells the engine to drop the work. */
  cancel (requestId: string, endpoint: string): void
}

/** A call to a plain service on its way from the entry to the node that runs it. */
export interface ServiceCallMessage {
  readonly requestId: string
  readonly service: string
  readonly method: 'GET' | 'POST' | 'PUT' | 'PATCH' | 'DELETE'
  /** Path and query below the service. */
  readonly path: string
  readonly headers: Readonly<Record<string, string>>
  readonly neverRepeat: boolean
  /** Idempotency key; absent when the caller gave none. */
  readonly key?: string
  readonly account: string
  readonly timeoutMs: number
  readonly traceparent?: string
}

/** A service's whole answer. */
export interface ServiceResponse {
  readonly status: number
  readonly headers: Readonly<Record<string, string>>
  readonly body: Uint8Array
}
