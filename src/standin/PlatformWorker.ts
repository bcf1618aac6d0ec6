/** Stand-in of a worker of the users' platform: answers calls and streams, counts what ran, fails as it is told to. */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import type { AddressInfo, Socket } from 'node:net'

const EVENTS = 4

/** How the worker treats the next requests. */
export type WorkerMood =
  | 'well'
  /** Refuses without running. */
  | 'full'
  /** Runs and answers 500. */
  | 'failing'
  /** Runs and resets the connection in place of an answer. */
  | 'losing'
  /** Runs and resets the connection within the second event. */
  | 'tearing'
  /** Runs and never answers. */
  | 'mute'
  /** Answers with another request's id. */
  | 'confused'

export class PlatformWorker {
  mood: WorkerMood = 'well'
  /** Ids of the requests that ran, in order. */
  readonly ran: string[] = []
  /** Headers of the last request. */
  lastHeaders: Readonly<Record<string, string | string[] | undefined>> = {}
  /** Requests whose connection closed before their answer ended. */
  cancelled = 0
  readonly #id: string
  readonly #server: Server
  #port = 0

  constructor (id: string) {
    this.#id = id
    this.#server = createServer((req, res) => this.#read(req, res))
  }

  async listen (): Promise<void> {
    await new Promise<void>(resolve => this.#server.listen(0, '127.0.0.1', resolve))
    this.#port = (this.#server.address() as AddressInfo).port
  }

  close (): void {
    this.#server.close()
    this.#server.closeAllConnections()
  }

  /** The worker's entry in the store. */
  entry (service: string, state: 'ready' | 'draining' = 'ready'): object {
    return { service, address: `127.0.0.1:${this.#port}`, zone: 'a', version: 'v1', slots: 8, state, cold_left_ms: 0, seq_no: 1 }
  }

  #read (req: IncomingMessage, res: ServerResponse): void {
    const chunks: Buffer[] = []
    req.on('data', (chunk: Buffer) => chunks.push(chunk))
    req.on('end', () => this.#serve(req, res, Buffer.concat(chunks)))
    res.on('close', () => { if (!res.writableFinished) this.cancelled++ })
  }

  #serve (req: IncomingMessage, res: ServerResponse, body: Buffer): void {
    this.lastHeaders = req.headers
    const id = String(req.headers['attempt-id'])
    if (req.headers['expect-instance'] !== this.#id) {
      res.writeHead(421, { 'instance-id': this.#id }).end()
      return
    }
    if (this.mood === 'full') {
      res.writeHead(503, { 'attempt-id': id, 'not-executed': '1' }).end()
      return
    }
    this.ran.push(id)
    if (this.mood === 'mute') return
    if (this.mood === 'losing') {
      (req.socket as Socket).resetAndDestroy()
      return
    }
    const headers = { 'attempt-id': this.mood === 'confused' ? 'another' : id, 'server-signature': `${this.#id}.${id}`, 'server-load': '1,0,8' }
    if (this.mood === 'failing') res.writeHead(500, headers).end('failed')
    else if (req.url?.startsWith('/stream') === true) this.#stream(req, res, headers)
    else res.writeHead(200, headers).end(`answer to ${id}: ${body.toString()}`)
  }

  /** Events 1 to 4, or those after the last that the caller has. */
  #stream (req: IncomingMessage, res: ServerResponse, headers: Record<string, string>): void {
    res.writeHead(200, { ...headers, 'content-type': 'text/event-stream' })
    const from = Number(req.headers['last-event-id'] ?? 0)
    for (let event = from + 1; event <= EVENTS; event++) {
      if (this.mood === 'tearing' && event === 2) {
        res.write('id: 2\ndata: to', () => (req.socket as Socket).resetAndDestroy())
        return
      }
      res.write(`id: ${event}\ndata: token${event}\n\n`)
    }
    res.end()
  }
}
