/** Parses idempotency keys: tickets issued by an instance, and keys that contain the time at which they were minted. */

/** Process incarnation that issued a ticket; the ticket is valid only there. */
export interface Ticket {
  readonly instance: string
  readonly incarnation: number
}

const TICKET_PATTERN = /^tk~([A-Za-z0-9_.-]{1,63})~(\d{1,15})~([A-Za-z0-9_-]{16,32})$/
const UUID_V7 = /^([0-9a-f]{8})-([0-9a-f]{4})-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}$/i
const ULID = /^[0-7][0-9A-HJKMNP-TV-Z]{25}$/
const CROCKFORD_BASE32 = '0123456789ABCDEFGHJKMNPQRSTVWXYZ'

/** Longest accepted key, in characters. */
export const MAX_KEY_LENGTH = 255

/** Formats a ticket as a key. */
export function formatTicket (ticket: Ticket, random: string): string {
  return `tk~${ticket.instance}~${ticket.incarnation}~${random}`
}

/** Parses a ticket; undefined for other keys. */
export function parseTicket (key: string): Ticket | undefined {
  const match = TICKET_PATTERN.exec(key)
  return match === null ? undefined : { instance: match[1]!, incarnation: Number(match[2]) }
}

/** Wall time in milliseconds at which a UUID version 7 or a ULID was minted; undefined for other keys. */
export function mintTimeOf (key: string): number | undefined {
  const uuid = UUID_V7.exec(key)
  if (uuid !== null) return parseInt(uuid[1]! + uuid[2]!, 16)
  if (!ULID.test(key)) return undefined
  let time = 0
  for (const c of key.slice(0, 10)) time = time * 32 + CROCKFORD_BASE32.indexOf(c)
  return time
}

/** Key of the table, scoped to the account, so that equal keys of different accounts do not collide. */
export function scopedKey (account: string, key: string): string {
  return `${account}\n${key}`
}
