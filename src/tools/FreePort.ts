/** Free ports on loopback, for tests and tools. */
import { createServer, type AddressInfo } from 'node:net'

/** Returns `count` different ports that nothing listens on at the time of the call. */
export async function freePorts (count: number): Promise<number[]> {
  const servers = Array.from({ length: count }, () => createServer())
  await Promise.all(servers.map(async s => { await new Promise<void>(resolve => { s.listen(0, '127.0.0.1', resolve) }) }))
  const ports = servers.map(s => (s.address() as AddressInfo).port)
  await Promise.all(servers.map(async s => { await new Promise<void>(resolve => { s.close(() => resolve()) }) }))
  return ports
}

/** Returns one port that nothing listens on at the time of the call. */
export async function freePort (): Promise<number> {
  return (await freePorts(1))[0]!
}
