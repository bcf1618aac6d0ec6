/** Tells whether an endpoint lives by opening a connection to it: the port of a process that has ended refuses connections. */
import { connect } from 'node:net'

const CONNECT_TIMEOUT_MS = 150

/** `silent` when neither a connection nor a refusal came in time: the network or a full queue of connections may be the cause. */
export type ProbeResult = 'accepted' | 'refused' | 'silent'

/** An endpoint to connect to. */
export interface ProbeTarget {
  readonly id: string
  readonly address: string
  readonly port: number
}

/** Probes an address; never rejects. */
export type ConnectProbe = (target: ProbeTarget) => Promise<ProbeResult>

/** Opens a connection and closes it at once. */
export const probeByConnecting: ConnectProbe = async ({ address: host, port }) => await new Promise(resolve => {
  const socket = connect({ host, port, timeout: CONNECT_TIMEOUT_MS })
  const end = (result: ProbeResult): void => {
    socket.destroy()
    resolve(result)
  }
  socket.once('connect', () => end('accepted'))
  socket.once('timeout', () => end('silent'))
  socket.on('error', (e: NodeJS.ErrnoException) => end(e.code === 'ECONNREFUSED' ? 'refused' : 'silent'))
})
