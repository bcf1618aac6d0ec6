/** HTTP server helpers of the stand-ins. */
import { createServer, type IncomingMessage, type RequestListener, type Server, type ServerResponse } from 'node:http'

const MAX_BODY_BYTES = 16 * 1024 * 1024

/** Reads the whole request body; rejects when it exceeds 16 MiB. */
export async function readBody (req: IncomingMessage): Promise<Buffer> {
  const chunks: Buffer[] = []
  let size = 0
  for await (const chunk of req) {
    size += (chunk as Buffer).length
    if (size > MAX_BODY_BYTES) throw new Error('body too large')
    chunks.push(chunk as Buffer)
  }
  return Buffer.concat(chunks)
}

/** Parses the request body as JSON; an empty body yields an empty object. */
export async function readJson<T> (req: IncomingMessage): Promise<T> {
  const text = (await readBody(req)).toString()
  return (text === '' ? {} : JSON.parse(text)) as T
}

/** Sends a JSON response and ends it. */
export function sendJson (res: ServerResponse, status: number, body: unknown, headers: Readonly<Record<string, string>> = {}): void {
  const text = JSON.stringify(body)
  res.writeHead(status, { 'content-type': 'application/json', 'content-length': Buffer.byteLength(text), ...headers })
  res.end(text)
}

/** Starts an HTTP server on loopback. When the handler rejects, the response is 500, or is cut off if its headers were already sent. */
export async function listen (port: number, handler: (req: IncomingMessage, res: ServerResponse, url: URL) => Promise<void>, address = '127.0.0.1'): Promise<Server> {
  const onRequest: RequestListener = (req, res) => {
    handler(req, res, new URL(req.url ?? '/', 'http://standin')).catch((e: unknown) => {
      if (!res.headersSent) sendJson(res, 500, { error: String(e) })
      else res.destroy()
    })
  }
  const server = createServer({ keepAliveTimeout: 60_000, requestTimeout: 0 }, onRequest)
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject)
    server.listen(port, address, 4096, resolve)
  })
  return server
}
