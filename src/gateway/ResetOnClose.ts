/**
 * Makes the close of a connection a reset, for a response whose end only the close of its connection marks. `resetAndDestroy` of
 * Node isn't enough: it ends the writable side first, and to the peer that completes the response.
 */
import type { Socket } from 'node:net'

/** Sets whether any close of the connection from now on resets it, which discards bytes that weren't sent yet. */
export function setResetOnClose (socket: Socket, reset: boolean): void {
  Object.assign(socket, { resetAndClosing: reset }) // the flag of Node's own that `destroy` reads
}
