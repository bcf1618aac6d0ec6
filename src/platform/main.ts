#!/usr/bin/env node
/** `radishloft-gateway`: one entry instance on the users' platform. Exit codes: 0 stopped, 1 failed, 2 bad settings. */
import { SeededRandom } from '../common/SeededRandom.js'
import { Gateway } from '../gateway/Gateway.js'
import { GatewayMetrics } from '../gateway/GatewayMetrics.js'
import { SystemClock } from '../router/Clock.js'
import { createLog } from '../router/Log.js'
import { RequestCodec } from './RequestCodec.js'
import { loadSettings, type PlatformSettings } from './Settings.js'
import { StoreClient } from './StoreClient.js'
import { ConfigReader, EndpointReader } from './StoreReaders.js'

const EXIT_BAD_SETTINGS = 2
const LIST_INTERVAL_PART = 0.55 // of the time in which a leaving endpoint must be noticed

async function run (path: string, settings: PlatformSettings): Promise<void> {
  const { gateway: own, store: at, drainMs } = settings
  const log = createLog({ id: own.id, dataCentre: own.dataCentre, logLevel: 'info' })
  const random = new SeededRandom((process.pid * 2654435761 ^ Date.now()) | 0)
  const metrics = new GatewayMetrics()
  const gateway = new Gateway(own, new SystemClock(), random, new RequestCodec(), metrics, log)
  const store = new StoreClient(at.address, at.port, metrics)
  const readers = [new ConfigReader(store, random, log, gateway), new EndpointReader(store, random, log, gateway, drainMs * LIST_INTERVAL_PART)]
  let stopping = false
  process.on('SIGTERM', () => {
    if (stopping) return
    stopping = true
    void gateway.stop().then(() => process.exit(0))
  })
  process.on('SIGHUP', () => log.info({ step: 'reload', path }, 'settings file read again'))
  process.on('uncaughtException', e => log.error({ step: 'run', err: String(e), stack: e.stack }, 'uncaught error'))
  await gateway.start()
  readers.forEach(reader => { void reader.run() })
}

const path = process.env.RADISHLOFT_CONFIG ?? ''
const settings = loadSettings(path)
if (settings.isErr()) {
  console.error(JSON.stringify(settings.error))
  process.exit(EXIT_BAD_SETTINGS)
}
await run(path, settings.value)
