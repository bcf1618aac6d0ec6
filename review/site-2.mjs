/**
 * A small deployment for the scripts of the second review: gateways as separate processes, started by the command of the deploy file,
 * and stand-ins of the store and the workers in this process. All addresses are loopback addresses. No dependencies.
 */
import { spawn } from 'node:child_process'
import { closeSync, createWriteStream, mkdtempSync, openSync, readFileSync, rmSync, writeFileSync } from 'node:fs'
import { createServer, request } from 'node:http'
import { connect, createServer as createNetServer } from 'node:net'
import { tmpdir } from 'node:os'
import { dirname, join } from 'node:path'
import { fileURLToPath } from 'node:url'

const ROOT = join(dirname(fileURLToPath(import.meta.url)), '..')
const HEARTBEAT_MS = 1_200
const SUBNET = 2 + process.pid % 200

/** Exit codes of a script. */
export const HELD = 0
export const BROKEN = 1
export const NOT_RUN = 2

/** True unless TROUBLE=0: then the script runs without its disruption. */
export const TROUBLE = process.env.TROUBLE !== '0'

export const sleep = ms => new Promise(resolve => setTimeout(resolve, ms))

/** Host of all routes, and the key of the only tenant. */
export const HOST = 'shop.example'
export const KEY = 'key-of-looms'

async function freePort () {
  for (let i = 0; i < 100; i++) {
    const port = 10_000 + Math.floor(Math.random() * 20_000)
    const server = createNetServer()
    const isFree = await new Promise(resolve => {
      server.once('error', () => resolve(false))
      server.listen(port, '127.0.0.1', () => resolve(true))
    })
    if (!isFree) continue
    await new Promise(resolve => server.close(resolve))
    return port
  }
  throw new Error('no free port')
}

/** The platform's store: keys, ranges, watches. An entry of a worker is removed after three heartbeats without a write. */
class Store {
  #items = new Map()
  #events = []
  #revision = 1
  #server = createServer((req, res) => this.#serve(new URL(req.url, 'http://store'), res))

