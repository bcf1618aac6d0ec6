/**
 * A worker as a process of its own: stream-worker.mjs ID PORT. Its streams have neither a length nor chunks and end with
 * their connection. It prints a line for each request that it runs.
 */
import { createServer } from 'node:http'

const TOKENS_PER_EVENT = 3
const EVENT_INTERVAL_MS = 60
const [id, port] = process.argv.slice(2)

const server = createServer({ keepAliveTimeout: 20_000, requestTimeout: 0 }, (req, res) => {
  req.resume()
  req.on('end', () => {
    if (req.url === '/healthz') return res.writeHead(200, { 'Instance-Id': id }).end()
    if (req.headers['expect-instance'] !== id) return res.writeHead(421, { 'Instance-Id': id }).end()
    const attempt = req.headers['attempt-id']
    console.log(attempt)
    const events = Math.ceil(Number(req.headers['token-count'].split(',')[1]) / TOKENS_PER_EVENT)
    res.useChunkedEncodingByDefault = false
    res.writeHead(200, { 'Attempt-Id': attempt, 'Server-Signature': `${id}.${attempt}`, 'Content-Type': 'text/event-stream', Connection: 'close' })
    const write = event => {
      if (res.destroyed) return
      res.write(`id: ${event}\ndata: tok tok tok\n\n`)
      if (event === events) res.end()
      else setTimeout(() => write(event + 1), EVENT_INTERVAL_MS)
    }
    write(1)
  })
})
server.listen(Number(port), '127.0.0.1', () => console.log('listening'))
