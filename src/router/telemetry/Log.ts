/** JSON lines by pino. */
import { destination, pino, type Logger } from 'pino'
import type { FullSettings } from '../Settings.js'

export type Log = Logger

const BUFFER_BYTES = 1_048_576 // lines beyond it are dropped: a reader that stalls must not stop requests

/** Writes to standard output without waiting for its reader. */
export function createLog (settings: Pick<FullSettings, 'id' | 'dataCentre' | 'logLevel'>): Log {
  const out = destination({ dest: 1, sync: false, maxLength: BUFFER_BYTES })
  return pino({ level: settings.logLevel, base: { instance: settings.id, dataCentre: settings.dataCentre } }, out)
}
