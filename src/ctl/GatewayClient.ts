/** Reads the state of a gateway from its metrics address. */
import { err, ok, ResultAsync, type Result } from 'neverthrow'
import { request } from 'undici'
import { GATEWAY_STATUS_PATH, type GatewayStatus } from '../common/GatewayStatus.js'
import type { FleetError } from './FleetClient.js'

const TIMEOUT_MS = 5_000

/** @param gateway IP address and port of the metrics. */
export async function readGatewayStatus (gateway: string): Promise<Result<GatewayStatus, FleetError>> {
  const toError = (e: unknown): FleetError => ({ step: 'call', peer: gateway, detail: (e as Error).message })
  return (await ResultAsync.fromPromise(fetchBody(gateway), toError)).andThen(({ status, text }) => {
    const body = status === 200 ? parseStatus(text) : undefined
    return body === undefined ? err({ step: 'call' as const, peer: gateway, detail: `answers ${status}, not the state of a gateway` }) : ok(body)
  })
}

async function fetchBody (gateway: string): Promise<{ readonly status: number, readonly text: string }> {
  const { statusCode, body } = await request(`http://${gateway}${GATEWAY_STATUS_PATH}`, { signal: AbortSignal.timeout(TIMEOUT_MS) })
  return { status: statusCode, text: await body.text() }
}

/** Undefined for text that isn't a gateway's state. */
function parseStatus (text: string): GatewayStatus | undefined {
  try {
    const value = JSON.parse(text) as Partial<GatewayStatus> | null
    return value?.config === undefined || value.list === undefined ? undefined : value as GatewayStatus
  } catch {
    return undefined
  }
}
