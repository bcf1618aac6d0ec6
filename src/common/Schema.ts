/** Typed access to the generated validators; every error names its JSON pointer, the reason and the allowed range. */
import { err, ok, type Result } from 'neverthrow'
import type { ChatRequest } from './generated/ChatRequest.js'
import type { EngineSettings } from './generated/EngineSettings.js'
import type { PeerDatagram } from './generated/PeerDatagram.js'
import type { RouterSettings } from './generated/RouterSettings.js'
import * as validators from './generated/Validators.js'
import type { VotedFile } from './generated/VotedFile.js'

/** One finding in a document. */
export interface FieldError {
  /** JSON pointer of the field. */
  readonly pointer: string
  readonly reason: string
}

interface AjvError {
  readonly instancePath: string
  readonly keyword: string
  readonly message?: string
  readonly params: Readonly<Record<string, unknown>>
}

interface Validator {
  (value: unknown): boolean
  readonly errors?: readonly AjvError[] | null
}

const MAX_ERRORS = 200 // a file that is wrong throughout stays readable

function reasonOf (err: AjvError): string {
  if (err.keyword === 'additionalProperties') return `unknown key "${String(err.params.additionalProperty)}"`
  if (err.keyword === 'enum') return `must be one of ${JSON.stringify(err.params.allowedValues)}`
  if (err.keyword === 'const') return `must be ${JSON.stringify(err.params.allowedValue)}`
  return err.message ?? err.keyword
}

function run<T> (validator: unknown, value: unknown): Result<T, readonly FieldError[]> {
  const validate = validator as Validator
  if (validate(value)) return ok(value as T)
  const errors = (validate.errors ?? []).slice(0, MAX_ERRORS)
  return err(errors.map(e => ({ pointer: e.instancePath === '' ? '/' : e.instancePath, reason: reasonOf(e) })))
}

export function checkVotedFile (value: unknown): Result<VotedFile, readonly FieldError[]> {
  return run(validators.validateVotedFile, value)
}

/** Fills in defaults in place. */
export function checkRouterSettings (value: unknown): Result<RouterSettings, readonly FieldError[]> {
  return run(validators.validateRouterSettings, value)
}

/** Fills in defaults in place. */
export function checkEngineSettings (value: unknown): Result<EngineSettings, readonly FieldError[]> {
  return run(validators.validateEngineSettings, value)
}

export function checkPeerDatagram (value: unknown): Result<PeerDatagram, readonly FieldError[]> {
  return run(validators.validatePeerDatagram, value)
}

export function checkChatRequest (value: unknown): Result<ChatRequest, readonly FieldError[]> {
  return run(validators.validateChatRequest, value)
}

/** Parses JSON without throwing. */
export function parseJson (text: string): Result<unknown, readonly FieldError[]> {
  try {
    return ok(JSON.parse(text) as unknown)
  } catch (e) {
    return err([{ pointer: '/', reason: `not JSON: ${(e as Error).message}` }])
  }
}

/** One line for logs and error bodies. */
export function formatErrors (errors: readonly FieldError[]): string {
  return errors.map(e => `${e.pointer}: ${e.reason}`).join('; ')
}
