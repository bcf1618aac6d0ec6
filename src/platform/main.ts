#!/usr/bin/env node
/** `radishloft-gateway`: runs one gateway on the users' platform. Exit codes: 0 stopped, 1 failed, 2 invalid settings. */
import { watchFile } from 'node:fs'
import { SeededRandom } from '../common/SeededRandom.js'
import { Gateway } from '../gateway/Gateway.js'
import { GatewayMetrics } from '../gateway/GatewayMetrics.js'
import { SystemClock } from '../router/telemetry/Clock.js'
import { createLog, type Log } from '../router/telemetry/Log.js'
import { RequestCodec } from './RequestCodec.js'
import { loadSettings, type PlatformSettings } from './Settings.js'
import { StoreClient } from './StoreClient.js'
import { ConfigReader, EndpointReader } from './StoreReaders.js'

const EXIT_FAILED = 1
const EXIT_BAD_SETTINGS = 2
const SETTINGS_POLL_INTERVAL_MS = 5_000 // the file may change without a signal
const LIST_INTERVAL_FRACTION = 0.33 // of the time within which a leaving endpoint must be detected; leaves time for a failed read

async function run (path: string, settings: PlatformSettings): Promise<void> {
  const { gateway: gatewaySettings, store: storeAddress, drainMs } = settings
  const log = createLog({ id: gatewaySettings.id, dataCentre: gatewaySettings.dataCentre, logLevel: 'info' })
  const random = new SeededRandom((process.pid * 2654435761 ^ Date.now()) | 0)
  const metrics = new GatewayMetrics()
  const gateway = new Gateway(gatewaySettings, new SystemClock(), random, new RequestCodec(), metrics, log)
  const store = new StoreClient(storeAddress.address, storeAddress.port, metrics)
  const readers = [new ConfigReader(store, random, log, gateway), new EndpointReader(store, random, log, gateway, drainMs * LIST_INTERVAL_FRACTION)]
  let stopping = false
  process.on('SIGTERM', () => {
    if (stopping) return
    stopping = true
    gateway.stop().then(() => exit(log, 0), (e: unknown) => {
      log.error({ step: 'stop', err: String(e) }, 'stop failed')
      exit(log, EXIT_FAILED)
    })
  })
  const reload = (): void => {
    const changed = loadSettings(path)
    if (changed.isOk()) gateway.reload(changed.value.gateway)
    else log.error({ ...changed.error }, 'changed settings rejected')
  }
  process.on('SIGHUP', reload)
  watchFile(path, { interval: SETTINGS_POLL_INTERVAL_MS, persistent: false }, reload)
  process.on('uncaughtException', e => log.error({ step: 'run', err: String(e), stack: e.stack }, 'uncaught error'))
  await gateway.start()
  for (const reader of readers) reader.run().catch((e: unknown) => log.error({ step: 'store', err: String(e) }, 'reader failed'))
}

/** Ends the process once its log is flushed. */
function exit (log: Log, code: number): void {
  log.flush(() => process.exit(code))
}

/** Options of the command line. */
interface Flags {
  readonly settings: string
  readonly checkSettings?: boolean
}

/** Parses the command line. The parser is loaded only when there are flags, to save memory: the platform passes none. */
async function parseFlags (args: readonly string[]): Promise<Flags> {
  const settings = process.env.RADISHLOFT_CONFIG ?? ''
  if (args.length === 0) return { settings }
  const { Command } = await import('commander')
  return new Command('radishloft-gateway')
    .description('One entry instance of the radishloft gateway fleet on the users\' platform')
    .option('--settings <file>', 'settings file that the platform writes', settings)
    .option('--check-settings', 'check the settings and exit')
    .parse(args, { from: 'user' })
    .opts<Flags>()
}

const flags = await parseFlags(process.argv.slice(2))
const settings = loadSettings(flags.settings)
if (settings.isErr()) {
  console.error(JSON.stringify(settings.error))
  process.exit(EXIT_BAD_SETTINGS)
}
if (flags.checkSettings === true) console.log('settings are valid')
else await run(flags.settings, settings.value)
