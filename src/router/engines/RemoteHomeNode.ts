/** Client of a home node on a peer. Streams use plain HTTP, as tRPC has no cheap way to forward unparsed bytes. */
import { Agent } from 'undici'
import { Disposable, toDisposable } from '../../common/Disposable.js'
import { HEADER } from '../../common/Constants.js'
import { routeError } from '../../common/Errors.js'
import { SseFramer } from '../../common/sse/SseFramer.js'
import type { InstanceAddress } from '../../common/Types.js'
import { startExchange, type HttpExchange, type HttpRequest } from './HttpExchange.js'
import type { LinkFilter } from '../fleet/LinkFilter.js'
import type { ChatCall, HomeReply, IChatRun, IChatSink, IHomeNode, ResumeCall } from '../Types.js'

const CONNECT_TIMEOUT_MS = 1_000
const HEADERS_TIMEOUT_MS = 15_000 // covers the time that an engine may take to accept a chat
const MAX_ERROR_LENGTH = 65_536 // of a peer's error, in characters

/** Connection pool, secret and link filter for requests to all peers. */
export class PeerConnections extends Disposable {
  readonly agent = new Agent({ connections: null, pipelining: 1, connect: { timeout: CONNECT_TIMEOUT_MS } })
  readonly secret: string
  readonly links: LinkFilter

  constructor (secret: string, links: LinkFilter) {
    super()
    this.secret = secret
    this.links = links
    this.own(toDisposable(() => { this.agent.destroy().catch(() => {}) }))
  }
}

/** Forwards chats to the home node on one peer. */
export class RemoteHomeNode implements IHomeNode {
  readonly #peers: PeerConnections
  readonly #peer: InstanceAddress

  constructor (peers: PeerConnections, peer: InstanceAddress) {
    this.#peers = peers
    this.#peer = peer
  }

  chat (call: ChatCall, body: Uint8Array, sink: IChatSink): IChatRun {
    return this.#open({ ...this.#request('/peer/chat', call, call.timeoutMs), body }, call.endpoint, sink)
  }

  resume (call: ResumeCall, sink: IChatSink): IChatRun {
    return this.#open(this.#request('/peer/resume', call, call.timeoutMs), call.endpoint, sink)
  }

  cancel (requestId: string, endpoint: string): void {
    const ignore = (): void => {}
    startExchange(this.#peers.agent, this.#request('/peer/cancel', { requestId, endpoint }, CONNECT_TIMEOUT_MS), {
      onHead: ignore, onData: ignore, onEnd: ignore, onError: ignore
    })
  }

  #request (path: string, call: object, timeoutMs: number): HttpRequest {
    return {
      origin: `http://${this.#peer.address}:${this.#peer.peerPort}`,
      path,
      method: 'POST',
      headers: { [HEADER.peerAuth]: this.#peers.secret, [HEADER.peerCall]: encodeURIComponent(JSON.stringify(call)) },
      headersTimeoutMs: HEADERS_TIMEOUT_MS,
      bodyTimeoutMs: timeoutMs
    }
  }

  #open (req: HttpRequest, endpoint: string, sink: IChatSink): IChatRun {
    const reader = new HomeResponseReader(this.#peers.links, this.#peer.id, sink)
    if (!this.#peers.links.passes(this.#peer.id)) {
      setImmediate(() => reader.onError(new Error('link is down'), false))
      return reader
    }
    reader.exchange = startExchange(this.#peers.agent, req, {
      onHead: (status, headers) => reader.onHead(status, String(headers['content-type'] ?? ''), String(headers[HEADER.endpoint] ?? endpoint)),
      onData: chunk => reader.onData(chunk),
      onEnd: () => reader.onEnd(),
      onError: (e, sent) => reader.onError(e, sent)
    })
    return reader
  }
}

/** Reads a home node's response: a stream of whole events, or a single reply. */
class HomeResponseReader implements IChatRun {
  readonly #links: LinkFilter
  readonly #peer: string
  readonly #sink: IChatSink
  readonly #framer = new SseFramer()
  exchange: HttpExchange | undefined
  #streaming = false
  #text = ''
  #finished = false

  constructor (links: LinkFilter, peer: string, sink: IChatSink) {
    this.#links = links
    this.#peer = peer
    this.#sink = sink
  }

  /** @param endpoint the engine that the home node chose; may differ from the requested one. */
  onHead (status: number, type: string, endpoint: string): void {
    this.#streaming = status === 200 && type.startsWith('text/event-stream')
    if (this.#streaming && !this.#finished) this.#sink.onAccepted(endpoint)
  }

  onData (chunk: Buffer): void {
    if (this.#finished) return
    if (!this.#links.passes(this.#peer)) {
      this.exchange?.abort()
      return
    }
    if (!this.#streaming) {
      if (this.#text.length < MAX_ERROR_LENGTH) this.#text += chunk.toString()
      return
    }
    const frame = this.#framer.push(chunk)
    if (this.#framer.isOversized) {
      this.exchange?.abort()
      this.onError(new Error('event without an end'), true)
      return
    }
    if (frame.events === 0) return
    if (frame.done) this.#finished = true
    this.#sink.onEvents(frame.bytes, frame.events, frame.done)
  }

  onEnd (): void {
    if (this.#finished) return
    if (this.#streaming) {
      this.onError(new Error('the response ended early'), true)
      return
    }
    this.#finished = true
    try {
      this.#sink.onReply(JSON.parse(this.#text) as HomeReply)
    } catch {
      this.#sink.onError(routeError('response_lost', 'forward', this.#peer, 'malformed reply'), true)
    }
  }

  onError (e: Error, sent: boolean): void {
    if (this.#finished) return
    this.#finished = true
    this.#sink.onError(routeError(sent ? 'response_lost' : 'peer_unreachable', 'forward', this.#peer, e.message), sent)
  }

  stop (): void {
    this.#finished = true
    this.exchange?.abort()
  }

  pause (): void {
    this.exchange?.pause()
  }

  resume (): void {
    this.exchange?.resume()
  }
}
