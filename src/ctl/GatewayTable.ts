/** Formats the state of a gateway for a terminal. */
import type { GatewayStatus } from '../common/GatewayStatus.js'
import { formatTable } from '../common/Table.js'

type Row = ReadonlyArray<string | number>

/** One table for the gateway and its services, and one for each kind of restriction that is in force. */
export function formatGatewayStatus (status: GatewayStatus): string {
  return [
    formatSummary(status),
    formatSection(['SERVICE', 'ENDPOINTS', 'LEAVING'], status.services.map(s => [s.service, s.endpoints, s.leaving])),
    formatEvacuations(status),
    formatSection(['COLD ENDPOINT', 'SERVICE', 'LEFT', 'PER SECOND'], status.coldEndpoints.map(c => [c.endpoint, c.service, formatTime(c.leftMs), c.requestsPerSec])),
    formatSection(['NAMED LIMIT OF', 'SERVICE', 'AGE', 'PER SECOND'], status.namedLimits.map(l => [l.endpoint, l.service, formatTime(l.ageMs), l.requestsPerSec]))
  ].filter(text => text !== '').join('\n\n')
}

function formatSummary ({ id, dataCentre, ready, config, list, gateways }: GatewayStatus): string {
  const { epoch, revision } = list.version
  const header = ['GATEWAY', 'DATA CENTRE', 'STATE', 'REVISION', 'AGE', 'LIST', 'AGE', 'GATEWAYS', 'LIVE']
  const state = ready ? 'ready' : 'not ready'
  return formatTable(header, [[
    id, dataCentre, state, config.revision, formatTime(config.ageMs), `${epoch}/${revision}`, formatTime(list.ageMs), gateways.counted, gateways.live.length
  ]])
}

function formatEvacuations ({ evacuations }: GatewayStatus): string {
  if (evacuations === undefined) return ''
  if (!evacuations.known) return 'evacuations not known yet: every data centre counts as evacuated'
  return formatSection(['EVACUATED', 'AGE'], evacuations.inForce.map(e => [e.dataCentre, formatTime(e.ageMs)]))
}

/** A table; empty without rows. */
function formatSection (header: readonly string[], rows: readonly Row[]): string {
  return rows.length === 0 ? '' : formatTable(header, rows)
}

function formatTime (ms: number | null): string {
  return ms === null ? '-' : `${(ms / 1_000).toFixed(1)} s`
}
