/** Hashes, random ids and constant-time comparison. */
import { createHash, createHmac, randomBytes, timingSafeEqual } from 'node:crypto'

/** SHA-256 as base64url. */
export function sha256 (text: string | Uint8Array): string {
  return createHash('sha256').update(text).digest('base64url')
}

/** HMAC-SHA-256, truncated to `length` bytes. */
export function hmac (key: string, data: Uint8Array, length: number): Buffer {
  return createHmac('sha256', key).update(data).digest().subarray(0, length)
}

/** Compares two texts in a time that does not depend on the position of the first difference. */
export function constantTimeEqual (a: string, b: string): boolean {
  const digest = (text: string): Buffer => createHash('sha256').update(text).digest()
  return timingSafeEqual(digest(a), digest(b))
}

/** 128 random bits as 22 characters of base64url. */
export function randomId (): string {
  return randomBytes(16).toString('base64url')
}
