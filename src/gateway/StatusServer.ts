/** HTTP server for readiness checks, metrics and, at the address of the metrics, the gateway's state. */
import { createServer, type Server } from 'node:http'
import polka, { type Polka, type Request } from 'polka'
import { Disposable, toDisposable } from '../common/Disposable.js'
import { GATEWAY_STATUS_PATH, type GatewayStatus } from '../common/GatewayStatus.js'
import { listen } from '../router/callers/HttpUtils.js'
import type { GatewayMetrics } from './GatewayMetrics.js'

/** Paths and data that the server serves. */
export interface StatusSource {
  readonly readinessPath: string
  readonly metricsPath: string
  readonly metrics: GatewayMetrics
  ready (): boolean
  /** State for operators; absent where it isn't served. */
  readonly status?: () => GatewayStatus
}

/** Builds the routes of a status server. */
export function statusApp (source: StatusSource): Polka {
  const { status } = source
  const app = polka()
    .get(source.readinessPath, (_req, res) => {
      res.statusCode = source.ready() ? 200 : 503
      res.end(source.ready() ? 'ready\n' : 'not ready\n')
    })
    .get(source.metricsPath, async (_req, res) => {
      res.setHeader('Content-Type', source.metrics.registry.contentType)
      res.end(await source.metrics.registry.metrics())
    })
  if (status === undefined) return app
  return app.get(GATEWAY_STATUS_PATH, (_req, res) => {
    res.setHeader('Content-Type', 'application/json')
    res.end(JSON.stringify(status()) + '\n')
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
