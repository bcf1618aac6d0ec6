#!/usr/bin/env node
/** `radishloft-load`: sends returning chats and service calls to running entries; prints the results as one JSON line. */
import { Command } from 'commander'
import { LoadGenerator, type LoadPlan } from './LoadGenerator.js'

interface Flags extends Omit<LoadPlan, 'entries' | 'accounts' | 'pauseMs' | 'promptChars'> {
  readonly entry: readonly string[]
  readonly key: string
  readonly account: string
}

const program = new Command('radishloft-load')
  .description('Sends returning chats and service calls for a given time')
  .requiredOption('--entry <url...>', 'base URLs of the entries')
  .requiredOption('--key <key>', 'API key')
  .option('--account <id>', 'client account of the key', 'load')
  .option('--model <id>', 'model', 'assistant')
  .option('--service <id>', 'plain service', 'orders')
  .option('--path <path>', 'path of the service call', '/reservations')
  .option('--chats <n>', 'concurrent chats', Number, 20)
  .option('--callers <n>', 'concurrent callers of the service', Number, 2)
  .option('--seconds <n>', 'duration in seconds', Number, 10)
  .option('--seed <n>', 'seed', Number, 1)
  .option('--answer-tokens <n>', 'tokens of each answer', Number, 40)
  .action(async (flags: Flags) => {
    const { entry, key, account, ...plan } = flags
    const counts = await new LoadGenerator({ ...plan, entries: entry, accounts: [{ id: account, key, weight: 1 }], pauseMs: 500, promptChars: 800 }).run()
    const { calls, firstTokenMs, failures, cuts, ...numbers } = counts
    firstTokenMs.sort((a, b) => a - b)
    const firstTokenP95Ms = Math.round(firstTokenMs[Math.floor(firstTokenMs.length * 0.95)] ?? 0)
    console.log(JSON.stringify({ ...numbers, marked: calls.size, cuts: cuts.length, firstTokenP95Ms, failures: failures.slice(0, 5) }))
  })

await program.parseAsync()
