/** Settings of the router process: a JSON file with command-line overrides, validated against the schema. */
import { readFileSync } from 'node:fs'
import { err, ok, type Result } from 'neverthrow'
import type { RouterSettings } from '../common/generated/RouterSettings.js'
import { checkRouterSettings, parseJson, type FieldError } from '../common/Schema.js'

/** Settings with all defaults filled in. */
export type FullSettings = Required<RouterSettings>

function readText (path: string): Result<string, readonly FieldError[]> {
  try {
    return ok(readFileSync(path, 'utf8'))
  } catch (e) {
    return err([{ pointer: '/', reason: `can't read ${path}: ${(e as NodeJS.ErrnoException).code ?? String(e)}` }])
  }
}

/** Reads the file, applies the overrides and validates the result. */
export function loadSettings (path: string, overrides: Readonly<Record<string, unknown>>): Result<FullSettings, readonly FieldError[]> {
  return readText(path)
    .andThen(parseJson)
    .map(value => typeof value === 'object' && value !== null ? { ...value, ...overrides } : value)
    .andThen(checkRouterSettings)
    .map(settings => ({ peers: [], ...settings }) as unknown as FullSettings)
}
