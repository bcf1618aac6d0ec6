/** A client attempt on a connection of its own: sends one request, waits for the whole answer until its deadline. */
import { connect } from 'node:net'
import { requestText } from './site.mjs'

/** Splits a complete answer with a length; undefined while it is incomplete. */
export function parseAnswer (bytes) {
  const headEnd = bytes.indexOf('\r\n\r\n')
  if (headEnd < 0) return undefined
  const head = bytes.toString('latin1', 0, headEnd)
  const status = Number(/^HTTP\/1\.1 (\d+)/.exec(head)?.[1])
  const nameAndValue = line => [line.slice(0, line.indexOf(':')).toLowerCase(), line.slice(line.indexOf(':') + 1).trim()]
  const headers = Object.fromEntries(head.split('\r\n').slice(1).map(nameAndValue))
  const length = Number(headers['content-length'] ?? NaN)
  const body = bytes.subarray(headEnd + 4)
  return { status, headers, body, whole: body.length >= length }
}

/**
 * Resolves to { end: 'answered' | 'closed' | 'gave up', status, body, afterMs }.
 * @param delayMs delay of the client's link one way: the client learns so much later that its connection is there.
 */
export async function sendOnce ({ host, port, path, attempt, body = '{}', deadlineMs = 4_002, headers = {}, delayMs = 0 }) {
  const sentAt = performance.now()
  return await new Promise(resolve => {
    const chunks = []
    const socket = connect({ host, port, noDelay: true })
    const finish = end => {
      clearTimeout(timer)
      socket.destroy()
      const answer = parseAnswer(Buffer.concat(chunks))
      const { status = 0, headers = {}, body = Buffer.alloc(0) } = answer ?? {}
      resolve({ end, status, headers, body, afterMs: Math.round(performance.now() - sentAt) })
    }
    const timer = setTimeout(() => finish('gave up'), deadlineMs)
    const text = requestText(path, attempt, body, { 'Deadline-Ms': String(deadlineMs), ...headers })
    socket.on('connect', () => setTimeout(() => socket.write(text), delayMs))
    socket.on('data', chunk => {
      chunks.push(chunk)
      if (parseAnswer(Buffer.concat(chunks))?.whole === true) finish('answered')
    })
    socket.on('end', () => finish('closed'))
    socket.on('error', () => finish('closed'))
  })
}
