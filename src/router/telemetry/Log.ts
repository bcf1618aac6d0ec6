/** Structured log as JSON lines, written by pino. */
import { destination, pino, type Logger } from 'pino'
import type { FullSettings } from '../Settings.js'

/** Logger of the process. */
export type Log = Logger

const BUFFER_BYTES = 1_048_576 // lines beyond it are dropped, so that a stalled reader does not block requests

/** Creates a logger that writes to standard output asynchronously. */
export function createLog (settings: Pick<FullSettings, 'id' | 'dataCentre' | 'logLevel'>): Log {
  const out = destination({ dest: 1, sync: false, maxLength: BUFFER_BYTES })
  return pino({ level: settings.logLevel, base: { instance: settings.id, dataCentre: settings.dataCentre } }, out)
}
