#!/usr/bin/env node
/** `radishloft-standin platform|engine|service`: runs one simulated external system as a process, for demos and tests. */
import { Command } from 'commander'
import { checkEngineSettings, formatErrors } from '../common/Schema.js'
import type { EngineSettings } from '../common/generated/EngineSettings.js'
import { SeededRandom } from '../common/SeededRandom.js'
import { EngineServer } from './EngineServer.js'
import { PlatformServer } from './PlatformServer.js'
import { ServiceServer } from './ServiceServer.js'

/** Server that can be stopped gracefully. */
interface Stoppable {
  stop (): Promise<void>
}

function stopOnSignal (server: Stoppable): void {
  const stop = (): void => {
    server.stop().finally(() => setTimeout(() => process.exit(0), 50))
  }
  process.once('SIGTERM', stop)
  process.once('SIGINT', stop)
}

const program = new Command('radishloft-standin').description('Stand-ins of the external systems of radishloft')

program.command('platform')
  .requiredOption('--port <port>', 'port on loopback', Number)
  .option('--list-lag-ms <ms>', 'delay after which the instance list shows a change', Number, 2000)
  .action(async (opts: { readonly port: number, readonly listLagMs: number }) => {
    const server = new PlatformServer(opts.port, opts.listLagMs)
    await server.start()
    stopOnSignal(server)
  })

program.command('engine')
  .argument('<settings>', 'settings as JSON')
  .action(async (text: string) => {
    const checked = checkEngineSettings(JSON.parse(text))
    if (checked.isErr()) {
      console.error(formatErrors(checked.error))
      process.exit(2)
    }
    const settings = checked.value as Required<EngineSettings>
    const server = new EngineServer(settings, new SeededRandom(settings.seed))
    await server.start()
    stopOnSignal(server)
  })

program.command('service')
  .requiredOption('--id <id>', 'name of the worker')
  .requiredOption('--port <port>', 'port on loopback', Number)
  .action(async (opts: { readonly id: string, readonly port: number }) => {
    const server = new ServiceServer(opts.id, opts.port, new SeededRandom(1))
    await server.start()
    stopOnSignal(server)
  })

await program.parseAsync()
