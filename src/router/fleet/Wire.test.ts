import fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import type { PeerDatagram } from '../../common/generated/PeerDatagram.js'
import { sampleFile } from '../../common/TestUtils.test.js'
import { VotedConfig } from '../../common/config/VotedConfig.js'
import { CallerAuth } from '../callers/CallerAuth.js'
import { sha256 } from './Crypto.js'
import { DatagramCodec } from './DatagramCodec.js'
import { createRequestId, modelHash, parseRequestId } from '../callers/RequestId.js'

const name = fc.stringMatching(/^[a-z0-9.-]{1,20}$/)
const count = fc.nat()
const rumour = fc.record({
  id: name,
  incarnation: count,
  state: fc.constantFrom('alive' as const, 'suspect' as const, 'dead' as const, 'leaving' as const),
  dataCentre: name,
  address: name,
  peerPort: fc.integer({ min: 1, max: 65535 })
})
const digest = fc.record({
  id: name,
  incarnation: count,
  configRevision: count,
  configDigest: fc.stringMatching(/^[a-z]{0,16}$/),
  members: count,
  loads: fc.array(fc.record({ endpoint: count, work: fc.integer({ min: -1 }) }), { maxLength: 64 })
})
const rate = fc.double({ min: -1, max: 1e6, noNaN: true })
const datagram: fc.Arbitrary<PeerDatagram> = fc.oneof(
  fc.record({ kind: fc.constantFrom('ping' as const, 'ack' as const, 'pingReq' as const), seq: count, target: name, from: digest, rumours: fc.array(rumour, { maxLength: 12 }) }),
  fc.record({ kind: fc.constantFrom('ownPing' as const, 'ownAck' as const), seq: count, id: name, listDigest: count }),
  fc.record({ kind: fc.constantFrom('take' as const, 'grant' as const), seq: count, id: name, subject: name, count, waitMs: count }),
  fc.record({
    kind: fc.constant('news' as const),
    id: name,
    configRevision: count,
    configAgeMs: count,
    listVersion: fc.record({ epoch: count, revision: count }),
    listDigest: count,
    listAgeMs: count,
    loads: fc.array(fc.record({ endpoint: count, requests: count, ageMs: count, failed: count, ended: count }), { maxLength: 48 }),
    limits: fc.array(fc.record({ endpoint: count, startedAtMs: count, requestsPerSec: rate, ageMs: count }), { maxLength: 32 })
  }),
  fc.record({
    kind: fc.constantFrom('askCrashes' as const, 'tellCrashes' as const),
    id: name,
    complete: fc.boolean(),
    crashes: fc.array(fc.record({ part: count, endpoint: count, ageMs: count, refuted: fc.boolean(), unconfirmed: fc.constant(true) }, {
      requiredKeys: ['part', 'endpoint', 'ageMs', 'refuted']
    }), { maxLength: 64 })
  })
)
const evacuations = fc.record({
  known: fc.boolean(),
  version: fc.record({ epoch: count, revision: count }),
  dataCentres: fc.array(fc.record({ name, ageMs: count, maxAgeMs: count, leftMs: count }, { requiredKeys: ['name', 'ageMs', 'maxAgeMs'] }), { maxLength: 16 })
})

describe('DatagramCodec', () => {
  const codec = new DatagramCodec('a secret of the fleet')

  it('round-trips every kind of datagram', () => {
    fc.assert(fc.property(datagram, d => {
      expect(codec.decode(codec.encode(d))._unsafeUnwrap()).toEqual(d)
    }), { seed: 1, numRuns: 300 })
  })

  // The rows are positional: a field that the codec didn't know was left out, and no peer heard of an evacuation.
  it('round-trips the evacuations of gossip', () => {
    const news = { kind: 'news' as const, id: 'g', configRevision: 1, configAgeMs: 2, listVersion: { epoch: 3, revision: 4 }, listDigest: 5, listAgeMs: 6, loads: [], limits: [] }
    fc.assert(fc.property(evacuations, e => {
      expect(codec.decode(codec.encode({ ...news, evacuations: e }))._unsafeUnwrap()).toEqual({ ...news, evacuations: e })
    }), { seed: 4, numRuns: 100 })
  })

  it('rejects datagrams signed with another secret and random bytes, without throwing', () => {
    const other = new DatagramCodec('another secret here')
    fc.assert(fc.property(datagram, fc.uint8Array({ maxLength: 200 }), (d, noise) => {
      expect(codec.decode(other.encode(d)).isErr()).toBe(true)
      expect(codec.decode(Buffer.from(noise)).isErr()).toBe(true)
    }), { seed: 2, numRuns: 300 })
  })

  // Earlier versions read the fields by their position and know no regions.
  it('carries the regions of a restricted session, and nothing more without a restriction', () => {
    const query = { kind: 'askHolder', seq: 1, id: 'g1', service: 's', session: 2, template: 3, sessionTokens: 4, templateTokens: 5, endpoint: 6, source: 0 } as const
    const bytes = [query, { ...query, regions: undefined }, { ...query, regions: [] }, { ...query, regions: ['north', 'south'] }].map(d => codec.encode(d as PeerDatagram))
    expect(bytes.map(b => codec.decode(b)._unsafeUnwrap())).toEqual([query, query, { ...query, regions: [] }, { ...query, regions: ['north', 'south'] }])
    expect(bytes[0]).toEqual(bytes[1])
  })

  it('rejects signed datagrams that violate the schema', () => {
    const bad = { kind: 'ownPing', seq: -1, id: 'r1', listDigest: 1 } as PeerDatagram
    expect(codec.decode(codec.encode(bad)).isErr()).toBe(true)
  })
})

describe('RequestId', () => {
  it('encodes the chat key and the model, and rejects a malformed id', () => {
    fc.assert(fc.property(fc.integer({ min: 0, max: 2 ** 32 - 1 }), fc.integer({ min: 0, max: 2 ** 32 - 1 }), (keyHash, tag) => {
      expect(parseRequestId(createRequestId(keyHash, tag, 'assistant'))).toEqual({ keyHash, tag, modelHash: modelHash('assistant') })
    }), { seed: 3 })
    expect(parseRequestId('chat~x')).toBeUndefined()
  })
})

describe('CallerAuth', () => {
  const file = sampleFile()
  const config = new VotedConfig({ revision: 1, digest: 'd', file: { ...file, accounts: [{ id: 'looms', tier: 'small', keys: [sha256('sk-right').slice(0, 22)] }] } })
  const auth = new CallerAuth()

  it('finds the account of a key, and rejects a wrong or missing key', () => {
    expect(auth.account('Bearer sk-right', config)._unsafeUnwrap().id).toBe('looms')
    for (const header of [undefined, '', 'Bearer ', 'Bearer sk-wrong', 'Basic sk-right', 'Bearer sk right']) {
      expect(auth.account(header, config)._unsafeUnwrapErr().code).toBe('invalid_api_key')
    }
  })
})
