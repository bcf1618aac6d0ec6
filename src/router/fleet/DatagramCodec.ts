/** Wire format of datagrams: a truncated HMAC, then MessagePack of positional arrays, which saves the field names. */
import { timingSafeEqual } from 'node:crypto'
import { decode, encode } from '@msgpack/msgpack'
import { err, type Result } from 'neverthrow'
import type {
  AllowanceDatagram, CrashDatagram, EvacuationReport, GossipDatagram, GossipedEvacuation, GossipedLimit, HolderDatagram, InstanceDigest, MemberRumour,
  OwnershipDatagram, PartCrash, PeerDatagram, ProbeDatagram
} from '../../common/generated/PeerDatagram.js'
import { checkPeerDatagram, formatErrors } from '../../common/Schema.js'
import { hmac } from './Crypto.js'

const KINDS = ['ping', 'ack', 'pingReq', 'ownPing', 'ownAck', 'take', 'grant', 'news', 'askHolder', 'tellHolder', 'findHolder', 'copyHolder', 'askCrashes', 'tellCrashes'] as const
const STATES = ['alive', 'suspect', 'dead', 'leaving'] as const
const MAC_BYTES = 12
const UNCONFIRMED = 2
const UNCONFIRMED_REFUTED = 3
const COUNT_SCALE = 10 // decayed counts are encoded in tenths
const NO_TIME_LEFT = -1 // for an evacuation that the platform still has, which no time ends

type Row = readonly unknown[]

function digestRow (d: InstanceDigest): Row {
  return [d.id, d.incarnation, d.configRevision, d.configDigest, d.members, d.loads.flatMap(l => [l.endpoint, Math.round(l.work)])]
}

function rumourRow (r: MemberRumour): Row {
  return [r.id, r.incarnation, STATES.indexOf(r.state), r.dataCentre, r.address, r.peerPort]
}

function toRow (datagram: PeerDatagram): Row {
  const kind = KINDS.indexOf(datagram.kind)
  switch (datagram.kind) {
    case 'ping':
    case 'ack':
    case 'pingReq':
      return [kind, datagram.seq, datagram.target ?? '', digestRow(datagram.from), datagram.rumours.map(rumourRow)]
    case 'ownPing':
    case 'ownAck':
      return [kind, datagram.seq, datagram.id, datagram.listDigest]
    case 'take':
    case 'grant':
      return [kind, datagram.seq, datagram.id, datagram.subject, datagram.count, Math.ceil(datagram.waitMs)]
    case 'news':
      return gossipRow(kind, datagram)
    case 'askHolder':
    case 'findHolder':
    case 'tellHolder':
    case 'copyHolder':
      return holderRow(kind, datagram)
    case 'askCrashes':
    case 'tellCrashes':
      return [kind, datagram.id, datagram.complete, datagram.crashes.flatMap(c => [c.part, c.endpoint, Math.round(c.ageMs), crashFlags(c)])]
  }
}

/** A boolean for a confirmed crash, which instances of the version before read as well; else a number, which they drop. */
function crashFlags ({ refuted, unconfirmed }: PartCrash): number | boolean {
  if (unconfirmed !== true) return refuted
  return refuted ? UNCONFIRMED_REFUTED : UNCONFIRMED
}

function crashFlagsOf (flags: unknown): Pick<PartCrash, 'refuted' | 'unconfirmed'> {
  const isUnconfirmed = flags === UNCONFIRMED || flags === UNCONFIRMED_REFUTED
  return isUnconfirmed ? { refuted: flags === UNCONFIRMED_REFUTED, unconfirmed: true } : { refuted: flags as boolean }
}

function crashesOf (kind: CrashDatagram['kind'], row: Row): CrashDatagram {
  const [, id, complete, flat] = row
  const values = flat as ReadonlyArray<number | boolean>
  const crashes = []
  for (let i = 0; i + 3 < values.length; i += 4) {
    const [part, endpoint, ageMs, flags] = values.slice(i, i + 4)
    crashes.push({ part, endpoint, ageMs, ...crashFlagsOf(flags) })
  }
  return { kind, id, complete, crashes } as CrashDatagram
}

function holderRow (kind: number, d: HolderDatagram): Row {
  const row = [kind, d.seq, d.id, d.service, d.session, d.template, d.sessionTokens, d.templateTokens, d.endpoint, d.source]
  return d.regions === undefined ? row : [...row, d.regions]
}

function holderOf (row: Row): HolderDatagram {
  const [kind, seq, id, service, session, template, sessionTokens, templateTokens, endpoint, source, regions] = row
  const restriction = regions === undefined ? {} : { regions }
  return { kind: KINDS[kind as number], seq, id, service, session, template, sessionTokens, templateTokens, endpoint, source, ...restriction } as HolderDatagram
}

function gossipRow (kind: number, d: GossipDatagram): Row {
  const loads = d.loads.flatMap(l => [l.endpoint, l.requests, l.ageMs, Math.round(l.failed * COUNT_SCALE), Math.round(l.ended * COUNT_SCALE)])
  const limits = d.limits.flatMap(l => [l.endpoint, l.startedAtMs, l.requestsPerSec, l.ageMs])
  const row = [kind, d.id, d.configRevision, d.configAgeMs, d.listVersion.revision, d.listDigest, d.listAgeMs, loads, limits, d.listVersion.epoch]
  return d.evacuations === undefined ? row : [...row, evacuationsRow(d.evacuations)]
}

