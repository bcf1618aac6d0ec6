#!/usr/bin/env node
/** `radishloft-router`: runs one router instance. Exit codes: 0 stopped, 1 failed while running, 2 invalid settings. */
import { Command, Option } from 'commander'
import { SeededRandom } from '../common/SeededRandom.js'
import { SystemClock } from './telemetry/Clock.js'
import { createLog } from './telemetry/Log.js'
import { Router } from './Router.js'
import { loadSettings, type FullSettings } from './Settings.js'

interface Flags {
  readonly settings: string
  readonly checkSettings?: boolean
  readonly [override: string]: unknown
}

const EXIT_BAD_SETTINGS = 2

function overridesOf (flags: Flags): Record<string, unknown> {
  const { settings, checkSettings, ...overrides } = flags
  return Object.fromEntries(Object.entries(overrides).filter(([, value]) => value !== undefined))
}

async function run (settings: FullSettings): Promise<void> {
  const log = createLog(settings)
  const router = new Router(settings, new SystemClock(), new SeededRandom((process.pid * 2654435761 ^ Date.now()) | 0), log)
  let stopping = false
  const stop = (signal: string): void => {
    if (stopping) {
      log.warn({ signal }, 'already stopping; waiting for requests in flight')
      return
    }
    stopping = true
    router.stop().then(() => process.exit(0), (e: unknown) => {
      log.error({ err: String(e) }, 'stop failed')
      process.exit(1)
    })
  }
  process.on('SIGTERM', () => stop('SIGTERM'))
  process.on('SIGINT', () => stop('SIGINT'))
  process.on('uncaughtException', e => log.error({ err: String(e), stack: e.stack }, 'uncaught error'))
  await router.start()
}

const program = new Command('radishloft-router')
  .description('One entry instance of the radishloft router fleet')
  .requiredOption('--settings <file>', 'settings as JSON')
  .option('--check-settings', 'check the settings and exit')
  .option('--id <id>', 'override /id')
  .option('--data-centre <name>', 'override /dataCentre')
  .option('--address <ip>', 'override /address')
  .option('--caller-port <port>', 'override /callerPort', Number)
  .option('--peer-port <port>', 'override /peerPort', Number)
  .option('--platform <url>', 'override /platform')
  .addOption(new Option('--log-level <level>', 'override /logLevel'))
  .action(async (flags: Flags) => {
    const settings = loadSettings(flags.settings, overridesOf(flags))
    if (settings.isErr()) {
      for (const e of settings.error) console.error(`${e.pointer}: ${e.reason}`)
      process.exit(EXIT_BAD_SETTINGS)
    }
    if (flags.checkSettings === true) {
      console.log('settings are valid')
      return
    }
    await run(settings.value)
  })

await program.parseAsync()
