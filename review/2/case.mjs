/**
 * A gateway stands still for a few seconds while clients open new connections. A connection that it had accepted, but whose
 * request it had not read, is answered 408 when it goes on; the request is read right after that, and runs.
 */
import { sendOnce } from '../client.mjs'
import { configuration, runCase, sleep, TROUBLE } from '../site.mjs'

const CLIENT_DELAY_MS = 3 // one way to clients, as in the sheet of abalorios-cusco
const REQUESTS_PER_SEC = 120 // at each gateway
const FREEZE_MS = 3_600 // node_freeze of glowline-cairo: for_s = 4.0
const OUT_OF_ROTATION_MS = 2_000 // two misses of the readiness check, once a second
const FREEZES = 10
const WORK_MS = 20
const PROMISES = [408, 421, 429, 503]

await runCase(import.meta.url, async (site, record) => {
  for (const zone of ['a', 'b']) {
    await site.addWorker(`w-${zone}`, 'orders', (_req, res, headers) => setTimeout(() => res.writeHead(200, { ...headers, 'Content-Length': 2 }).end('ok'), WORK_MS), zone)
  }
  await site.start(['a', 'b'], configuration(7, [{ name: 'reserve', kind: 'non_idempotent', service: 'orders' }]))
  const links = await Promise.all(site.gateways.map(async g => await site.link(g, CLIENT_DELAY_MS)))
  const inRotation = site.gateways.map(() => true)
  const results = []
  const pending = new Set()
  const state = { playing: true }
  let count = 0
  /** One client attempt; a promise that it has not run and never will is followed by one more, at another gateway. */
  const reserve = async (i, reservation, attempt = `${reservation}-1`) => {
    const result = await sendOnce({ host: '127.0.0.1', port: links[i].port, path: '/reserve/1', attempt, body: reservation, delayMs: CLIENT_DELAY_MS })
    results.push({ attempt, reservation, gateway: site.gateways[i].name, ...result })
    if (result.status !== 200) record.add(`answered ${attempt} by ${site.gateways[i].name}: ${result.end} ${result.status} after ${result.afterMs} ms`)
    if (PROMISES.includes(result.status) && attempt.endsWith('-1')) await reserve((i + 1) % links.length, reservation, `${reservation}-2`)
  }
  const clients = links.map(async (link, i) => {
    while (state.playing) {
      await sleep(Math.max(1, -Math.log(Math.random()) * 1_000 / REQUESTS_PER_SEC))
      if (!inRotation[i]) continue
      const sent = reserve(i, `r${String(++count).padStart(6, '0')}`).finally(() => pending.delete(sent))
      pending.add(sent)
    }
  })
  await sleep(1_000)
  for (let n = 0; n < FREEZES; n++) {
    const i = n % site.gateways.length
    const g = site.gateways[i]
    if (TROUBLE) {
      g.signal('SIGSTOP')
      record.add(`freeze   ${g.name}`)
    }
    await sleep(OUT_OF_ROTATION_MS)
    inRotation[i] = false
    await sleep(FREEZE_MS - OUT_OF_ROTATION_MS)
    if (TROUBLE) {
      g.signal('SIGCONT')
      record.add(`go on    ${g.name}`)
    }
    await sleep(1_500)
    inRotation[i] = true
    await sleep(1_000)
  }
  state.playing = false
  await Promise.all(clients)
  await Promise.all(pending)
  await sleep(500)
  const runs = new Map(site.workers.flatMap(w => w.runs.map(r => [r.attempt, w.id])))
  const twice = results.filter(r => r.attempt.endsWith('-2') && runs.has(r.attempt) && runs.has(`${r.reservation}-1`))
  const statuses = {}
  for (const { end, status } of results) statuses[`${end} ${status}`] = (statuses[`${end} ${status}`] ?? 0) + 1
  record.add(`requests ${results.length}, runs ${runs.size}, answers ${JSON.stringify(statuses)}`)
  for (const { reservation } of twice) record.add(`reservation ${reservation} was made twice: the client came back after the promise`)
  return results
    .filter(r => r.end === 'answered' && PROMISES.includes(r.status) && runs.has(r.attempt))
    .map(r => `REFUSED: ${r.attempt} was answered ${r.status} by ${r.gateway} and ran at ${runs.get(r.attempt)}`)
})