function evacuationsRow ({ known, version, dataCentres }: EvacuationReport): Row {
  return [known, version.epoch, version.revision, dataCentres.flatMap(d => [d.name, d.ageMs, d.maxAgeMs, d.leftMs ?? NO_TIME_LEFT])]
}

function evacuationsOf (row: Row): EvacuationReport {
  const [known, epoch, revision, flat] = row as readonly [boolean, number, number, ReadonlyArray<string | number>]
  const dataCentres = []
  for (let i = 0; i + 3 < flat.length; i += 4) {
    const [name, ageMs, maxAgeMs, leftMs] = flat.slice(i, i + 4)
    dataCentres.push({ name, ageMs, maxAgeMs, ...leftMs === NO_TIME_LEFT ? {} : { leftMs } } as GossipedEvacuation)
  }
  return { known, version: { epoch, revision }, dataCentres }
}

function gossipOf (row: Row): GossipDatagram {
  const [, id, configRevision, configAgeMs, revision, listDigest, listAgeMs, flat, flatLimits, epoch = 0, evacuationsPart] = row
  const numbers = flat as readonly number[]
  const loads = []
  for (let i = 0; i + 4 < numbers.length; i += 5) {
    const [endpoint, requests, ageMs, failed, ended] = numbers.slice(i, i + 5)
    loads.push({ endpoint: endpoint!, requests: requests!, ageMs: ageMs!, failed: failed! / COUNT_SCALE, ended: ended! / COUNT_SCALE })
  }
  const limits = limitsOf(flatLimits as readonly number[])
  const evacuations = evacuationsPart === undefined ? {} : { evacuations: evacuationsOf(evacuationsPart as Row) }
  return { kind: 'news', id, configRevision, configAgeMs, listVersion: { epoch, revision }, listDigest, listAgeMs, loads, limits, ...evacuations } as GossipDatagram
}

function limitsOf (flat: readonly number[]): GossipedLimit[] {
  const limits = []
  for (let i = 0; i + 3 < flat.length; i += 4) {
    const [endpoint, startedAtMs, requestsPerSec, ageMs] = flat.slice(i, i + 4)
    limits.push({ endpoint: endpoint!, startedAtMs: startedAtMs!, requestsPerSec: requestsPerSec!, ageMs: ageMs! })
  }
  return limits
}

function digestOf (row: Row): InstanceDigest {
  const flat = row[5] as readonly number[]
  const loads = []
  for (let i = 0; i + 1 < flat.length; i += 2) loads.push({ endpoint: flat[i]!, work: flat[i + 1]! })
  return { id: row[0], incarnation: row[1], configRevision: row[2], configDigest: row[3], members: row[4], loads } as InstanceDigest
}

function rumourOf (row: Row): MemberRumour {
  return { id: row[0], incarnation: row[1], state: STATES[row[2] as number], dataCentre: row[3], address: row[4], peerPort: row[5] } as MemberRumour
}

function fromRow (row: Row): PeerDatagram {
  const kind = KINDS[row[0] as number]
  if (kind === 'news') return gossipOf(row)
  if (kind === 'askHolder' || kind === 'findHolder' || kind === 'tellHolder' || kind === 'copyHolder') return holderOf(row)
  if (kind === 'ownPing' || kind === 'ownAck') return { kind, seq: row[1], id: row[2], listDigest: row[3] } as OwnershipDatagram
  if (kind === 'take' || kind === 'grant') return { kind, seq: row[1], id: row[2], subject: row[3], count: row[4], waitMs: row[5] } as AllowanceDatagram
  if (kind === 'askCrashes' || kind === 'tellCrashes') return crashesOf(kind, row)
  return { kind, seq: row[1], target: row[2], from: digestOf(row[3] as Row), rumours: (row[4] as readonly Row[]).map(rumourOf) } as ProbeDatagram
}

/** Encodes, signs, verifies and decodes datagrams. */
export class DatagramCodec {
  readonly #secret: string

  constructor (secret: string) {
    this.#secret = secret
  }

  /** Encodes and signs a datagram. */
  encode (datagram: PeerDatagram): Buffer {
    const body = encode(toRow(datagram))
    return Buffer.concat([hmac(this.#secret, body, MAC_BYTES), body])
  }

  /** Verifies and decodes a datagram; an error when the signature is wrong or the schema is violated. */
  decode (bytes: Buffer): Result<PeerDatagram, string> {
    const body = bytes.subarray(MAC_BYTES)
    if (body.length === 0 || !timingSafeEqual(bytes.subarray(0, MAC_BYTES), hmac(this.#secret, body, MAC_BYTES))) return err('bad signature')
    try {
      return checkPeerDatagram(fromRow(decode(body) as Row)).mapErr(formatErrors)
    } catch (e) {
      return err(`undecodable: ${String(e)}`)
    }
  }
}
