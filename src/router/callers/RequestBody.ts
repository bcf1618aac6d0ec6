/** Reads request bodies into memory, up to a size limit. */
import type { IncomingMessage } from 'node:http'
import { err, ok, type Result } from 'neverthrow'
import { ByteBuffer } from '../../common/http/ByteBuffer.js'
import { routeError, type RouteError } from '../../common/Errors.js'
import type { IByteReservation } from '../../common/limits/ByteBudget.js'

const RETRY_AFTER_MS = 300

/**
 * Reads a body. One that exceeds `maxBytes` is an error, and the rest of it is discarded; an incomplete one is an error as well.
 * @param reservation from which the bytes are taken: all of them before the first is read, when there is a length.
 */
export async function readBody (req: IncomingMessage, maxBytes: number, reservation?: IByteReservation): Promise<Result<Uint8Array, RouteError>> {
  const length = Number(req.headers['content-length'] ?? 0)
  if (length > maxBytes) return err(tooLarge(maxBytes))
  if (length > 0 && reservation?.grow(length) === false) return err(memoryFull())
  return await new Promise(resolve => {
    const body = new ByteBuffer(maxBytes)
    const onData = (piece: Buffer): void => {
      const fits = length > 0 || reservation?.grow(piece.length) !== false
      if (fits && body.push(piece)) return
      req.off('data', onData).resume() // its connection is closed a moment after the answer
      resolve(err(fits ? tooLarge(maxBytes) : memoryFull()))
    }
    req.on('data', onData)
    req.on('end', () => resolve(ok(body.take())))
    req.on('error', e => resolve(err(routeError('invalid_request', 'accept', 'caller', `The body stopped half way: ${e.message}`))))
    req.on('close', () => resolve(err(routeError('invalid_request', 'accept', 'caller', 'The body stopped half way.'))))
  })
}

function memoryFull (): RouteError {
  return routeError('memory_full', 'accept', 'caller', '', RETRY_AFTER_MS)
}

function tooLarge (maxBytes: number): RouteError {
  return routeError('body_too_large', 'accept', 'caller', `At most ${maxBytes} bytes are taken.`)
}
