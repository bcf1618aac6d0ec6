/** A client attempt by Node's own client on a connection of its own; tells whether the answer came whole. */
import { request } from 'node:http'
import { API_KEY, HOST } from './site.mjs'

/** Resolves to { end: 'whole' | 'cut' | 'no answer' | 'gave up', status, headers, body, afterMs }; never rejects. */
export async function fetchOnce ({ host, port, method = 'POST', path, attempt, body = '', deadlineMs, headers = {}, agent = false }) {
  const sentAt = performance.now()
  const allHeaders = { Host: HOST, 'Attempt-Id': attempt, 'Deadline-Ms': String(deadlineMs), Authorization: `Bearer ${API_KEY}`, ...headers }
  return await new Promise(resolve => {
    const chunks = []
    let res
    const finish = end => {
      clearTimeout(timer)
      if (end !== 'whole') req.destroy()
      const afterMs = Math.round(performance.now() - sentAt)
      resolve({ end, status: res?.statusCode ?? 0, headers: res?.headers ?? {}, body: Buffer.concat(chunks), afterMs })
    }
    const req = request({ host, port, method, path, agent, headers: allHeaders }, answer => {
      res = answer
      answer.on('data', chunk => chunks.push(chunk))
      answer.on('end', () => finish(answer.complete ? 'whole' : 'cut'))
      answer.on('error', () => finish('cut'))
    })
    const timer = setTimeout(() => finish('gave up'), deadlineMs)
    req.on('error', () => finish(res === undefined ? 'no answer' : 'cut'))
    req.end(body)
  })
}
