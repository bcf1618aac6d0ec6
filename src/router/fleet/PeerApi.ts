/** tRPC API between routers and for operators' tools, for small requests. Streams use plain HTTP. */
import { createTRPCClient, httpLink } from '@trpc/client'
import { initTRPC, TRPCError } from '@trpc/server'
import { HEADER } from '../../common/Constants.js'
import type { ConfigConfirmation, ConfigManifest, RejectedVersion } from '../../common/config/ConfigJoin.js'
import type { ChatEntry } from '../../common/placement/ChatDirectory.js'
import type { InstanceAddress, MemberState, PlatformList } from '../../common/Types.js'
import { constantTimeEqual } from './Crypto.js'
import type { Fleet } from './Fleet.js'
import type { LinkFilter } from './LinkFilter.js'

const CALL_TIMEOUT_MS = 2_000

/** A member with its state in one instance's membership view. */
export interface MemberStatus extends InstanceAddress {
  readonly state: MemberState
}

/** Load of an endpoint as tracked by one instance. */
export interface EndpointStatus {
  readonly id: string
  /** Outstanding work in decode tokens; -1 when the endpoint accepts no new work. */
  readonly work: number
  readonly inFlight: number
  readonly leaving: boolean
}

/** Status of one instance, for operators. */
export interface NodeStatus {
  readonly id: string
  readonly dataCentre: string
  readonly ready: boolean
  readonly revision: number
  readonly digest: string
  readonly refused: RejectedVersion | null
  readonly members: readonly MemberStatus[]
  readonly endpoints: readonly EndpointStatus[]
  readonly chats: number
  readonly keys: number
  readonly controlBytes: { readonly sent: number, readonly received: number }
  readonly controlMemoryBytes: number
  readonly uptimeMs: number
}

/** The engine that would be chosen for a chat, and why. */
export interface PlacementExplanation {
  readonly ranked: readonly string[]
  readonly home: string | null
  readonly engine: string | null
  readonly reason: string
  readonly cachedTokens: number
}

/** Implementation of the API's procedures. */
export interface IPeerApiHost {
  manifest (): ConfigManifest | undefined
  confirmation (): ConfigConfirmation | undefined
  parts (ids: readonly string[]): ReadonlyArray<readonly [string, string]>
  list (): PlatformList | undefined
  status (): NodeStatus
  findPlacement (keyHash: number, tag: number): ChatEntry | undefined
  explain (account: string, model: string, chat: string): PlacementExplanation
  /** Sends an endpoint the drain command; the returned text contains the fencing token. */
  drain (endpoint: string, undo: boolean): Promise<string>
  blockLinks (names: readonly string[]): boolean
}

interface ApiContext {
  readonly authorized: boolean
}

type Fields = Readonly<Record<string, unknown>>

function asObject (input: unknown): Fields {
  if (typeof input !== 'object' || input === null) throw new TRPCError({ code: 'BAD_REQUEST', message: 'an object is expected' })
  return input as Fields
}

function textField (input: Fields, name: string): string {
  const value = input[name]
  if (typeof value !== 'string' || value === '') throw new TRPCError({ code: 'BAD_REQUEST', message: `/${name}: must be text` })
  return value
}

function numberField (input: Fields, name: string): number {
  const value = input[name]
  if (typeof value !== 'number') throw new TRPCError({ code: 'BAD_REQUEST', message: `/${name}: must be a number` })
  return value
}

function textListField (input: Fields, name: string): readonly string[] {
  const value = input[name]
  if (!Array.isArray(value) || value.some(v => typeof v !== 'string')) throw new TRPCError({ code: 'BAD_REQUEST', message: `/${name}: must be a list of texts` })
  return value as readonly string[]
}

/** Builds the tRPC router; every procedure requires the peer secret. */
export function createPeerApi (host: IPeerApiHost) {
  const t = initTRPC.context<ApiContext>().create()
  const procedure = t.procedure.use(({ ctx, next }) => {
    if (!ctx.authorized) throw new TRPCError({ code: 'UNAUTHORIZED' })
    return next()
  })
  return t.router({
    config: t.router({
      manifest: procedure.query(() => host.manifest() ?? null),
      confirmation: procedure.query(() => host.confirmation() ?? null),
      parts: procedure.input(input => ({ ids: textListField(asObject(input), 'ids') })).query(({ input }) => host.parts(input.ids))
    }),
    list: t.router({ get: procedure.query(() => host.list() ?? null) }),
    status: procedure.query(() => host.status()),
    where: procedure
      .input(input => ({ keyHash: numberField(asObject(input), 'keyHash'), tag: numberField(asObject(input), 'tag') }))
      .query(({ input }) => host.findPlacement(input.keyHash, input.tag) ?? null),
    explain: procedure
      .input(input => ({ account: textField(asObject(input), 'account'), model: textField(asObject(input), 'model'), chat: textField(asObject(input), 'chat') }))
      .query(({ input }) => host.explain(input.account, input.model, input.chat)),
    drain: procedure
      .input(input => ({ endpoint: textField(asObject(input), 'endpoint'), undo: asObject(input).undo === true }))
      .mutation(async ({ input }) => await host.drain(input.endpoint, input.undo)),
    blockLinks: procedure.input(input => ({ names: textListField(asObject(input), 'names') })).mutation(({ input }) => host.blockLinks(input.names))
  })
}

/** Type of the tRPC router, from which clients infer the procedures. */
export type PeerApi = ReturnType<typeof createPeerApi>

/** Context of a request: authorized when its header matches the secret. */
export function createApiContext (secret: string, header: string | undefined): ApiContext {
  return { authorized: header !== undefined && constantTimeEqual(header, secret) }
}

/** Client of one instance's API. @param self id of the calling instance; absent for operators' tools, whose calls are not counted as control traffic. */
export function createPeerApiClient (address: string, port: number, secret: string, self?: string) {
  return createTRPCClient<PeerApi>({
    links: [httpLink({
      url: `http://${address}:${port}/trpc`,
      headers: { [HEADER.peerAuth]: secret, ...(self === undefined ? {} : { [HEADER.peerId]: self }) },
      fetch: async (url, init) => await fetch(url, { ...init, signal: AbortSignal.timeout(CALL_TIMEOUT_MS) } as RequestInit)
    })]
  })
}

/** Typed tRPC client. */
export type PeerApiClient = ReturnType<typeof createPeerApiClient>

/** Cache of the clients of all peers; each is created on first use. */
export class PeerApiClients {
  readonly #fleet: Fleet
  readonly #secret: string
  readonly #links: LinkFilter
  readonly #clients = new Map<string, PeerApiClient>()

  constructor (fleet: Fleet, secret: string, links: LinkFilter) {
    this.#fleet = fleet
    this.#secret = secret
    this.#links = links
  }

  /** The client of an instance; undefined when its address is unknown or its link is blocked. */
  forInstance (id: string): PeerApiClient | undefined {
    const to = this.#fleet.address(id)
    if (to === undefined || !this.#links.passes(id)) return undefined
    return this.forAddress(to.address, to.peerPort)
  }

  /** The client of an address. */
  forAddress (address: string, port: number): PeerApiClient {
    const name = `${address}:${port}`
    let client = this.#clients.get(name)
    if (client === undefined) {
      client = createPeerApiClient(address, port, this.#secret, this.#fleet.self.id)
      this.#clients.set(name, client)
    }
    return client
  }
}
