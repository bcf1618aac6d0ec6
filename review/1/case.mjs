/**
 * A worker hands out wrong bytes: some of its answers have a body of small chunks that never ends. The gateways keep each
 * chunk of an answer as a buffer of its own and bound only their bytes: the heap is full long before, and the process ends.
 */
import { Agent } from 'node:http'
import { fetchOnce } from '../http-client.mjs'
import { configuration, runCase, sleep, TROUBLE } from '../site.mjs'

const CLIENTS = 40 // at each gateway, each with one kept connection
const THINK_MS = 500
const WORK_MS = 86 // trade-app of glowline-cairo
const WORKER_ZONES = ['a', 'b', 'c', 'a', 'b']
const GARBLERS = 3 // of five workers: garble of glowline-cairo has share = 0.6, x = 0.03, for_s = 5.0
const GARBLE_FRACTION = 0.03
const GARBLE_MS = 5_000
const GARBLE_TIMES = 8
const PAUSE_MS = 4_000
const CHUNK_BYTES = 4
const WRITE_BYTES = 65_536
const DEADLINE_MS = 4_002 // stock-reserve of glowline-cairo
const TIMEOUT_MS = 4_000
const RESTART_MS = 1_000
const ENDS = 3 // "two at least [...] three times in the day"
const MACHINES = 2

await runCase(import.meta.url, async (site, record) => {
  const runs = new Map()
  const state = { playing: true, garbles: false, count: 0, garbled: 0 }
  const garbled = new Set()
  /** Writes chunks until the gateway closes the connection. */
  const writeForever = (res, attempt) => {
    state.garbled++
    garbled.add(attempt)
    record.add(`${attempt} gets a body without end`)
    const { socket } = res
    socket.write(`HTTP/1.1 200 OK\r\nAttempt-Id: ${attempt}\r\nServer-Signature: w.${attempt}\r\nTransfer-Encoding: chunked\r\n\r\n`)
    const chunk = `${CHUNK_BYTES.toString(16)}\r\n${'#'.repeat(CHUNK_BYTES)}\r\n`
    const text = chunk.repeat(Math.floor(WRITE_BYTES / chunk.length))
    const write = () => {
      while (!socket.destroyed) {
        if (!socket.write(text)) {
          socket.once('drain', write)
          return
        }
      }
    }
    write()
  }
  for (const [i, zone] of WORKER_ZONES.entries()) {
    const id = `w-${zone}-${i}`
    await site.addWorker(id, 'orders', (req, res, headers) => {
      const attempt = req.headers['attempt-id']
      runs.set(attempt, id)
      if (i < GARBLERS && state.garbles && Math.random() < GARBLE_FRACTION) writeForever(res, attempt)
      else setTimeout(() => res.writeHead(200, { ...headers, 'Content-Length': 2 }).end('ok'), WORK_MS)
    }, zone)
  }
  await site.start(['a', 'b'], configuration(7, [{ name: 'reserve', kind: 'non_idempotent', service: 'orders', timeoutMs: TIMEOUT_MS }]))
  const ends = []
  const watch = gateway => {
    gateway.exited.then(async how => {
      if (!state.playing) return
      ends.push(gateway.name)
      record.add(`end      ${gateway.name}: ${how}; ${/FATAL ERROR.*/.exec(gateway.log)?.[0] ?? ''}`)
      await sleep(RESTART_MS)
      if (!state.playing) return
      gateway.start()
      watch(gateway)
    })
  }
  site.gateways.forEach(watch)
  const results = []
  const client = async gateway => {
    const agent = new Agent({ keepAlive: true, maxSockets: 1 })
    let served = 0
    await sleep(Math.random() * THINK_MS)
    while (state.playing) {
      const attempt = `a${String(++state.count).padStart(6, '0')}`
      const result = await fetchOnce({ host: gateway.address, port: gateway.port, path: '/reserve/1', attempt, body: '{}', deadlineMs: DEADLINE_MS, agent })
      results.push({ attempt, gateway: gateway.name, kept: served > 0, ...result })
      if (result.status !== 200 || result.end !== 'whole') record.add(`${attempt} of ${gateway.name}: ${result.end} ${result.status} after ${result.afterMs} ms`)
      served = result.end === 'whole' ? served + 1 : 0
      await sleep(THINK_MS * (0.5 + Math.random()))
    }
    agent.destroy()
  }
  const clients = site.gateways.flatMap(g => Array.from({ length: CLIENTS }, async () => await client(g)))
  await sleep(4_000)
  for (let n = 0; n < GARBLE_TIMES; n++) {
    state.garbles = TROUBLE
    if (TROUBLE) record.add(`${GARBLERS} of ${WORKER_ZONES.length} workers garble`)
    await sleep(GARBLE_MS)
    state.garbles = false
    await sleep(PAUSE_MS)
  }
  state.playing = false
  await Promise.all(clients)
  const isLost = r => r.kept && runs.has(r.attempt) && !garbled.has(r.attempt) && (r.end === 'no answer' || r.end === 'cut')
  record.add(`requests ${results.length}, runs ${runs.size}, bodies without end ${state.garbled}, ends of processes ${JSON.stringify(ends)}`)
  for (const g of site.gateways) {
    const lost = results.filter(r => r.gateway === g.name && isLost(r)).map(r => `${r.attempt} at ${runs.get(r.attempt)}`)
    record.add(`LOST at ${g.name}: ${lost.length} requests of kept connections ran, their answers weren't garbled, and the connection ended: ${lost.join(', ')}`)
  }
  const endsOf = name => ends.filter(e => e === name).length
  const ended = site.gateways.filter(g => endsOf(g.name) >= ENDS)
  if (ended.length < MACHINES) return []
  return ended.map(g => `Fault: the process of ${g.name} ended by itself ${endsOf(g.name)} times, with no disruption of its machine`)
})
