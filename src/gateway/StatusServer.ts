/** Readiness and metrics for the platform and for operators. */
import { createServer, type Server } from 'node:http'
import { Hono } from 'hono/tiny'
import { getRequestListener } from '@hono/node-server'
import { Disposable, toDisposable } from '../common/Disposable.js'
import { listen } from '../router/callers/CallerHttp.js'
import type { GatewayMetrics } from './GatewayMetrics.js'

/** What the server tells. */
export interface StatusSource {
  readonly readinessPath: string
  readonly metricsPath: string
  readonly metrics: GatewayMetrics
  ready (): boolean
}

/** Builds the routes that all status listeners serve. */
export function statusApp (source: StatusSource): Hono {
  const app = new Hono()
  app.get(source.readinessPath, c => c.text(source.ready() ? 'ready\n' : 'not ready\n', source.ready() ? 200 : 503))
  app.get(source.metricsPath, async c => c.text(await source.metrics.registry.metrics()))
  return app
}

export class StatusServer extends Disposable {
  readonly #server: Server

  constructor (source: StatusSource) {
    super()
    this.#server = createServer(getRequestListener(statusApp(source).fetch))
    this.own(toDisposable(() => {
      this.#server.close()
      this.#server.closeAllConnections()
    }))
  }

  async listen (address: string, port: number): Promise<void> {
    await listen(this.#server, address, port)
  }
}
