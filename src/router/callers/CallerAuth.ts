/** Authenticates callers by their bearer key. */
import { err, ok, type Result } from 'neverthrow'
import type { ClientAccount, VotedConfig } from '../../common/config/VotedConfig.js'
import { routeError, type RouteError } from '../../common/Errors.js'
import { constantTimeEqual, sha256 } from '../fleet/Crypto.js'

const BEARER = /^Bearer ([\x21-\x7e]{1,512})$/i
const CACHE_SIZE = 4_096 // a cache hit costs less than hashing the key

/** Maps bearer keys to client accounts, with a cache of key hashes. */
export class CallerAuth {
  readonly #cache = new Map<string, string>()

  /** The client account of an `Authorization` header. */
  account (header: string | undefined, config: VotedConfig): Result<ClientAccount, RouteError> {
    const key = BEARER.exec(header ?? '')?.[1]
    if (key === undefined) return err(routeError('invalid_api_key', 'authenticate', 'caller'))
    const hash = this.#hash(key)
    const account = config.accountByKeyHash(hash)
    const known = account.isJust ? account.value.keys : ['']
    const matches = known.filter(k => constantTimeEqual(k, hash.slice(0, k.length)) && k !== '')
    return account.isJust && matches.length > 0 ? ok(account.value) : err(routeError('invalid_api_key', 'authenticate', 'caller'))
  }

  #hash (key: string): string {
    let hash = this.#cache.get(key)
    if (hash === undefined) {
      hash = sha256(key)
      if (this.#cache.size >= CACHE_SIZE) this.#cache.clear()
      this.#cache.set(key, hash)
    }
    return hash
  }
}
