import fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import { sampleFile } from '../TestUtils.test.js'
import { checkFile, checkFileText } from './FileChecks.js'
import { VotedConfig } from './VotedConfig.js'

describe('FileChecks', () => {
  it('accepts a valid file', () => {
    expect(checkFile(sampleFile()).isOk()).toBe(true)
  })

  it('reports schema errors with pointer, reason and range', () => {
    const file = { ...sampleFile(), loadBound: 9, extra: 1, endpoints: [{ id: 'e1', group: 'g-a', address: 'localhost:80' }] }
    expect(checkFile(file)._unsafeUnwrapErr()).toMatchInlineSnapshot(`
      [
        {
          "pointer": "/",
          "reason": "unknown key "extra"",
        },
        {
          "pointer": "/loadBound",
          "reason": "must be <= 4",
        },
        {
          "pointer": "/endpoints/0/address",
          "reason": "must match pattern "^((25[0-5]|2[0-4]\\d|1?\\d?\\d)(\\.(25[0-5]|2[0-4]\\d|1?\\d?\\d)){3}|\\[[0-9a-fA-F:]+\\]):[0-9]{1,5}$"",
        },
      ]
    `)
  })

  it('reports the errors of all cross-checks at once', () => {
    const file = sampleFile()
    const broken = {
      ...file,
      models: [...file.models, { id: 'unserved' }],
      tiers: [{ ...file.tiers[0]!, sharePercent: 60 }],
      accounts: [file.accounts[0]!, { id: 'second', tier: 'small', keys: ['0123456789abcdef'] }, { id: 'third', tier: 'none', keys: ['fedcba9876543210'] }],
      endpointGroups: [{ ...file.endpointGroups[0]!, dataCentre: 'atlantis' }, file.endpointGroups[1]!],
      endpoints: [...file.endpoints, { id: 'e1', group: 'g-a', address: '127.0.0.1:9001' }]
    }
    expect(checkFile(broken)._unsafeUnwrapErr().map(e => `${e.pointer} ${e.reason}`)).toMatchInlineSnapshot(`
      [
        "/accounts/1/keys/0 another account has the same key",
        "/accounts/2/tier unknown tier "none"",
        "/accounts shares sum to 120.000%, at most 100% can be guaranteed",
        "/endpoints/3/id "e1" stands twice",
        "/endpointGroups/0/dataCentre unknown data centre "atlantis"",
        "/endpoints/3/address "127.0.0.1:9001" stands twice",
        "/models/1 no endpoint serves model "unserved"",
      ]
    `)
  })

  it('never throws, whatever the text', () => {
    fc.assert(fc.property(fc.oneof(fc.string(), fc.json(), fc.jsonValue().map(v => JSON.stringify({ ...sampleFile(), accounts: v }))), text => {
      checkFileText(text)
    }), { seed: 11, numRuns: 500 })
  })

  it('accepts 16,000 accounts and 2,300 endpoints within a megabyte', () => {
    const file = sampleFile()
    const key = (i: number): string => i.toString(36).padStart(16, '_')
    const big = {
      ...file,
      tiers: [{ ...file.tiers[0]!, id: 's', sharePercent: 0.005 }],
      accounts: Array.from({ length: 16_000 }, (_, i) => ({ id: `a${i}`, tier: 's', keys: [key(i)] })),
      endpoints: [
        ...Array.from({ length: 2_300 }, (_, i) => ({ id: `e${i}`, group: 'g-a', address: `10.${i >> 8}.${i & 255}.1:80` })),
        { id: 'w1', group: 's-b', address: '10.200.0.1:80' }
      ]
    }
    const checked = checkFileText(JSON.stringify(big))
    expect(checked.isOk()).toBe(true)
    const config = new VotedConfig({ revision: 1, digest: 'd', file: checked._unsafeUnwrap() })
    expect(config.accountByKeyHash(key(15_999)).map(a => a.id).unwrapOr('')).toBe('a15999')
  })
})

describe('VotedConfig', () => {
  const config = new VotedConfig({ revision: 1, digest: 'd', file: sampleFile() })

  it('treats a call that is not in the file as never to be repeated', () => {
    expect(config.callRule('orders', 'POST', '/quotes').map(r => r.neverRepeat).unwrapOr(true)).toBe(false)
    expect(config.callRule('orders', 'POST', '/other').map(r => r.neverRepeat).unwrapOr(false)).toBe(true)
    expect(config.callRule('unknown', 'POST', '/quotes').isNothing).toBe(true)
  })
})
