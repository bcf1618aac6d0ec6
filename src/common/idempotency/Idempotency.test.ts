import fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import { CLOCK_SKEW_MS, KEY_RETENTION_MS, LEASE_MS } from '../Constants.js'
import { ownerOf } from '../Rendezvous.js'
import { isFirstOwner, decideKey } from './KeyDecision.js'
import { initialLease, keyOwnership, withConsent, withList, type KeyLease } from './KeyLease.js'
import { KeyTable } from './KeyTable.js'
import { formatTicket, mintTimeOf, parseTicket } from './KeyFormat.js'

const TIMES = { leaseMs: LEASE_MS }
const KEY_TIMES = { skewMs: CLOCK_SKEW_MS, retentionMs: KEY_RETENTION_MS }
const PING_MS = 1_000
const firstById = (_key: string, list: readonly string[]): string | undefined => [...list].sort()[0]
const ownership = (lease: KeyLease, now: number): ReturnType<typeof keyOwnership> => keyOwnership(lease, 'k', now, firstById, TIMES)

/** Applies consents of all peers, except silent ones, each second. */
function consented (lease: KeyLease, from: number, to: number, silent: readonly string[] = []): KeyLease {
  for (let now = from; now <= to; now += PING_MS) {
    for (const peer of lease.list) {
      if (peer !== lease.self && !silent.includes(peer)) lease = withConsent(lease, peer, now, TIMES)
    }
  }
  return lease
}

describe('KeyLease', () => {
  const fresh = withList(initialLease('a'), ['c', 'a', 'b'], 0, TIMES)

  it('requires consent of all peers for a whole lease before it grants ownership', () => {
    expect(ownership(consented(fresh, 0, 2_000), 2_100).isOwner).toBe(false)
    expect(ownership(consented(fresh, 0, 6_000), 6_100)).toEqual({ isOwner: true, exclusiveSince: LEASE_MS })
    expect(ownership(consented(fresh, 0, 6_000, ['b']), 6_100).isOwner).toBe(false)
  })

  it('loses ownership when a peer is silent, or after a suspension of the instance itself', () => {
    const held = consented(fresh, 0, 10_000)
    expect(ownership(held, 10_000 + LEASE_MS).isOwner).toBe(false)
    expect(ownership(consented(held, 11_000, 20_000, ['c']), 20_000).isOwner).toBe(false)
  })

  it('owns only later keys exclusively after the lease expired', () => {
    const lapsed = consented(consented(fresh, 0, 10_000), 30_000, 36_000)
    expect(ownership(lapsed, 36_100)).toEqual({ isOwner: true, exclusiveSince: 30_000 + LEASE_MS })
  })

  it('retains ownership of its keys when another instance is removed from the list', () => {
    const held = consented(fresh, 0, 10_000)
    const shrunk = consented(withList(held, ['a', 'b'], 11_000, TIMES), 11_000, 11_000)
    expect(ownership(shrunk, 11_100)).toEqual({ isOwner: true, exclusiveSince: LEASE_MS })
  })

  it('waits before it takes keys over from a removed owner', () => {
    const held = consented(withList(initialLease('b'), ['a', 'b', 'c'], 0, TIMES), 0, 10_000)
    const taken = withList(held, ['b', 'c'], 11_000, TIMES)
    expect(ownership(consented(taken, 11_000, 12_000), 12_100).isOwner).toBe(false)
    expect(ownership(consented(taken, 11_000, 17_000), 17_100)).toEqual({ isOwner: true, exclusiveSince: 11_000 + LEASE_MS })
  })

  it('grants no ownership to an instance that is not on its own list', () => {
    expect(ownership(consented(withList(fresh, ['b', 'c'], 1_000, TIMES), 1_000, 9_000), 9_000).isOwner).toBe(false)
  })
})

describe('KeyDecision', () => {
  const held = { isOwner: true, exclusiveSince: 10_000 }

  it('runs an unseen key only when no earlier owner can have run it', () => {
    const isFirst = (mintedAt: number | undefined, now: number): boolean => isFirstOwner({ mintedAt, now }, held, KEY_TIMES)
    expect([isFirst(12_001, 20_000), isFirst(12_000, 20_000)]).toEqual([true, false])
    expect([isFirst(undefined, 20_000), isFirst(undefined, 10_000 + KEY_RETENTION_MS)]).toEqual([false, true])
    expect([isFirst(30_000, 20_000), isFirst(15_000, 15_000 + KEY_RETENTION_MS)]).toEqual([false, false])
  })

  it('answers from the stored state regardless of ownership', () => {
    const none = { isOwner: false, exclusiveSince: Infinity }
    const req = { mintedAt: 20_000, now: 20_000 }
    const decide = (state: Parameters<typeof decideKey>[0], r = none): string => decideKey(state, req, r, KEY_TIMES)
    expect([decide('answered'), decide('running'), decide('outcome-unknown', held), decide('unseen'), decide('not-run'), decide('not-run', held)])
      .toEqual(['replay', 'join', 'unknown', 'unknown', 'unknown', 'run'])
  })
})

describe('KeyTable', () => {
  it('starts one run for a key, which repeated requests can wait on', async () => {
    const ledger = new KeyTable()
    let runs = 0
    const run = async (): Promise<{ readonly state: 'not-run' }> => {
      runs++
      return { state: 'not-run' }
    }
    const started = ledger.begin('k', 'f', 0, run)
    expect([ledger.state('k'), ledger.conflicts('k', 'g'), ledger.running('k') === started]).toEqual(['running', true, true])
    await started
    expect([runs, ledger.state('k')]).toEqual([1, 'not-run'])
  })

  it('records a run that throws as outcome-unknown', async () => {
    const ledger = new KeyTable()
    await ledger.begin('k', 'f', 0, async () => { throw new Error('lost') })
    expect(ledger.state('k')).toBe('outcome-unknown')
  })

  it('removes entries after the retention', async () => {
    const ledger = new KeyTable()
    await ledger.begin('k', 'f', 0, async () => ({ state: 'outcome-unknown' }))
    ledger.prune(KEY_RETENTION_MS)
    expect(ledger.size).toBe(1)
    ledger.prune(KEY_RETENTION_MS + 1)
    expect(ledger.size).toBe(0)
  })
})

describe('KeyFormat', () => {
  it('parses mint times of UUID version 7 and ULID, and of nothing else', () => {
    expect(mintTimeOf('018bcfe5-6800-7abc-8def-0123456789ab')).toBe(1_700_000_000_000)
    expect(mintTimeOf('01HF7YAT00ABCDEFGHJKMNPQRS')).toBe(1_700_000_000_000)
    expect(mintTimeOf('018bcfe5-6800-4abc-8def-0123456789ab')).toBeUndefined()
    fc.assert(fc.property(fc.string(), text => { mintTimeOf(text) }), { seed: 4 })
  })

  it('parses the tickets that it formats', () => {
    expect(parseTicket(formatTicket({ instance: 'r1', incarnation: 1_700_000_000_000 }, 'AAAAAAAAAAAAAAAAAAAAAA'))).toEqual({ instance: 'r1', incarnation: 1_700_000_000_000 })
    expect(parseTicket('tk~r1~x~AAAAAAAAAAAAAAAAAAAAAA')).toBeUndefined()
  })
})

describe('ownerOf', () => {
  it('moves only the keys of an instance that leaves', () => {
    fc.assert(fc.property(fc.string(), key => {
      const before = ownerOf(key, ['a', 'b', 'c', 'd'])
      const after = ownerOf(key, ['a', 'b', 'c'])
      if (before !== 'd') expect(after).toBe(before)
    }), { seed: 6 })
  })
})
