#!/usr/bin/env node
/** `radishloft-load`: returning chats and marked calls against running entries; prints one JSON line. */
import { Command } from 'commander'
import { LoadGenerator, type LoadPlan } from './LoadGenerator.js'

interface Flags extends Omit<LoadPlan, 'entries' | 'accounts' | 'pauseMs' | 'promptChars'> {
  readonly entry: readonly string[]
  readonly key: string
  readonly account: string
}

const program = new Command('radishloft-load')
  .description('Drives returning chats and marked calls for a time')
  .requiredOption('--entry <url...>', 'base URLs of the entries')
  .requiredOption('--key <key>', 'bearer key')
  .option('--account <id>', 'account of the key', 'load')
  .option('--model <id>', 'model', 'assistant')
  .option('--service <id>', 'plain service', 'orders')
  .option('--path <path>', 'path of the marked call', '/reservations')
  .option('--chats <n>', 'chats at a time', Number, 20)
  .option('--callers <n>', 'callers of marked calls', Number, 2)
  .option('--seconds <n>', 'duration', Number, 10)
  .option('--seed <n>', 'seed', Number, 1)
  .option('--answer-tokens <n>', 'length of each answer', Number, 40)
  .action(async (flags: Flags) => {
    const { entry, key, account, ...plan } = flags
    const counts = await new LoadGenerator({ ...plan, entries: entry, accounts: [{ id: account, key, weight: 1 }], pauseMs: 500, promptChars: 800 }).run()
    const { calls, firstTokenMs, failures, cuts, ...numbers } = counts
    firstTokenMs.sort((a, b) => a - b)
    const firstTokenP95Ms = Math.round(firstTokenMs[Math.floor(firstTokenMs.length * 0.95)] ?? 0)
    console.log(JSON.stringify({ ...numbers, marked: calls.size, cuts: cuts.length, firstTokenP95Ms, failures: failures.slice(0, 5) }))
  })

await program.parseAsync()
