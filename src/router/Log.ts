/** JSON lines by pino. */
import { pino, type Logger } from 'pino'
import type { FullSettings } from './Settings.js'

export type Log = Logger

export function createLog (settings: Pick<FullSettings, 'id' | 'dataCentre' | 'logLevel'>): Log {
  return pino({ level: settings.logLevel, base: { instance: settings.id, dataCentre: settings.dataCentre } })
}