  async listen () {
    await new Promise(resolve => this.#server.listen(0, '127.0.0.1', resolve))
    return this.#server.address().port
  }

  put (key, value) {
    this.#items.set(key, { key, value: Buffer.from(JSON.stringify(value)).toString('base64'), revision: ++this.#revision, created: 1, lease: 0 })
    this.#events.push(this.#items.get(key))
  }

  delete (key) {
    if (this.#items.delete(key)) this.#events.push({ key, revision: ++this.#revision, deleted: true })
  }

  close () {
    this.#server.closeAllConnections()
    this.#server.close()
  }

  async #serve ({ pathname, searchParams: q }, res) {
    const send = (status, body) => res.writeHead(status, { 'content-type': 'application/json', 'store-era': '1' }).end(JSON.stringify({ ...body, at: this.#revision }))
    const prefix = q.get('path_prefix') ?? ''
    const after = q.get('after') ?? ''
    if (pathname === '/v1/kv-key') {
      const item = this.#items.get(q.get('key'))
      return item === undefined ? send(404, {}) : send(200, item)
    }
    if (pathname === '/v1/kv-range') {
      const items = [...this.#items.values()].filter(i => i.key.startsWith(prefix) && i.key > after).sort((a, b) => a.key < b.key ? -1 : 1)
      return send(200, { items, has_more: false })
    }
    const end = performance.now() + Math.min(30_000, Number(q.get('wait_ms')))
    for (;;) {
      const events = this.#events.filter(e => e.key.startsWith(prefix) && e.revision > Number(after))
      if (events.length > 0 || performance.now() > end || res.destroyed) return send(200, { events })
      await sleep(10)
    }
  }
}

/** A worker: an HTTP server of the script's, and its entry in the store, written at each heartbeat while it reaches the store. */
export class Worker {
  #site
  #timer
  #seq = 0
  #writtenAt = -Infinity
  born = Date.now()
  state = 'ready'
  /** False while the worker is cut off from the store. */
  reachesStore = true

  constructor (site, id, service, zone, port, slots = 64) {
    this.#site = site
    Object.assign(this, { id, service, zone, port, slots, address: `127.0.0.1:${port}` })
    this.#beat()
    this.#timer = setInterval(() => this.#beat(), HEARTBEAT_MS / 4)
  }

  #beat () {
    const now = performance.now()
    const { service, address, zone, slots, state, born } = this
    if (this.reachesStore && now - this.#writtenAt >= HEARTBEAT_MS) {
      this.#writtenAt = now
      this.#site.store.put(`servers/${this.id}`, { service, address, zone, version: 'v1', slots, state, cold_left_ms: 0, born, seq_no: ++this.#seq })
    } else if (now - this.#writtenAt > 3 * HEARTBEAT_MS) {
      this.#site.store.delete(`servers/${this.id}`)
    }
  }

  /** Writes the entry at once, as after a change of its state. */
  writeNow () {
    this.#writtenAt = -Infinity
    this.#beat()
  }

  /** Ends the heartbeats; the entry is deleted. */
  leave () {
    clearInterval(this.#timer)
    this.#site.store.delete(`servers/${this.id}`)
  }
}

export class Site {
  store = new Store()
  gateways = []
  workers = []
  /** Other processes that the script started. */
  children = []
  #servers = []
  #dir = mkdtempSync(join(tmpdir(), 'review-'))
  #record
  #startedAt = performance.now()
  #storePort
  #peerPort
  #settings

  /** @param folder of the script, in which record.txt is written. @param settings values that replace those of the settings file. */
  constructor (folder, settings = {}) {
    this.#record = createWriteStream(join(folder, 'record.txt'))
    this.#settings = settings
    this.note(`disruption: ${TROUBLE ? 'yes' : 'no'}`)
  }

  /** Writes a line to record.txt. */
  note (text) {
    this.#record.write(`${((performance.now() - this.#startedAt) / 1_000).toFixed(3).padStart(8)}  ${text}\n`)
  }

  /** @param storeLinks true to give each gateway a link of its own to the store, which a script can cut. */
  async start ({ gateways, zones = ['a', 'b', 'c'], config, storeLinks = false }) {
    this.#storePort = await this.store.listen()
    this.#peerPort = await freePort()
    this.store.put('op/config', config)
    for (let i = 0; i < gateways; i++) {
      this.gateways.push({ name: `edge-${i + 1}`, ip: `127.${SUBNET}.0.${i + 1}`, zone: zones[i % zones.length], port: await freePort(), readyPort: await freePort(), child: undefined, log: join(this.#dir, `edge-${i + 1}.log`) })
    }
    if (storeLinks) for (const g of this.gateways) g.storeLink = await this.#addStoreLink()
    for (const g of this.gateways) this.startGateway(g)
    for (const g of this.gateways) await this.#waitUntilReady(g)
    await sleep(1_500)
  }

  /** A link to the store. While it is cut, nothing passes in either direction; it counts the watches that passed. */
  async #addStoreLink () {
    const link = { port: 0, cut: false, watches: 0 }
    const sockets = new Set()
    const server = createNetServer({ noDelay: true }, gateway => {
      const store = connect({ host: '127.0.0.1', port: this.#storePort, noDelay: true })
      for (const s of [gateway, store]) {
        sockets.add(s)
        s.on('error', () => {}).on('close', () => sockets.delete(s))
      }
      gateway.on('data', bytes => {
        if (link.cut) return
        if (bytes.includes('/v1/kv-watch')) link.watches++
        store.write(bytes)
      })
      store.on('data', bytes => { if (!link.cut) gateway.write(bytes) })
      gateway.on('close', () => store.destroy())
      store.on('close', () => { if (!link.cut) gateway.destroy() })
    })
    server.closeAllConnections = () => sockets.forEach(s => s.destroy())
    await new Promise(resolve => server.listen(0, '127.0.0.1', resolve))
    this.#servers.push(server)
    link.port = server.address().port
    return link
  }

  /** Starts a gateway by the command of the deploy file, with the variables that the platform passes on. */
  startGateway (g) {
    const settings = {
      node_name: g.name,
      role: 'gateway',
      machine_class: 'edge',
      serves: ['edge', 'control'],
      ip: g.ip,
      zone: g.zone,
      region: 'r',
      port_range: [this.#peerPort, this.#peerPort + 15],
      seeds: this.gateways.slice(0, 3).map(s => `${s.ip}:8229`),
      bootstrap: true,
      fault_counted: false,
      discovery: 'platform',
      entry: 'anycast',
      heartbeat_ms: HEARTBEAT_MS,
      zones: { a: 'r', b: 'r', c: 'r' },
      listen: { frontend: `${g.ip}:${g.port}`, readiness: `${g.ip}:${g.readyPort}`, control_plane: `${g.ip}:8229` },
      limits: { cpu_share: 0.459, cores: 1, memory_mb: 272, max_fds: 2069, link_mbps: 490, disk_mb: 0 },
      bounds: {
        seed_lag_s: 3,
        reuse_after_s: 2,
        contact_ms: 3000,
        drain_ms: 2000,
        grace_s: 8,
        loss_slack_ms: 200,
        config_apply_ms: 2000,
        retry_budget_ratio: 0.2,
        budget_window_s: 10,
        retry_burst: 129,
        recovery_s: 12
      },
      platform: { address: `127.0.0.1:${g.storeLink?.port ?? this.#storePort}`, form: 'read', reads_per_s: 2000, history_s: 20, max_value_bytes: 1048576 },
      ...this.#settings
    }
    const path = join(this.#dir, `${g.name}.json`)
    writeFileSync(path, JSON.stringify(settings))
    const [program, ...args] = /^run = "(.*)"$/m.exec(readFileSync(join(ROOT, 'deploy/system.toml'), 'utf8'))[1].split(' ')
    const log = openSync(g.log, 'a')
    const { PATH, HOME, LANG } = process.env
    g.child = spawn(program, args, { cwd: ROOT, stdio: ['ignore', log, log], env: { PATH, HOME, LANG, RADISHLOFT_CONFIG: path } })
    closeSync(log)
    g.child.on('exit', (code, signal) => this.note(`${g.name} ended (${signal ?? code})`))
    this.note(`${g.name} started`)
  }

  async #waitUntilReady (g) {
    for (let i = 0; i < 300; i++) {
      const { status } = await fetchOnce({ host: g.ip, port: g.readyPort, path: '/v1/readyz' })
      if (status === 200) return
      await sleep(50)
    }
    throw new Error(`${g.name} isn't ready`)
  }

  /** Starts a worker's server. @param serve handler of its requests. */
  async addWorker (id, service, zone, serve, onConnection = () => {}) {
    const server = createServer({ keepAliveTimeout: 5_000 }, serve)
    server.on('connection', onConnection)
    await new Promise(resolve => server.listen(0, '127.0.0.1', resolve))
    this.#servers.push(server)
    const worker = new Worker(this, id, service, zone, server.address().port)
    worker.server = server
    this.workers.push(worker)
    return worker
  }

  /** Resident memory of a gateway in MB. */
  memoryMb (g) {
    try {
      return Number(/^VmRSS:\s*(\d+) kB$/m.exec(readFileSync(`/proc/${g.child.pid}/status`, 'utf8'))?.[1] ?? 0) / 1_024
    } catch {
      return 0
    }
  }

  /** Log lines of a gateway. */
  logLines (g) {
    return readFileSync(g.log, 'utf8').split('\n').filter(line => line.startsWith('{')).map(line => JSON.parse(line))
  }

  /** Ends all processes and servers that were started. */
  async stop () {
    for (const { child } of this.gateways) {
      child?.kill('SIGCONT')
      child?.kill('SIGKILL')
    }
    for (const child of this.children) child.kill('SIGKILL')
    for (const w of this.workers) w.leave()
    for (const s of this.#servers) {
      s.closeAllConnections()
      s.close()
    }
    this.store.close()
    if (process.env.KEEP_LOGS === undefined) rmSync(this.#dir, { recursive: true, force: true })
    else console.log(this.#dir)
    await new Promise(resolve => this.#record.end(resolve))
  }
}

/** Sends one request; resolves to what came back, never rejects. `ended`: 'whole', or how the connection ended. */
export function fetchOnce ({ host, port, method = 'GET', path, headers = {}, body, agent = false, timeoutMs = 20_000, onResponse = () => {} }) {
  return new Promise(resolve => {
    const chunks = []
    let res
    const done = ended => {
      clearTimeout(timer)
      resolve({ status: res?.statusCode ?? 0, headers: res?.headers ?? {}, body: Buffer.concat(chunks).toString('latin1'), ended })
    }
    const length = body === undefined ? {} : { 'content-length': body.length }
    const req = request({ host, port, method, path, agent, headers: { ...headers, ...length } }, r => {
      res = r
      onResponse(r)
      r.on('data', c => chunks.push(c))
      r.on('end', () => done(r.complete ? 'whole' : 'cut'))
      r.on('error', e => done(`cut: ${e.code ?? e.message}`))
    })
    req.on('error', e => done(`error: ${e.code ?? e.message}`))
    const timer = setTimeout(() => req.destroy(new Error('timeout')), timeoutMs)
    req.end(body)
  })
}

let lastId = 0
/** A new id of a client attempt. */
export const newId = () => (0x1000000 + ++lastId).toString(16).padStart(16, '0')

/** Headers that a client sends. */
export function clientHeaders (id, deadlineMs, more = {}) {
  return { host: HOST, 'attempt-id': id, 'deadline-ms': String(deadlineMs), authorization: `Bearer ${KEY}`, ...more }
}

/** A configuration with these routes. */
export function configuration (version, routes, { limits = {}, services = {} } = {}) {
  return {
    version,
    routes: routes.map(r => ({ name: r.path_prefix, host: HOST, max_attempts: 1, timeout_ms: 6_000, latency_goal_ms: 500, priority: 1, ...r })),
    services: [...new Set(routes.map(r => r.service))].map(name => ({ name, health_path: '/healthz', max_conns: 800, ...services[name] })),
    limits: { max_header_bytes: 16_384, max_body_bytes: 4_194_304, header_timeout_ms: 3_000, idle_timeout_ms: 15_000, ...limits },
    tenants: [{ name: 'looms', api_keys: [KEY] }]
  }
}

/** Runs a script: exit code by what `play` resolves to, 2 when it fails. */
export async function main (site, play) {
  let code = NOT_RUN
  for (const signal of ['SIGTERM', 'SIGINT', 'SIGHUP']) process.once(signal, () => site.stop().finally(() => process.exit(NOT_RUN)))
  const limit = setTimeout(() => {
    site.note('took too long')
    site.stop().finally(() => process.exit(NOT_RUN))
  }, 115_000)
  try {
    code = await play()
  } catch (e) {
    site.note(`couldn't run: ${e.stack}`)
    console.error(e)
  }
  clearTimeout(limit)
  site.note(`exit code ${code}`)
  await site.stop()
  process.exit(code)
}
