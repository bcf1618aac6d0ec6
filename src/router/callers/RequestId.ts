/** Request ids of chats. They encode the chat's key and model, so that any entry instance can find the response again without a store. */
import { hashString } from '../../common/Hash.js'
import { randomId } from '../fleet/Crypto.js'

const REQUEST_ID = /^chat~([0-9a-z]{1,7})~([0-9a-z]{1,7})~([0-9a-z]{1,7})~[A-Za-z0-9_-]{8,32}$/

/** Fields encoded in a request id. */
export interface ParsedRequestId {
  readonly keyHash: number
  readonly tag: number
  readonly modelHash: number
}

/** Hash of a model's name, as encoded in a request id. */
export function modelHash (model: string): number {
  return hashString(model, 0x85157af5)
}

/** New request id for a chat, with a random suffix. */
export function createRequestId (keyHash: number, tag: number, model: string): string {
  return `chat~${keyHash.toString(36)}~${tag.toString(36)}~${modelHash(model).toString(36)}~${randomId()}`
}

/** Decodes a request id; undefined when it is malformed. */
export function parseRequestId (id: string): ParsedRequestId | undefined {
  const match = REQUEST_ID.exec(id)
  if (match === null) return undefined
  const [keyHash, tag, model] = match.slice(1, 4).map(part => parseInt(part, 36))
  return { keyHash: keyHash!, tag: tag!, modelHash: model! }
}
