/** Reads request bodies into memory, up to a size limit. */
import type { IncomingMessage } from 'node:http'
import { err, ok, type Result } from 'neverthrow'
import { ByteBuffer } from '../../common/http/ByteBuffer.js'
import { routeError, type RouteError } from '../../common/Errors.js'

/** Reads a body. One that exceeds `maxBytes` is an error, and the rest of it is discarded; an incomplete one is an error as well. */
export async function readBody (req: IncomingMessage, maxBytes: number): Promise<Result<Uint8Array, RouteError>> {
  if (Number(req.headers['content-length'] ?? 0) > maxBytes) return err(tooLarge(maxBytes))
  return await new Promise(resolve => {
    const body = new ByteBuffer(maxBytes)
    const onData = (piece: Buffer): void => {
      if (body.push(piece)) return
      req.off('data', onData).resume() // its connection is closed a moment after the answer
      resolve(err(tooLarge(maxBytes)))
    }
    req.on('data', onData)
    req.on('end', () => resolve(ok(body.take())))
    req.on('error', e => resolve(err(routeError('invalid_request', 'accept', 'caller', `The body stopped half way: ${e.message}`))))
    req.on('close', () => resolve(err(routeError('invalid_request', 'accept', 'caller', 'The body stopped half way.'))))
  })
}

function tooLarge (maxBytes: number): RouteError {
  return routeError('body_too_large', 'accept', 'caller', `At most ${maxBytes} bytes are taken.`)
}
