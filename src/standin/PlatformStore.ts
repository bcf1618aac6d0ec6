/** Stand-in of the users' platform store: keys with revisions, paged range reads and long-poll watches, with injected delays and failures. */
import { createServer, type Server, type ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'

/** Longest time that a watch is held open. */
const MAX_WATCH_MS = 30_000
const PAGE_SIZE = 4 // small, so that range reads in tests span several pages

/** How the store treats calls: it serves them, answers 503, or sends no answer. */
export type StoreMode = 'serves' | 'refuses' | 'silent'

/** An entry of the store. */
interface Item {
  readonly key: string
  readonly value: string
  readonly revision: number
}

interface PendingWatch {
  readonly prefix: string
  readonly after: number
  readonly res: ServerResponse
}

/** Item in the wire format of the store; the value is base64. */
function toWireItem (item: Item): object {
  return { key: item.key, value: Buffer.from(item.value).toString('base64'), revision: item.revision, created: item.revision, lease: 0 }
}

/** What a store holds at one time, to be restored later. */
export interface StoreCopy {
  readonly items: ReadonlyMap<string, Item>
  readonly revision: number
}

/** HTTP server of the simulated store, on a free port. */
export class PlatformStore {
  mode: StoreMode = 'serves'
  /** Delay of each answer in ms. */
  delayMs = 0
  /** Number of calls by kind: `key`, `range`, `watch`. */
  readonly callCounts = new Map<string, number>()
  readonly #server: Server
  #items = new Map<string, Item>()
  #deletions: Array<{ readonly key: string, readonly revision: number }> = []
  #watches: PendingWatch[] = []
  #revision = 1
  #compactedRevision = 0
  /** Rises each time the store is restored from a copy. */
  #era = 1

  constructor () {
    this.#server = createServer((req, res) => this.#serve(new URL(req.url ?? '/', 'http://store'), res))
  }

  /** Starts listening on loopback and returns the port. */
  async listen (): Promise<number> {
    await new Promise<void>(resolve => this.#server.listen(0, '127.0.0.1', resolve))
    return (this.#server.address() as AddressInfo).port
  }

  close (): void {
    this.#server.close()
    this.#server.closeAllConnections()
  }

  put (key: string, value: object | string): void {
    this.#items.set(key, { key, value: typeof value === 'string' ? value : JSON.stringify(value), revision: ++this.#revision })
    this.#notifyWatches()
  }

  delete (key: string): void {
    if (!this.#items.delete(key)) return
    this.#deletions.push({ key, revision: ++this.#revision })
    this.#notifyWatches()
  }

  /** Discards the change history: watches from an earlier revision get 410. */
  compact (): void {
    this.#compactedRevision = this.#revision
    this.#deletions = []
  }

  copy (): StoreCopy {
    return { items: new Map(this.#items), revision: this.#revision }
  }

  /** Goes back to a copy: what was written since is lost, and its revisions are given out again. Pending watches go on. */
  restore ({ items, revision }: StoreCopy): void {
    this.#items = new Map(items)
    this.#revision = revision
    this.#deletions = []
    this.#era++
  }

  /** Ports of the clients that wait for changes. */
  get watchingPorts (): ReadonlySet<number | undefined> {
    return new Set(this.#watches.map(({ res }) => res.req.socket.remotePort))
  }

  #serve (url: URL, res: ServerResponse): void {
    const kind = url.pathname.slice('/v1/kv-'.length)
    this.callCounts.set(kind, (this.callCounts.get(kind) ?? 0) + 1)
    if (this.mode === 'silent') return
    if (this.mode === 'refuses') this.#send(res, 503, { error: 'unavailable' })
    else if (kind === 'key') this.#sendKey(url.searchParams.get('key') ?? '', res)
    else if (kind === 'range') this.#sendRange(url.searchParams, res)
    else this.#openWatch(url.searchParams, res)
  }

  #sendKey (key: string, res: ServerResponse): void {
    const item = this.#items.get(key)
    if (item === undefined) this.#send(res, 404, { error: 'no such key' })
    else this.#send(res, 200, { ...toWireItem(item), at: this.#revision })
  }

  #sendRange (query: URLSearchParams, res: ServerResponse): void {
    const [prefix, after] = [query.get('path_prefix') ?? '', query.get('after') ?? '']
    const found = [...this.#items.values()].filter(i => i.key.startsWith(prefix) && i.key > after).sort((a, b) => a.key < b.key ? -1 : 1)
    this.#send(res, 200, { items: found.slice(0, PAGE_SIZE).map(toWireItem), has_more: found.length > PAGE_SIZE, at: this.#revision })
  }

  #openWatch (query: URLSearchParams, res: ServerResponse): void {
    const watch = { prefix: query.get('path_prefix') ?? '', after: Number(query.get('after')), res }
    if (watch.after < this.#compactedRevision || watch.after > this.#revision) {
      this.#send(res, 410, { error: 'history is gone' })
      return
    }
    if (this.#answerWatch(watch)) return
    this.#watches.push(watch)
    const timer = setTimeout(() => this.#send(res, 200, { events: [], at: this.#revision }), Math.min(MAX_WATCH_MS, Number(query.get('wait_ms'))))
    res.once('close', () => {
      clearTimeout(timer)
      this.#watches = this.#watches.filter(w => w !== watch)
    })
  }

  /** Answers a watch when something under its prefix changed; false when nothing did. */
  #answerWatch ({ prefix, after, res }: PendingWatch): boolean {
    const written = [...this.#items.values()].filter(i => i.key.startsWith(prefix) && i.revision > after).map(toWireItem)
    const deleted = this.#deletions.filter(d => d.key.startsWith(prefix) && d.revision > after).map(d => ({ ...d, deleted: true }))
    if (written.length + deleted.length === 0) return false
    this.#send(res, 200, { events: [...written, ...deleted], at: this.#revision })
    return true
  }

  #notifyWatches (): void {
    if (this.mode !== 'serves') return
    this.#watches = this.#watches.filter(w => !this.#answerWatch(w))
  }

  #send (res: ServerResponse, status: number, body: object): void {
    const text = JSON.stringify(body)
    setTimeout(() => {
      if (res.writableEnded || res.destroyed) return
      res.writeHead(status, { 'content-type': 'application/json', 'store-era': String(this.#era) })
      res.end(text)
    }, this.delayMs)
  }
}
