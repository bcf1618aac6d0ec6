/** `npm run capacity`: measures control traffic over fleet sizes and writes the tables between the markers of docs/CAPACITY.md. */
import { readFileSync, writeFileSync } from 'node:fs'
import type { Line } from './Fit.js'
import { measureControl, projectControl, type ControlResult } from './ProcessExperiments.js'

const PAGE = new URL('../../docs/CAPACITY.md', import.meta.url)
const BEGIN = '<!-- measured: written by npm run capacity -->'
const END = '<!-- end of measured -->'
const SIZES: ReadonlyArray<readonly [string, number, number]> = [['Cusco today', 13, 3], ['two-year plan', 360, 7], ['thousands', 2_000, 7]]

function row (cells: ReadonlyArray<string | number>): string {
  return `| ${cells.join(' | ')} |`
}

function fitRow (name: string, line: Line): string {
  return row([name, line.intercept.toPrecision(4), line.slope.toPrecision(4), line.r2.toFixed(3)])
}

function tables (result: ControlResult): string {
  const measured = result.points.map(p => row([p.nodes, p.bytesPerSecPerNode, p.bytesPerChange, p.cpuPct, p.controlMb, p.platformReadsPerSec]))
  const projected = SIZES.map(([name, nodes, dataCentres]) => {
    const projection = projectControl(result, nodes, dataCentres)
    return row([name, nodes, projection.bytesPerSecPerNode, projection.cpuPct, projection.controlMb, projection.platformReadsPerSec])
  })
  return [
    row(['nodes', 'control bytes/s a node', 'bytes a file change, a node', 'CPU % a node', 'control MB a node', 'platform reads/s, all']),
    row(Array(6).fill('---')),
    ...measured,
    '',
    row(['fit over nodes', 'base', 'slope a node', 'r2']),
    row(Array(4).fill('---')),
    fitRow('control bytes/s', result.bytes),
    fitRow('bytes a file change (over the part that fetches)', result.change),
    fitRow('CPU %', result.cpu),
    fitRow('control MB', result.memory),
    fitRow('platform reads/s', result.reads),
    '',
    row(['size', 'nodes', 'control bytes/s a node, 12,000 changes a day', 'CPU % a node', 'control MB a node', 'platform reads/s, all']),
    row(Array(6).fill('---')),
    ...projected
  ].join('\n')
}

const page = readFileSync(PAGE, 'utf8')
const result = await measureControl(text => console.log(text))
const start = page.indexOf(BEGIN) + BEGIN.length
writeFileSync(PAGE, `${page.slice(0, start)}\n\n${tables(result)}\n\n${page.slice(page.indexOf(END))}`)
console.log(tables(result))
