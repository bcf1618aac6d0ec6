#!/usr/bin/env node
/** `radishloftctl`: checks configuration files and operates the fleet. Exit codes: 0 success, 1 negative result, 2 usage or connection error. */
import { createHash } from 'node:crypto'
import { readFileSync } from 'node:fs'
import { Command } from 'commander'
import { diffFiles } from '../common/config/ConfigParts.js'
import { checkFileText } from '../common/config/FileChecks.js'
import type { VotedFile } from '../common/generated/VotedFile.js'
import { FleetClient, type FleetRow } from './FleetClient.js'
import { formatTable } from '../common/Table.js'
import { readGatewayStatus } from './GatewayClient.js'
import { formatGatewayStatus } from './GatewayTable.js'

const EXIT_FAILURE = 1
const EXIT_USAGE = 2
const POLL_MS = 200
const NODE_HELP = 'peer address of any instance'

interface NodeFlags {
  readonly node: string
  readonly secret?: string
  readonly json?: boolean
}

/** Either `node` or `gateway` is given. */
interface StatusFlags extends Omit<NodeFlags, 'node'> {
  readonly node?: string
  readonly gateway?: string
}

function print (json: boolean | undefined, value: unknown, text: string): void {
  console.log(json === true ? JSON.stringify(value) : text)
}

function fail (message: string, code: number): never {
  console.error(message)
  process.exit(code)
}

function readText (path: string): string {
  try {
    return readFileSync(path, 'utf8')
  } catch (e) {
    return fail(`cannot read ${path}: ${(e as Error).message}`, EXIT_USAGE)
  }
}

function readConfigFile (path: string): VotedFile {
  const checked = checkFileText(readText(path))
  if (checked.isErr()) return fail(`${path} is not valid; run "radishloftctl check ${path}" for details`, EXIT_FAILURE)
  return checked.value
}

function createClient (flags: NodeFlags): FleetClient {
  const secret = flags.secret ?? process.env.RADISHLOFT_PEER_SECRET
  if (secret === undefined) return fail('no peer secret: pass --secret or set RADISHLOFT_PEER_SECRET', EXIT_USAGE)
  return new FleetClient(flags.node, secret)
}

function check (path: string, flags: { readonly json?: boolean }): void {
  const text = readText(path)
  const checked = checkFileText(text)
  if (checked.isErr()) {
    print(flags.json, { valid: false, errors: checked.error }, checked.error.map(e => `${e.pointer}: ${e.reason}`).join('\n'))
    process.exit(EXIT_FAILURE)
  }
  const digest = createHash('sha256').update(text).digest('base64url')
  const { accounts, endpoints } = checked.value
  print(flags.json, { valid: true, digest, accounts: accounts.length, endpoints: endpoints.length }, `valid\ndigest ${digest}\n${accounts.length} accounts, ${endpoints.length} endpoints`)
}

function diff (before: string, after: string, flags: { readonly json?: boolean }): void {
  const diffs = diffFiles(readConfigFile(before), readConfigFile(after))
  const lines = diffs.flatMap(d => [
    ...d.added.map(id => `+ ${d.section} ${id}`),
    ...d.removed.map(id => `- ${d.section} ${id}`),
    ...d.changed.map(id => `~ ${d.section} ${id}`)
  ])
  print(flags.json, diffs, lines.length === 0 ? 'no difference' : lines.join('\n'))
}

async function fetchRows (flags: NodeFlags): Promise<readonly FleetRow[]> {
  const rows = await createClient(flags).statuses()
  if (rows.isErr()) return fail(`${rows.error.peer}: ${rows.error.detail}`, EXIT_USAGE)
  return rows.value
}

async function status ({ node, gateway, ...flags }: StatusFlags): Promise<void> {
  if (node !== undefined && gateway === undefined) return await fleetStatus({ node, ...flags })
  if (gateway !== undefined && node === undefined) return await gatewayStatus(gateway, flags.json)
  fail('pass either --node or --gateway', EXIT_USAGE)
}

async function gatewayStatus (gateway: string, json: boolean | undefined): Promise<void> {
  const read = await readGatewayStatus(gateway)
  if (read.isErr()) return fail(`${read.error.peer}: ${read.error.detail}`, EXIT_USAGE)
  print(json, read.value, formatGatewayStatus(read.value))
}

