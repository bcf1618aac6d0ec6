/** Reads headers as they are received. */
import type { HeaderList } from '../gateway/Types.js'

/** Returns the first value of a header; names are compared without case. */
export function getHeader (headers: HeaderList, name: string): string | undefined {
  const wanted = name.toLowerCase()
  for (let i = 0; i + 1 < headers.length; i += 2) {
    if (headers[i]!.toLowerCase() === wanted) return headers[i + 1]
  }
  return undefined
}
