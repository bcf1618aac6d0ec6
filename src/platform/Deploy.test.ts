/** Starts the built gateway with the flags of the deploy file. Needs `npm run build` first, as `npm run verify` does. */
import { spawn, type ChildProcess } from 'node:child_process'
import { mkdtempSync, readFileSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { createInterface } from 'node:readline'
import { afterEach, describe, expect, it } from 'vitest'
import { freePorts } from '../tools/FreePort.js'

const ERROR_LEVEL = 50
const STEADY_MS = 500

interface Line {
  readonly level: number
  readonly msg: string
}

let child: ChildProcess | undefined
afterEach(() => { child?.kill('SIGKILL') })

/** Words of the deploy file's `run` command, with the development build in place of the deployed one. */
function commandOf (deployFile: string): string[] {
  const run = /^run = "(.*)"$/m.exec(readFileSync(deployFile, 'utf8'))?.[1] ?? ''
  return run.replace('target/', 'dist/').split(' ')
}

describe('the deploy file', () => {
  it('starts a gateway that logs no error', async () => {
    const [callers, readiness, store, peers] = await freePorts(4)
    const settings = join(mkdtempSync(join(tmpdir(), 'radishloft-')), 'settings.json')
    writeFileSync(settings, JSON.stringify({
      node_name: 'edge-1',
      ip: '127.0.0.3',
      zone: 'a',
      listen: { frontend: `127.0.0.1:${callers}`, readiness: `127.0.0.1:${readiness}` },
      platform: { address: `127.0.0.1:${store}` },
      port_range: [peers]
    }))
    const [program, ...args] = commandOf('deploy/system.toml')
    child = spawn(program!, args, { env: { PATH: process.env.PATH, RADISHLOFT_CONFIG: settings } })
    const lines: Line[] = []
    await new Promise<void>(resolve => {
      createInterface({ input: child!.stdout! }).on('line', text => {
        const line = JSON.parse(text) as Line
        lines.push(line)
        if (line.msg === 'listening') setTimeout(resolve, STEADY_MS)
      })
    })
    expect(lines.filter(l => l.level >= ERROR_LEVEL)).toEqual([])
  })
})
