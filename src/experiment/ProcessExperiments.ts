/** Experiments with router processes: control traffic, CPU time and memory at several fleet sizes; time until a file is in force. */
import { formatTable } from '../common/Table.js'
import type { VotedFile } from '../common/generated/VotedFile.js'
import { Site, sleep } from '../tools/Site.js'
import { referenceSiteSpec, siteConfigFile } from '../tools/SiteSpec.js'
import { fitLine, fitLineOrMean, evaluateLine, type Line } from './Fit.js'

const BASE_PORT = 24_000
const SIZES = [4, 8, 13, 20, 40] as const
const SETTLE_MS = 12_000 // the JIT compiler runs for some seconds after the start
const MEASURE_SEC = 10
const CHANGES = 3
const PLAN_NODES = 360
const PLAN_DATA_CENTRES = 7
const MEASURED_DATA_CENTRES = 3
const RELAYS_PER_DATA_CENTRE = 2
const PLAN_CHANGES_PER_SEC = 12_000 / 86_400
const PLAN_ACCOUNTS = 16_000

/** Measurements of one fleet size. */
export interface ControlPoint {
  readonly nodes: number
  readonly bytesPerSecPerNode: number
  readonly bytesPerChange: number
  readonly cpuPct: number
  readonly controlMb: number
  readonly platformReadsPerSec: number
}

/** Measured points and the lines fitted to them. */
export interface ControlResult {
  readonly points: readonly ControlPoint[]
  readonly bytes: Line
  /** Bytes of a file change, over the fraction of the nodes that fetch from peers. */
  readonly change: Line
  readonly cpu: Line
  readonly memory: Line
  readonly reads: Line
}

/** A file with the planned number of accounts, so that changes cost as much as at the planned size. */
function plannedFile (site: Site, rate: number): VotedFile {
  const file = siteConfigFile(site.spec, rate)
  const filler = Array.from({ length: PLAN_ACCOUNTS - file.accounts.length }, (_, i) => ({ id: `a${i}`, tier: 'tiny', keys: [i.toString(36).padStart(16, '_')] }))
  return { ...file, tiers: [...file.tiers, { id: 'tiny', requestsPerSec: rate, sharePercent: 0, priority: 3 }], accounts: [...file.accounts, ...filler] }
}

interface Counters {
  readonly bytes: number
  readonly cpuSec: number
  readonly reads: number
}

async function readCounters (site: Site): Promise<Counters> {
  const statuses = await site.statuses()
  return {
    bytes: statuses.reduce((sum, s) => sum + s.controlBytes.sent + s.controlBytes.received, 0),
    cpuSec: site.names.routers.reduce((sum, r) => sum + site.cpuSeconds(r.id), 0),
    reads: (await site.setPlatformFaults({})).reads
  }
}

async function measureSize (nodes: number): Promise<ControlPoint> {
  const engines = Math.max(3, Math.round(nodes * 0.5))
  const site = new Site({ ...referenceSiteSpec(BASE_PORT), routers: nodes, engines, workers: 3 })
  try {
    await site.start()
    await site.waitUntilInForce(await site.publishConfig(plannedFile(site, 10)), 30_000)
    await sleep(SETTLE_MS)
    const before = await readCounters(site)
    await sleep(MEASURE_SEC * 1000)
    const after = await readCounters(site)
    const readCostBytes = (await readCounters(site)).bytes - after.bytes // traffic of reading the counters
    const idleBytes = after.bytes - before.bytes - readCostBytes
    for (let i = 0; i < CHANGES; i++) await site.waitUntilInForce(await site.publishConfig(plannedFile(site, 11 + i)), 30_000)
    await sleep(1_000)
    const changed = await readCounters(site)
    const statuses = await site.statuses()
    return {
      nodes,
      bytesPerSecPerNode: Math.round(idleBytes / MEASURE_SEC / nodes),
      bytesPerChange: Math.round((changed.bytes - after.bytes) / CHANGES / nodes),
      cpuPct: Number(((after.cpuSec - before.cpuSec) / MEASURE_SEC / nodes * 100).toFixed(2)),
      controlMb: Number((statuses.reduce((sum, s) => sum + s.controlMemoryBytes, 0) / nodes / 1e6).toFixed(2)),
      platformReadsPerSec: Number(((after.reads - before.reads) / MEASURE_SEC).toFixed(2))
    }
  } finally {
    await site.stop()
  }
}

/** Fraction of the nodes that fetch a change from a peer: all but the relays. */
function fetchingFraction (nodes: number, dataCentres: number): number {
  return Math.max(0, 1 - RELAYS_PER_DATA_CENTRE * dataCentres / nodes)
}

