/** HTTP server for readiness checks and metrics. */
import { createServer, type Server } from 'node:http'
import polka, { type Polka, type Request } from 'polka'
import { Disposable, toDisposable } from '../common/Disposable.js'
import { listen } from '../router/callers/HttpUtils.js'
import type { GatewayMetrics } from './GatewayMetrics.js'

/** Paths and data that the server serves. */
export interface StatusSource {
  readonly readinessPath: string
  readonly metricsPath: string
  readonly metrics: GatewayMetrics
  ready (): boolean
}

/** Builds the routes that all status servers share. */
export function statusApp (source: StatusSource): Polka {
  return polka()
    .get(source.readinessPath, (_req, res) => {
      res.statusCode = source.ready() ? 200 : 503
      res.end(source.ready() ? 'ready\n' : 'not ready\n')
    })
    .get(source.metricsPath, async (_req, res) => {
      res.setHeader('Content-Type', source.metrics.registry.contentType)
      res.end(await source.metrics.registry.metrics())
    })
}

export class StatusServer extends Disposable {
  readonly #server: Server

  constructor (source: StatusSource) {
    super()
    const app = statusApp(source)
    this.#server = createServer((req, res) => app.handler(req as Request, res))
    this.own(toDisposable(() => {
      this.#server.close()
      this.#server.closeAllConnections()
    }))
  }

  async listen (address: string, port: number): Promise<void> {
    await listen(this.#server, address, port)
  }
}
