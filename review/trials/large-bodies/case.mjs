/**
 * One tenant sends 7.5 times its usual for 6.5 seconds, in bodies of the size that the configuration allows. Nothing bounds
 * the bodies that a gateway holds at once: it grows over the memory of its machine, and the platform kills it with all that
 * it has passed on.
 */
import { readFileSync } from 'node:fs'
import { Agent, request } from 'node:http'
import { API_KEY, configuration, HOST, runCase, sleep, TROUBLE } from '../../lib/site.mjs'

const MEMORY_MB = 272 // memory_mb of the settings
const BODY_BYTES = 4_194_304 // max_body_bytes of the configuration
const USUAL_CLIENTS = 6 // of the tenant, at each gateway
const HOT_FACTOR = 7.5 // hot_tenant of glowline-cairo
const HOT_MS = 6_500 // and its for_s
const CHUNK_BYTES = 41_943
const CHUNK_INTERVAL_MS = 40 // a client's link has 8.4 Mbit/s: 4 s for a body; 45 of them stay under link_mbps = 490
const SPREAD_MS = 1_000 // over which the tenant's requests start
const WORK_MS = 1_000
const DEADLINE_MS = 15_005 // counter-chat
const TIMEOUT_MS = 15_000
const RESTART_MS = 1_000
const HOT_TIMES = 3
const PAUSE_MS = 5_000
const ENDS = 3 // "two at least [...] three times in the day"
const MACHINES = 2

/** One attempt on the client's kept connection; resolves to how it ended. */
async function send (agent, gateway, attempt, bytes) {
  const headers = { Host: HOST, 'Attempt-Id': attempt, 'Deadline-Ms': DEADLINE_MS, Authorization: `Bearer ${API_KEY}`, 'Content-Length': bytes }
  return await new Promise(resolve => {
    let status = 0
    const req = request({ agent, host: gateway.address, port: gateway.port, method: 'POST', path: '/upload/1', headers }, res => {
      status = res.statusCode
      res.resume()
      res.on('end', () => finish(res.complete ? 'whole' : 'cut'))
      res.on('error', () => finish('cut'))
    })
    const finish = end => {
      clearTimeout(deadline)
      clearInterval(upload)
      resolve({ end, status, reused: req.reusedSocket })
      if (end !== 'whole') req.destroy()
    }
    const deadline = setTimeout(() => finish('gave up'), DEADLINE_MS)
    req.on('error', () => finish('closed'))
    let left = bytes
    const upload = setInterval(() => {
      const size = Math.min(left, CHUNK_BYTES)
      left -= size
      if (size > 0) req.write(Buffer.alloc(size, 'x'))
      if (left > 0) return
      clearInterval(upload)
      req.end()
    }, CHUNK_INTERVAL_MS)
  })
}

/** Does what the platform does to a process over its memory: kills it and starts it again. */
function watchMemory (gateway, record, kills, peaks) {
  return setInterval(() => {
    if (gateway.hasExited) return
    const anonKb = Number(/RssAnon:\s+(\d+)/.exec(readFileSync(`/proc/${gateway.pid}/status`, 'utf8'))?.[1] ?? 0)
    peaks.set(gateway.name, Math.max(peaks.get(gateway.name) ?? 0, anonKb / 1_024))
    if (anonKb / 1_024 <= MEMORY_MB) return
    record.add(`kill     ${gateway.name}: ${Math.round(anonKb / 1_024)} MB of ${MEMORY_MB}`)
    kills.push(gateway.name)
    gateway.signal('SIGKILL')
    gateway.exited.then(async () => {
      await sleep(RESTART_MS)
      gateway.start()
    })
  }, 20)
}

await runCase(import.meta.url, async (site, record) => {
  const answer = (_req, res, headers) => setTimeout(() => res.writeHead(200, { ...headers, 'Content-Length': 2 }).end('ok'), WORK_MS)
  for (const zone of ['a', 'b']) await site.addWorker(`w-${zone}`, 'pool', answer, zone)
  await site.start(['a', 'b'], configuration(7, [{ name: 'upload', kind: 'non_idempotent', service: 'pool', timeoutMs: TIMEOUT_MS, goalMs: 4_000 }]))
  const kills = []
  const peaks = new Map()
  const watches = site.gateways.map(g => watchMemory(g, record, kills, peaks))
  const results = []
  const state = { playing: true, hot: false, count: 0 }
  const isActive = n => state.playing && (n < USUAL_CLIENTS || state.hot)
  const waitUntilActive = async n => {
    while (state.playing && !isActive(n)) await sleep(20)
    await sleep(Math.random() * SPREAD_MS)
  }
  const client = async (gateway, n) => {
    const agent = new Agent({ keepAlive: true, maxSockets: 1 })
    const attemptOnce = async bytes => {
      const attempt = `a${String(++state.count).padStart(6, '0')}`
      const result = await send(agent, gateway, attempt, bytes)
      results.push({ attempt, gateway: gateway.name, ...result })
      record.add(`${attempt} of ${gateway.name}, ${bytes} bytes on a ${result.reused ? 'kept' : 'new'} connection: ${result.end} ${result.status}`)
      if (result.end !== 'whole') await sleep(500)
    }
    await sleep(n * 30)
    await attemptOnce(100)
    while (state.playing) {
      if (isActive(n)) await attemptOnce(BODY_BYTES)
      else await waitUntilActive(n)
    }
    agent.destroy()
  }
  const clients = site.gateways.flatMap(g => Array.from({ length: USUAL_CLIENTS * HOT_FACTOR }, async (_, n) => await client(g, n)))
  await sleep(7_000)
  for (let n = 0; n < HOT_TIMES; n++) {
    state.hot = TROUBLE
    record.add(`one tenant sends ${TROUBLE ? HOT_FACTOR : 1} times its usual`)
    await sleep(HOT_MS)
    state.hot = false
    record.add('the tenant sends its usual')
    await sleep(PAUSE_MS)
  }
  state.playing = false
  await Promise.all(clients)
  watches.forEach(clearInterval)
  await sleep(RESTART_MS + 100)
  const runs = new Set(site.workers.flatMap(w => w.runs.map(r => r.attempt)))
  const peakText = [...peaks].map(([name, mb]) => `${name} ${Math.round(mb)} MB`).join(', ')
  record.add(`requests ${results.length}, runs ${runs.size}, answered ${results.filter(r => r.end === 'whole').length}, kills ${kills.length}, peaks ${peakText}`)
  const lost = results.filter(r => r.reused && runs.has(r.attempt) && r.end !== 'whole')
  record.add(`${lost.length} requests of kept connections were passed on and ran, and their connections ended without an answer`)
  const endsOf = name => kills.filter(k => k === name).length
  const ended = site.gateways.filter(g => endsOf(g.name) >= ENDS)
  if (ended.length < MACHINES) return []
  return ended.map(g => `Fault: the process of ${g.name} went over its memory ${endsOf(g.name)} times, with no disruption of its machine`)
})
