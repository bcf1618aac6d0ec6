/** Reads a body as text, up to a size limit. */
import { ByteBuffer } from './ByteBuffer.js'

/** Reads a body as UTF-8. Rejects, and reads no further, when it has more than `maxBytes`. */
export async function readText (body: AsyncIterable<Uint8Array>, maxBytes: number): Promise<string> {
  const received = new ByteBuffer(maxBytes)
  for await (const piece of body) {
    if (!received.push(piece)) throw new Error(`more than ${maxBytes} bytes`)
  }
  return new TextDecoder().decode(received.take())
}
