/** Stand-in of the users' platform store: keys with revisions, ranges in pages, watches; can be slow, silent or refuse. */
import { createServer, type Server, type ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'

const MAX_WAIT_MS = 30_000
const PAGE_ITEMS = 4 // small, so that tests meet pages

/** How the store treats calls. */
export type StoreMood = 'serves' | 'refuses' | 'silent'

interface Item {
  readonly key: string
  readonly value: string
  readonly revision: number
}

interface Waiting {
  readonly prefix: string
  readonly after: number
  readonly res: ServerResponse
}

/** Item as the store writes it on the wire. */
function wireItem (item: Item): object {
  return { key: item.key, value: Buffer.from(item.value).toString('base64'), revision: item.revision, created: item.revision, lease: 0 }
}

export class PlatformStore {
  mood: StoreMood = 'serves'
  /** How long an answer takes beyond its work. */
  delayMs = 0
  /** Calls by kind. */
  readonly calls = new Map<string, number>()
  readonly #server: Server
  readonly #items = new Map<string, Item>()
  #deleted: Array<{ readonly key: string, readonly revision: number }> = []
  #waiting: Waiting[] = []
  #revision = 1
  #oldest = 0

  constructor () {
    this.#server = createServer((req, res) => this.#serve(new URL(req.url ?? '/', 'http://store'), res))
  }

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
    this.#wake()
  }

  delete (key: string): void {
    if (!this.#items.delete(key)) return
    this.#deleted.push({ key, revision: ++this.#revision })
    this.#wake()
  }

  /** Forgets what changed before now: older watches get 410. */
  compact (): void {
    this.#oldest = this.#revision
    this.#deleted = []
  }

  #serve (url: URL, res: ServerResponse): void {
    const kind = url.pathname.slice('/v1/kv-'.length)
    this.calls.set(kind, (this.calls.get(kind) ?? 0) + 1)
    if (this.mood === 'silent') return
    if (this.mood === 'refuses') this.#send(res, 503, { error: 'unavailable' })
    else if (kind === 'key') this.#key(url.searchParams.get('key') ?? '', res)
    else if (kind === 'range') this.#range(url.searchParams, res)
    else this.#watch(url.searchParams, res)
  }

  #key (key: string, res: ServerResponse): void {
    const item = this.#items.get(key)
    if (item === undefined) this.#send(res, 404, { error: 'no such key' })
    else this.#send(res, 200, { ...wireItem(item), at: this.#revision })
  }

  #range (query: URLSearchParams, res: ServerResponse): void {
    const [prefix, after] = [query.get('path_prefix') ?? '', query.get('after') ?? '']
    const found = [...this.#items.values()].filter(i => i.key.startsWith(prefix) && i.key > after).sort((a, b) => a.key < b.key ? -1 : 1)
    this.#send(res, 200, { items: found.slice(0, PAGE_ITEMS).map(wireItem), has_more: found.length > PAGE_ITEMS, at: this.#revision })
  }

  #watch (query: URLSearchParams, res: ServerResponse): void {
    const waiting = { prefix: query.get('path_prefix') ?? '', after: Number(query.get('after')), res }
    if (waiting.after < this.#oldest) {
      this.#send(res, 410, { error: 'history is gone' })
      return
    }
    if (this.#tell(waiting)) return
    this.#waiting.push(waiting)
    const timer = setTimeout(() => this.#send(res, 200, { events: [], at: this.#revision }), Math.min(MAX_WAIT_MS, Number(query.get('wait_ms'))))
    res.once('close', () => {
      clearTimeout(timer)
      this.#waiting = this.#waiting.filter(w => w !== waiting)
    })
  }

  #tell ({ prefix, after, res }: Waiting): boolean {
    const written = [...this.#items.values()].filter(i => i.key.startsWith(prefix) && i.revision > after).map(wireItem)
    const deleted = this.#deleted.filter(d => d.key.startsWith(prefix) && d.revision > after).map(d => ({ ...d, deleted: true }))
    if (written.length + deleted.length === 0) return false
    this.#send(res, 200, { events: [...written, ...deleted], at: this.#revision })
    return true
  }

  #wake (): void {
    if (this.mood !== 'serves') return
    this.#waiting = this.#waiting.filter(w => !this.#tell(w))
  }

  #send (res: ServerResponse, status: number, body: object): void {
    const text = JSON.stringify(body)
    setTimeout(() => {
      if (res.writableEnded || res.destroyed) return
      res.writeHead(status, { 'content-type': 'application/json' })
      res.end(text)
    }, this.delayMs)
  }
}
