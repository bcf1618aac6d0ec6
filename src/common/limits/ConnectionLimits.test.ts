import { describe, expect, it } from 'vitest'
import { connectionLimits, type ConnectionLimits } from './ConnectionLimits.js'

const MB = 1_048_576
const HEAP_MB = 100
const RESERVED = 200

const limitsOf = (memoryMb: number, maxDescriptors: number): ConnectionLimits =>
  connectionLimits({ memoryBytes: memoryMb * MB, heapBytes: HEAP_MB * MB, maxDescriptors })

describe('connectionLimits', () => {
  // Limits that ordinary clients reach would refuse their requests: some hundred clients with a few connections each.
  it('leaves room for ordinary clients in the smallest and the largest deployment', () => {
    expect([limitsOf(160, 2_069), limitsOf(602, 10_592)]).toMatchInlineSnapshot(`
      [
        {
          "guaranteedForwards": 601,
          "maxBufferedBytes": 10485760,
          "maxConnections": 1203,
          "maxIdleEndpointConnections": 233,
          "maxPartialHeads": 160,
          "maxPipelined": 16,
          "maxPipelinedTogether": 640,
          "maxSockets": 1805,
          "maxUnreadBytes": 10485760,
        },
        {
          "guaranteedForwards": 3442,
          "maxBufferedBytes": 39452672,
          "maxConnections": 3200,
          "maxIdleEndpointConnections": 1299,
          "maxPartialHeads": 602,
          "maxPipelined": 16,
          "maxPipelinedTogether": 640,
          "maxSockets": 10328,
          "maxUnreadBytes": 39452672,
        },
      ]
    `)
  })

  // The descriptors of callers, endpoints, peers and the store together must not exceed what the process may open.
  it.each([250, 600, 2_069, 10_592])('keeps descriptors for files and for connections to the store and to peers: %d', maxDescriptors => {
    const limits = limitsOf(10_000, maxDescriptors)
    expect(limits.maxSockets).toBeLessThan(maxDescriptors - RESERVED)
    expect(limits.maxConnections + limits.guaranteedForwards).toBeLessThanOrEqual(limits.maxSockets)
  })

  it('allows at least one of each where there is next to nothing', () => {
    expect(Math.min(...Object.values(limitsOf(0, 0)))).toBe(1)
  })
})