/** Measures all fleet sizes and fits a line to each measure. */
export async function measureControl (log: (text: string) => void): Promise<ControlResult> {
  const points: ControlPoint[] = []
  for (const nodes of SIZES) {
    points.push(await measureSize(nodes))
    log(`measured ${nodes} nodes`)
  }
  const xs = points.map(p => p.nodes)
  return {
    points,
    bytes: fitLine(xs, points.map(p => p.bytesPerSecPerNode)),
    change: fitLine(xs.map(n => fetchingFraction(n, MEASURED_DATA_CENTRES)), points.map(p => p.bytesPerChange)),
    cpu: fitLineOrMean(xs, points.map(p => p.cpuPct)),
    memory: fitLine(xs, points.map(p => p.controlMb)),
    reads: fitLine(xs, points.map(p => p.platformReadsPerSec))
  }
}

/** Evaluates the fitted lines at a number of nodes; the control traffic includes that of file changes. */
export function projectControl (result: ControlResult, nodes: number, dataCentres = PLAN_DATA_CENTRES): Omit<ControlPoint, 'nodes' | 'bytesPerChange'> {
  const perChange = evaluateLine(result.change, fetchingFraction(nodes, dataCentres))
  return {
    bytesPerSecPerNode: Math.round(evaluateLine(result.bytes, nodes) + perChange * PLAN_CHANGES_PER_SEC),
    cpuPct: Number(evaluateLine(result.cpu, nodes).toFixed(2)),
    controlMb: Number(evaluateLine(result.memory, nodes).toFixed(2)),
    platformReadsPerSec: Number(evaluateLine(result.reads, nodes).toFixed(1))
  }
}

/** Runs the `control` experiment; prints a table, the missed targets at the planned size, and one JSON line. */
export async function runControl (jsonOnly: boolean): Promise<void> {
  const result = await measureControl(text => { if (!jsonOnly) console.log(text) })
  const at360 = projectControl(result, PLAN_NODES)
  if (!jsonOnly) {
    const rows = result.points.map(p => [p.nodes, p.bytesPerSecPerNode, p.bytesPerChange, p.cpuPct, p.controlMb, p.platformReadsPerSec])
    console.log(formatTable(['NODES', 'BYTES/S/NODE', 'BYTES/CHANGE/NODE', 'CPU %', 'CONTROL MB', 'PLATFORM READS/S'], rows))
    const missed = [
      ...result.points.filter(p => p.nodes >= 13 && p.nodes <= 20 && p.bytesPerSecPerNode > 4_000).map(p => `${p.bytesPerSecPerNode} bytes/s at ${p.nodes} nodes, target 4000`),
      ...(at360.bytesPerSecPerNode > 18_000 ? [`${at360.bytesPerSecPerNode} bytes/s at 360 nodes, target 18000`] : []),
      ...(at360.cpuPct > 1.5 ? [`${at360.cpuPct}% of a core at 360 nodes, target 1.5%`] : []),
      ...(at360.controlMb > 32 ? [`${at360.controlMb} MB at 360 nodes, target 32`] : [])
    ]
    console.log(missed.length === 0 ? 'all targets met' : `MISSED: ${missed.join('; ')}`)
  }
  const column = (pick: (p: ControlPoint) => number): number[] => result.points.map(pick)
  const { bytesPerSecPerNode, cpuPct, controlMb } = at360
  console.log(JSON.stringify({
    nodes: column(p => p.nodes),
    bytesPerSecPerNode: column(p => p.bytesPerSecPerNode),
    cpuPct: column(p => p.cpuPct),
    controlMb: column(p => p.controlMb),
    at360: { bytesPerSecPerNode, cpuPct, controlMb }
  }))
}

/** Runs the `config` experiment: time until a file is in force everywhere while 5% of the nodes restart. */
export async function runConfig (jsonOnly: boolean): Promise<void> {
  const site = new Site({ ...referenceSiteSpec(BASE_PORT), routers: 20 })
  const times: number[] = []
  try {
    await site.start()
    await site.waitUntilInForce(await site.publishConfig(plannedFile(site, 20)), 30_000)
    for (let i = 0; i < 5; i++) {
      const id = site.names.routers[(i * 7) % 20]!.id
      site.signal(id, 'SIGKILL')
      await site.waitForExit(id)
      const digest = await site.publishConfig(plannedFile(site, 21 + i))
      const started = performance.now()
      site.startRouter(id)
      await site.waitUntilInForce(digest, 20_000)
      times.push(Math.round(performance.now() - started))
      await site.waitUntilReady(id)
      await sleep(1_000)
    }
  } finally {
    await site.stop()
  }
  if (!jsonOnly) console.log(`20 nodes, one restarting at each change, ${PLAN_ACCOUNTS} accounts: in force everywhere after ${times.join(', ')} ms; target 4000 ms`)
  console.log(JSON.stringify({ nodes: 20, restarting: 1, inForceMs: times, worstMs: Math.max(...times) }))
}
