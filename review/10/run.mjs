/**
 * The machines that read the configuration for their zones are partitioned from the store, while keys are taken away. All other machines
 * reach the store and each other all the while.
 */
import { dirname } from 'node:path'
import { fileURLToPath } from 'node:url'
import { BROKEN, clientHeaders, configuration, fetchOnce, HELD, main, newId, Site, sleep, TROUBLE } from '../site-2.mjs'

const MACHINES = 9 // three in each zone
const APPLY_MS = 2_000
const CUT_MS = 9_000
const KEYS = 12
const REVOKE_GAP_MS = 600
const PROBE_MS = 100
const PROBE_FOR_MS = 3_500 // after a key was taken away

const site = new Site(dirname(fileURLToPath(import.meta.url)))
const keys = Array.from({ length: KEYS }, (_, i) => `key-${i}`)
/** Ids of the requests that a worker has run. */
const ran = new Set()
const late = []

function serve (worker) {
  return (req, res) => {
    const id = req.headers['attempt-id']
    if (req.headers['expect-instance'] !== worker) return res.writeHead(421, { 'attempt-id': id, 'content-length': 0 }).end()
    req.resume()
    ran.add(id)
    res.writeHead(200, { 'attempt-id': id, 'server-signature': `${worker}.${id}`, 'content-length': 2 }).end('ok')
  }
}

function configWith (version, valid) {
  const config = configuration(version, [{ path_prefix: '/calls/', service: 'desk', route_kind: 'non_idempotent' }])
  return { ...config, tenants: [{ name: 'looms', api_keys: ['key-of-looms', ...valid] }] }
}

/** Sends requests with a key that was taken away at `revokedAt` to a machine. */
async function probe (g, key, revokedAt) {
  while (performance.now() - revokedAt < PROBE_FOR_MS) {
    const id = newId()
    const sentMs = performance.now() - revokedAt
    const headers = { ...clientHeaders(id, 1_500), authorization: `Bearer ${key}` }
    fetchOnce({ host: g.ip, port: g.port, method: 'POST', path: '/calls/1', headers, body: Buffer.from('{}') }).then(({ status }) => {
      site.note(`${id} ${key} at ${g.name}, sent ${Math.round(sentMs)} ms after it was taken away: ${status}${ran.has(id) ? ', a worker ran it' : ''}`)
      if (sentMs > APPLY_MS && ran.has(id)) late.push({ g: g.name, key, sentMs })
    })
    await sleep(PROBE_MS)
  }
}

await main(site, async () => {
  for (const [i, zone] of ['a', 'b', 'c'].entries()) await site.addWorker(`w-${i}`, 'desk', zone, serve(`w-${i}`))
  await site.start({ gateways: MACHINES, config: configWith(1, keys), storeLinks: true })
  for (const g of site.gateways) g.storeLink.watches = 0
  await sleep(4_000)
  const readers = site.gateways.filter(g => g.storeLink.watches > 0)
  site.note(`they watch the store: ${readers.map(g => `${g.name} in ${g.zone}`).join(', ')}`)
  const others = site.gateways.filter(g => !readers.includes(g))
  if (TROUBLE) {
    for (const g of readers) g.storeLink.cut = true
    site.note(`cut off from the store: ${readers.map(g => g.name).join(', ')}`)
    setTimeout(() => {
      for (const g of readers) g.storeLink.cut = false
      site.note('the cut has healed')
    }, CUT_MS)
  }
  const probes = []
  for (let i = 0; i < KEYS; i++) {
    site.store.put('op/config', configWith(2 + i, keys.slice(i + 1)))
    site.note(`the store has acknowledged version ${2 + i}, without ${keys[i]}`)
    const revokedAt = performance.now()
    for (const g of others) probes.push(probe(g, keys[i], revokedAt))
    await sleep(REVOKE_GAP_MS)
  }
  await Promise.all(probes)
  await sleep(1_600)
  const longest = Math.round(Math.max(0, ...late.map(l => l.sentMs)))
  const keysLate = new Set(late.map(l => l.key)).size
  const summary = `${others.length} machines in touch, ${KEYS} keys taken away: ${late.length} requests with ${keysLate} of them ran though sent later than ${APPLY_MS} ms, up to ${longest} ms`
  site.note(summary)
  console.log(summary)
  return late.length > 0 ? BROKEN : HELD
})
