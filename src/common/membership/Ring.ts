/** Order of members on a hash ring. */
import { hashString } from '../Hash.js'

/** The id that follows `self` on the ring; empty when there is none. */
export function successorOf (self: string, ids: readonly string[]): string {
  const position = hashString(self)
  const distance = (id: string): number => (hashString(id) - position) >>> 0
  return ids.reduce((best, id) => best === '' || distance(id) < distance(best) ? id : best, '')
}
