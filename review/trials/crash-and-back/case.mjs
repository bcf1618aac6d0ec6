/**
 * A worker crashes in the middle of answers without length or chunks and is back two seconds later. The clients' links are
 * narrower than the worker's, so the gateway reaches the end of what the worker sent only after that. It then asks whether
 * the worker's port takes connections, which the new process does, and ends the answers as complete.
 */
import { spawn } from 'node:child_process'
import { fetchOnce } from '../../lib/http-client.mjs'
import { configuration, freePort, runCase, sleep, TROUBLE } from '../../lib/site.mjs'
import { NarrowLink } from '../../lib/slow.mjs'

const ANSWER_BYTES = 8_000_000
const LINK_MBPS = 8 // of each client: 8 s for an answer
const CLIENTS = 4 // at each gateway
const CRASH_AFTER_MS = 1_500
const DOWN_MS = 2_000 // srv_crash of glowline-cairo: for_s from 2.0 to 4.5
const DEADLINE_MS = 15_005
const TIMEOUT_MS = 15_000

await runCase(import.meta.url, async (site, record) => {
  const port = await freePort('127.0.0.1')
  const script = new URL('../../lib/report-worker.mjs', import.meta.url).pathname
  const runs = new Set()
  let worker
  const startWorker = () => {
    worker = spawn(process.execPath, [script, 'w-a', String(port), String(ANSWER_BYTES)], { stdio: ['ignore', 'pipe', 'inherit'] })
    worker.stdout.on('data', text => {
      for (const line of String(text).trim().split('\n')) {
        runs.add(line)
        record.add(`worker: ${line === 'listening' ? line : `runs ${line}`}`)
      }
    })
    const entry = { service: 'pool', address: `127.0.0.1:${port}`, zone: 'a', version: 'v1', slots: 64, cold_left_ms: 0, born: Date.now() }
    site.store.put('servers/w-a', { ...entry, state: 'ready', seq_no: 1 })
  }
  site.links.push({ close: () => worker.kill('SIGKILL') })
  startWorker()
  await site.start(['a', 'b'], configuration(7, [{ name: 'report', kind: 'non_idempotent', service: 'pool', timeoutMs: TIMEOUT_MS, goalMs: 2_000 }]))
  const requests = site.gateways.flatMap((g, i) => Array.from({ length: CLIENTS }, async (_, n) => {
    const link = new NarrowLink(g.address, g.port, LINK_MBPS)
    site.links.push(link)
    await link.listen()
    const attempt = `a${i}${n}`
    const result = await fetchOnce({ host: '127.0.0.1', port: link.port, path: '/report/1', attempt, body: '{}', deadlineMs: DEADLINE_MS })
    record.add(`${attempt} of ${g.name}: ${result.end}, status ${result.status}, ${result.body.length} of ${ANSWER_BYTES} bytes after ${result.afterMs} ms`)
    return { attempt, gateway: g.name, ...result }
  }))
  await sleep(CRASH_AFTER_MS)
  if (TROUBLE) {
    worker.kill('SIGKILL')
    record.add('worker: crashed')
    await sleep(DOWN_MS)
    startWorker()
  }
  const results = await Promise.all(requests)
  return results
    .filter(r => r.end === 'whole' && r.status === 200 && r.body.length < ANSWER_BYTES)
    .map(r => `MIXED: ${r.attempt} got 200 with signature ${r.headers['server-signature']} and a complete body of ${r.body.length} bytes; the worker's has ${ANSWER_BYTES}`)
})
