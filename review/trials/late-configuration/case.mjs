/**
 * A third of the machines are cut off from the store, those that watch the configuration among them; they still reach the
 * other machines and go on being the ones that watch. The others read the store only 2.6 to 2.9 s after the last
 * confirmation, and so run requests with keys that were taken away more than config_apply_ms before.
 */
import { fetchOnce } from '../../lib/http-client.mjs'
import { API_KEY, configuration, runCase, sleep, TENANT, TROUBLE } from '../../lib/site.mjs'

const ZONES = ['a', 'b', 'c', 'a', 'b', 'c', 'a', 'b', 'c']
const CUT_SHARE = 0.35 // node_cut of glowline-cairo, scale-2: share = 0.35, for_s = 12.0
const CUT_MS = 12_000
const CUTS = 5
const PAUSE_MS = 4_500
const APPLY_MS = 2_000 // config_apply_ms
const CONTACT_MS = 3_000 // contact_ms
const CHANGE_INTERVAL_MS = [2_600, 3_400]
const PROBE_INTERVAL_MS = 60
const PROBED_MS = [1_500, 3_200] // after the acknowledgement of a removal
const DEADLINE_MS = 2_000

await runCase(import.meta.url, async (site, record) => {
  const answer = (_req, res, headers) => res.writeHead(200, { ...headers, 'Content-Length': 2 }).end('ok')
  for (const zone of ['a', 'b', 'c']) await site.addWorker(`w-${zone}`, 'orders', answer, zone)
  const routes = [{ name: 'reserve', kind: 'non_idempotent', service: 'orders' }]
  const config = (version, keys) => configuration(version, routes, { tenants: [{ name: TENANT, api_keys: [API_KEY, ...keys], priority: 1 }] })
  await site.start(ZONES, config(7, ['k0']))
  const watchedAt = new Map()
  site.storeLinks.forEach((link, i) => { link.onData = line => { if (line.includes('kv-watch')) watchedAt.set(i, record.now()) } })
  await sleep(4_000)
  const isCut = i => site.storeLinks[i].isCut
  const state = { playing: true, count: 0, change: 0 }
  const cutUntil = site.gateways.map(() => -Infinity)
  const removals = []
  const late = []
  let probed = 0
  const probe = async (i, key, removedAt) => {
    const g = site.gateways[i]
    const attempt = `p${String(++state.count).padStart(6, '0')}`
    const sentAt = record.now()
    const result = await fetchOnce({ host: g.address, port: g.port, path: '/reserve/1', attempt, deadlineMs: DEADLINE_MS, headers: { Authorization: `Bearer ${key}` } })
    probed++
    const isInTouch = !isCut(i) && sentAt - cutUntil[i] > CONTACT_MS
    if (result.status !== 200 || !isInTouch || sentAt - removedAt <= APPLY_MS) return
    late.push(`CONFIG: ${attempt} with ${key}, sent to ${g.name} ${sentAt - removedAt} ms after the acknowledgement of its removal, ran`)
  }
  const probes = site.gateways.map(async (_, i) => {
    while (state.playing) {
      await sleep(PROBE_INTERVAL_MS)
      const removal = removals.find(({ at }) => record.now() - at > PROBED_MS[0] && record.now() - at < PROBED_MS[1])
      if (removal !== undefined && !isCut(i)) await probe(i, removal.key, removal.at)
    }
  })
  const change = async () => {
    while (state.playing) {
      await sleep(CHANGE_INTERVAL_MS[0] + Math.random() * (CHANGE_INTERVAL_MS[1] - CHANGE_INTERVAL_MS[0]))
      const n = ++state.change
      site.store.put('op/config', config(7 + 3 * n, [`k${n}`]))
      removals.push({ key: `k${n - 1}`, at: record.now() })
      record.add(`version ${7 + 3 * n}: key k${n - 1} is taken away, k${n} comes`)
    }
  }
  const changes = change()
  for (let n = 0; n < CUTS; n++) {
    const watching = [...watchedAt].filter(([, at]) => record.now() - at < 2_500).map(([i]) => i)
    const others = site.gateways.map((_, i) => i).filter(i => !watching.includes(i))
    const cut = [...watching, ...others].slice(0, Math.floor(ZONES.length * CUT_SHARE))
    record.add(`${site.gateways.filter((_, i) => watching.includes(i)).map(g => g.name).join(', ')} watch the configuration`)
    if (TROUBLE) {
      for (const i of cut) site.storeLinks[i].isCut = true
      record.add(`cut off from the store: ${cut.map(i => site.gateways[i].name).join(', ')}`)
    }
    await sleep(CUT_MS)
    for (const i of cut) {
      if (TROUBLE) site.storeLinks[i].heal()
      cutUntil[i] = TROUBLE ? record.now() : -Infinity
    }
    record.add('all reach the store')
    await sleep(PAUSE_MS)
  }
  state.playing = false
  await Promise.all([...probes, changes])
  record.add(`${probed} probes, ${state.change} changes`)
  return late
})
