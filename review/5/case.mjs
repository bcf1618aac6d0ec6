/**
 * A gateway is stopped with SIGTERM. A client that keeps its connection sends its next chat as soon as the one before has
 * ended, a little over three seconds after the signal. The gateway accepts it, as it expects the answer to end in time, and
 * breaks it off when it exits: it expects 12 ms a token, the engines take 20.
 */
import { Agent } from 'node:http'
import { fetchOnce } from '../http-client.mjs'
import { API_KEY, configuration, runCase, sleep, TROUBLE } from '../site.mjs'

const CLIENTS = 40 // at each gateway, each with one connection
const TOKENS_PER_EVENT = 3
const MS_PER_TOKEN = 20
const PROMPT_TOKENS = 713 // counter-chat of glowline-cairo: 603 shared and 110 of its own
const ANSWER_TOKENS = [60, 276] // up to its 92 events of 3 tokens
const FIRST_EVENT_MS = 60
const THINK_MS = 5
const DEADLINE_MS = 15_005
const TIMEOUT_MS = 15_000
const GRACE_MS = 8_000
const EXCUSED_MS = 3_000 // a request sent by then may still be at work in the last sixth of the grace

/** Streams the answer, an event of three tokens at a time. */
function streamAnswer (req, res, headers) {
  const events = Math.ceil(Number(req.headers['token-count'].split(',')[1]) / TOKENS_PER_EVENT)
  res.writeHead(200, { ...headers, 'Content-Type': 'text/event-stream', 'Server-Load': '20,0,64' })
  const write = id => {
    if (res.destroyed) return
    res.write(`id: ${id}\ndata: tok tok tok\n\n`)
    if (id === events) res.end()
    else setTimeout(() => write(id + 1), TOKENS_PER_EVENT * MS_PER_TOKEN)
  }
  setTimeout(() => write(1), FIRST_EVENT_MS)
}

await runCase(import.meta.url, async (site, record) => {
  for (const zone of ['a', 'b']) await site.addWorker(`w-${zone}`, 'pool', streamAnswer, zone)
  await site.start(['a', 'b'], configuration(7, [{ name: 'chat', kind: 'streaming', service: 'pool', timeoutMs: TIMEOUT_MS, goalMs: 500 }]))
  const results = []
  const state = { playing: true, count: 0 }
  const [stopped] = site.gateways
  const isInRotation = site.gateways.map(() => true)
  const isOver = i => !state.playing || !isInRotation[i]
  const chat = async (i, agent) => {
    const n = ++state.count
    const attempt = `a${String(n).padStart(6, '0')}`
    const tokens = Math.round(ANSWER_TOKENS[0] + Math.random() * (ANSWER_TOKENS[1] - ANSWER_TOKENS[0]))
    const events = Math.ceil(tokens / TOKENS_PER_EVENT)
    const headers = {
      Authorization: `Bearer ${API_KEY}`,
      Model: 'm',
      'Token-Count': `${PROMPT_TOKENS},${tokens}`,
      'Prefix-Hash': `5c1e07a2:103,${(n % 38).toString(16)}bd3f06:500,${n.toString(16)}:110`
    }
    const sentAt = record.now()
    const result = await fetchOnce({ host: site.gateways[i].address, port: site.gateways[i].port, path: '/chat/1', attempt, body: '{}', deadlineMs: DEADLINE_MS, headers, agent })
    const got = (result.body.toString().match(/^id: /gm) ?? []).length
    results.push({ attempt, gateway: site.gateways[i].name, sentAt, overAt: record.now(), events, got, ...result })
    record.add(`${attempt} of ${site.gateways[i].name}, sent at ${sentAt}: ${result.end}, status ${result.status}, ${got} of ${events} events after ${result.afterMs} ms`)
    return result.headers.connection !== 'close' && result.end === 'whole'
  }
  /** A client: chat after chat on a kept connection, then on another one. */
  const client = async i => {
    await sleep(Math.random() * 2_000)
    while (!isOver(i)) {
      const agent = new Agent({ keepAlive: true, maxSockets: 1 })
      while (state.playing && await chat(i, agent)) await sleep(THINK_MS)
      agent.destroy()
      await sleep(THINK_MS)
    }
  }
  const clients = site.gateways.flatMap((_, i) => Array.from({ length: CLIENTS }, async () => await client(i)))
  await sleep(6_000)
  const stoppedAt = record.now()
  if (TROUBLE) {
    stopped.signal('SIGTERM')
    record.add(`SIGTERM  ${stopped.name}`)
  }
  await sleep(2_000)
  isInRotation[0] = !TROUBLE // no new connections after two misses of the readiness check
  await sleep(GRACE_MS)
  state.playing = false
  await Promise.all(clients)
  const runs = new Set(site.workers.flatMap(w => w.runs.map(r => r.attempt)))
  record.add(`requests ${results.length}, runs ${runs.size}, whole answers ${results.filter(r => r.end === 'whole' && r.got === r.events).length}`)
  return results
    .filter(r => runs.has(r.attempt) && (r.end === 'cut' || r.end === 'no answer') && r.gateway === stopped.name && r.sentAt - stoppedAt > EXCUSED_MS)
    .map(r => `LOST: ${r.attempt} was sent ${r.sentAt - stoppedAt} ms after the SIGTERM, ran, and ended after ${r.got} of ${r.events} events, ${r.overAt - stoppedAt} ms after the SIGTERM`)
})
