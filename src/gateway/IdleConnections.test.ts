import { PassThrough } from 'node:stream'
import { describe, expect, it } from 'vitest'
import { IdleConnections } from './IdleConnections.js'

describe('IdleConnections', () => {
  // Each of very many endpoints kept some connections, and together they took the descriptors of callers.
  it('closes the connection that has been unused for longest for a new one', () => {
    const idle = new IdleConnections(2)
    const [a, b, c, d] = [new PassThrough(), new PassThrough(), new PassThrough(), new PassThrough()]
    for (const connection of [a, b]) idle.add(connection)
    idle.remove(a)
    for (const connection of [c, d]) idle.add(connection)
    expect([[a, b, c, d].map(connection => connection.destroyed), idle.size]).toEqual([[false, true, false, false], 2])
  })

  // They took the place of callers' connections and of requests that were forwarded.
  it('closes connections when others need their room', () => {
    const idle = new IdleConnections(3)
    const connections = [new PassThrough(), new PassThrough(), new PassThrough()]
    connections.forEach(connection => idle.add(connection))
    idle.setRoom(1)
    expect([connections.map(connection => connection.destroyed), idle.size]).toEqual([[true, true, false], 1])
  })
})
