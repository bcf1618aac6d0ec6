/** Random choice of peers. */
import type { IRandom } from '../common/Services.js'

/** Returns up to `count` of `ids`, chosen at random. */
export function sample (ids: readonly string[], count: number, random: IRandom): readonly string[] {
  if (ids.length <= count) return ids
  const remaining = [...ids]
  return Array.from({ length: count }, () => remaining.splice(Math.floor(random.next() * remaining.length), 1)[0]!)
}
