/** Free ports on loopback, for tests and tools. */
import { createServer, type Server } from 'node:net'

const FIRST_PORT = 10_000
const LAST_PORT = 29_999 // below the ports that the system gives to connections, which would take a port between its choice and its use
const MAX_TRIES = 200

const given = new Set<number>()

/** Listens on a port; undefined when it is in use. */
async function tryListen (port: number): Promise<Server | undefined> {
  const server = createServer()
  return await new Promise(resolve => {
    server.once('error', () => resolve(undefined))
    server.listen(port, '127.0.0.1', () => resolve(server))
  })
}

/** Returns one port that nothing listens on at the time of the call, and that this process hasn't been given before. */
export async function freePort (): Promise<number> {
  for (let i = 0; i < MAX_TRIES; i++) {
    const port = FIRST_PORT + Math.floor(Math.random() * (LAST_PORT - FIRST_PORT + 1))
    if (given.has(port)) continue
    const server = await tryListen(port)
    if (server === undefined) continue
    given.add(port)
    await new Promise<void>(resolve => { server.close(() => resolve()) })
    return port
  }
  throw new Error(`no free port among ${MAX_TRIES} tries`)
}

/** Returns `count` different ports like `freePort`. */
export async function freePorts (count: number): Promise<number[]> {
  const ports: number[] = []
  for (let i = 0; i < count; i++) ports.push(await freePort())
  return ports
}
