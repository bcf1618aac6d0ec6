import { createServer, type AddressInfo, type Server, type Socket } from 'node:net'
import { afterEach, beforeEach, describe, expect, it } from 'vitest'
import { EndpointLiveness } from './EndpointLiveness.js'

const REUSED_MS = 1_000
const REFUSING_PORT = 1

let server: Server
let liveness: EndpointLiveness
const sockets: Socket[] = []

const sleep = async (ms: number): Promise<void> => { await new Promise(resolve => setTimeout(resolve, ms)) }

/** Ends all connections, as the end of the server's process would. */
const endProcess = (): void => { sockets.splice(0).forEach(socket => socket.destroy()) }

beforeEach(async () => {
  server = createServer(socket => { sockets.push(socket.on('error', () => {})) })
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
  liveness = new EndpointLiveness({ address: '127.0.0.1', port: (server.address() as AddressInfo).port })
})

afterEach(() => {
  liveness.dispose()
  endProcess()
  server.close()
})

describe('EndpointLiveness', () => {
  it('holds beyond the end of an answer, also when the endpoint refuses further connections', async () => {
    const watch = liveness.watch()
    const first = await watch.check()
    server.close()
    expect([first, await watch.check()]).toEqual(['held', 'held'])
  })

  // A successor at the same port answered for the process that had ended.
  it('has ended with the process, though its successor listens at the same port', async () => {
    const watch = liveness.watch()
    await watch.check()
    endProcess()
    const next = liveness.watch()
    expect([await watch.check(), await next.check()]).toEqual(['ended', 'ended'])
    expect(await liveness.watch().check()).toBe('held')
  })

  // A process closes its connections one after the other: the answer's may be the first.
  it('has ended when the connection closes shortly after the answer\'s', async () => {
    const watch = liveness.watch()
    await watch.check()
    const check = watch.check()
    await sleep(10)
    endProcess()
    expect(await check).toBe('ended')
  })

  // The first packets of a connection that is opened at an answer's head may come after the process's end.
  it('is watched from the start of a request once an answer had to be watched', async () => {
    const before = liveness.watchAgain()
    liveness.watch().dispose()
    expect([before, await liveness.watchAgain()?.check()]).toEqual([undefined, 'held'])
  })

  it('is unknown where no connection comes about', async () => {
    const refused = new EndpointLiveness({ address: '127.0.0.1', port: REFUSING_PORT })
    expect(await refused.watch().check()).toBe('unknown')
  })

  // Servers close connections that aren't used; one that watches all answers for good would be closed within some of them.
  it('opens one connection for answers that follow soon, and another one later', async () => {
    const watches = [liveness.watch(), liveness.watch()]
    await Promise.all(watches.map(async watch => await watch.check()))
    watches.forEach(watch => watch.dispose())
    await liveness.watch().check()
    const soon = sockets.length
    await sleep(REUSED_MS)
    await liveness.watch().check()
    expect([soon, sockets.length]).toEqual([1, 2])
  })

  it('closes its connections when no answer needs them, and when it is disposed', async () => {
    const [first, second] = [liveness.watch(), liveness.watch()]
    await first.check()
    const closed = new Promise(resolve => sockets[0]!.once('close', resolve))
    first.dispose()
    await sleep(REUSED_MS)
    const open = !sockets[0]!.destroyed
    sockets[0]!.resume()
    second.dispose()
    await closed
    expect(open).toBe(true)
  })
})
