/**
 * A worker as a process of its own: report-worker.mjs ID PORT BYTES. Its answers have neither a length nor chunks and end
 * with their connection; it writes them as fast as they are read. It prints a line for each request that it runs.
 */
import { createServer } from 'node:http'

const CHUNK_BYTES = 65_536
const [id, port, bytes] = process.argv.slice(2)

const server = createServer({ keepAliveTimeout: 20_000, requestTimeout: 0 }, (req, res) => {
  req.resume()
  req.on('end', () => {
    if (req.url === '/healthz') return res.writeHead(200, { 'Instance-Id': id }).end()
    if (req.headers['expect-instance'] !== id) return res.writeHead(421, { 'Instance-Id': id }).end()
    const attempt = req.headers['attempt-id']
    console.log(attempt)
    res.useChunkedEncodingByDefault = false
    res.writeHead(200, { 'Attempt-Id': attempt, 'Server-Signature': `${id}.${attempt}`, 'Content-Type': 'text/plain', Connection: 'close' })
    let left = Number(bytes)
    const write = () => {
      while (left > 0) {
        const size = Math.min(left, CHUNK_BYTES)
        left -= size
        if (!res.write(Buffer.alloc(size, 'x'))) {
          res.once('drain', write)
          return
        }
      }
      res.end()
    }
    write()
  })
})
server.listen(Number(port), '127.0.0.1', () => console.log('listening'))