async function fleetStatus (flags: NodeFlags): Promise<void> {
  const rows = await fetchRows(flags)
  const table = rows.map(({ id, status: s }) => {
    if (s.isErr()) return [id, '-', '-', '-', '-', '-', s.error.detail]
    const nodeStatus = s.value
    const alive = nodeStatus.members.filter(m => m.state === 'alive').length + 1
    const refused = nodeStatus.refused === null ? '' : `refused revision ${nodeStatus.refused.revision}`
    const loads = nodeStatus.endpoints.map(e => `${e.id}=${e.leaving ? 'leaving' : e.work}`).join(' ')
    return [id, nodeStatus.dataCentre, nodeStatus.ready ? 'ready' : 'not ready', nodeStatus.revision, nodeStatus.digest.slice(0, 12), alive, [loads, refused].filter(t => t !== '').join('; ')]
  })
  print(flags.json, rows.map(r => r.status.isOk() ? r.status.value : { id: r.id, error: r.status.error }),
    formatTable(['INSTANCE', 'DATA CENTRE', 'STATE', 'REVISION', 'DIGEST', 'ALIVE', 'ENDPOINTS'], table))
}

/** One line that describes why the digest is not in force on an instance; empty if it is. */
function describeMismatch (row: FleetRow, digest: string): string {
  if (row.status.isErr()) return `${row.id}: ${row.status.error.detail}`
  const { digest: currentDigest, revision, refused } = row.status.value
  if (currentDigest === digest) return ''
  if (refused?.digest === digest) return `${row.id}: refused, ${refused.errors.slice(0, 5).map(e => `${e.pointer}: ${e.reason}`).join('; ')}`
  return `${row.id}: has revision ${revision} (${currentDigest.slice(0, 12)})`
}

async function wait (flags: NodeFlags & { readonly digest: string, readonly timeout: number }): Promise<void> {
  const deadline = performance.now() + flags.timeout * 1000
  for (;;) {
    const lagging = (await fetchRows(flags)).map(r => describeMismatch(r, flags.digest)).filter(line => line !== '')
    if (lagging.length === 0) return print(flags.json, { inForce: true }, 'in force everywhere')
    if (performance.now() > deadline || lagging.some(line => line.includes(': refused'))) {
      print(flags.json, { inForce: false, behind: lagging }, lagging.join('\n'))
      process.exit(EXIT_FAILURE)
    }
    await new Promise(resolve => setTimeout(resolve, POLL_MS))
  }
}

async function explain (flags: NodeFlags & { readonly account: string, readonly model: string, readonly chat: string }): Promise<void> {
  const explanation = await createClient(flags).api.explain.query({ account: flags.account, model: flags.model, chat: flags.chat })
  print(flags.json, explanation, `engines in order: ${explanation.ranked.join(', ')}\nhome: ${explanation.home ?? 'none'}\nwould go to: ${explanation.engine ?? 'none'} (${explanation.reason}, ${explanation.cachedTokens} tokens held)`)
}

async function drain (endpoint: string, flags: NodeFlags & { readonly undo?: boolean }): Promise<void> {
  const answer = await createClient(flags).api.drain.mutate({ endpoint, undo: flags.undo ?? false })
  print(flags.json, { answer }, answer)
}

function addNodeOptions (command: Command): Command {
  return addSecretOptions(command.requiredOption('--node <ip:port>', NODE_HELP))
}

function addSecretOptions (command: Command): Command {
  return command
    .option('--secret <secret>', 'peer secret; default: RADISHLOFT_PEER_SECRET')
    .option('--json', 'print JSON')
}

const program = new Command('radishloftctl').description('Command-line tool for operating a radishloft router fleet')
program.command('check').argument('<file>').option('--json', 'print JSON').description('check a configuration file').action(check)
program.command('diff').argument('<old>').argument('<new>').option('--json', 'print JSON').description('show what a configuration file would change').action(diff)
addSecretOptions(program.command('status')).description('show the state of each router, or of one gateway')
  .option('--node <ip:port>', NODE_HELP)
  .option('--gateway <ip:port>', 'metrics address of a gateway; needs no secret')
  .action(status)
addNodeOptions(program.command('wait')).description('wait until a configuration file is in force on all instances')
  .requiredOption('--digest <digest>', 'digest as printed by check')
  .option('--timeout <seconds>', 'timeout in seconds', Number, 10)
  .action(wait)
addNodeOptions(program.command('explain')).description('show which engine a chat would be placed on')
  .requiredOption('--account <id>').requiredOption('--model <id>').requiredOption('--chat <id>', 'explicit chat id')
  .action(explain)
addNodeOptions(program.command('drain')).argument('<endpoint>').option('--undo', 'cancel the drain').description('drain an engine: send it no new work').action(drain)

program.parseAsync().catch((e: unknown) => fail((e as Error).message, EXIT_USAGE))
