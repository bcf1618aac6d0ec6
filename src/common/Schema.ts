/** Typed access to the generated validators; each error contains the JSON pointer, the reason and the allowed range. */
import { err, ok, type Result } from 'neverthrow'
import type { ChatRequest } from './generated/ChatRequest.js'
import type { EngineSettings } from './generated/EngineSettings.js'
import type { PeerDatagram } from './generated/PeerDatagram.js'
import type { RouterSettings } from './generated/RouterSettings.js'
import * as validators from './generated/Validators.js'
import type { VotedFile } from './generated/VotedFile.js'

/** One validation error in a document. */
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

const MAX_ERRORS = 200 // keeps the report on a thoroughly invalid file readable

function reasonOf (err: AjvError): string {
  if (err.keyword === 'additionalProperties') return `unknown key "${String(err.params.additionalProperty)}"`
  if (err.keyword === 'enum') return `must be one of ${JSON.stringify(err.params.allowedValues)}`
  if (err.keyword === 'const') return `must be ${JSON.stringify(err.params.allowedValue)}`
  return err.message ?? err.keyword
}

function runValidator<T> (validator: unknown, value: unknown): Result<T, readonly FieldError[]> {
  const validate = validator as Validator
  if (validate(value)) return ok(value as T)
  const errors = (validate.errors ?? []).slice(0, MAX_ERRORS)
  return err(errors.map(e => ({ pointer: e.instancePath === '' ? '/' : e.instancePath, reason: reasonOf(e) })))
}

/** Validates a voted file against its schema. */
export function checkVotedFile (value: unknown): Result<VotedFile, readonly FieldError[]> {
  return runValidator(validators.validateVotedFile, value)
}

/** Validates the settings of a router and fills in defaults in place. */
export function checkRouterSettings (value: unknown): Result<RouterSettings, readonly FieldError[]> {
  return runValidator(validators.validateRouterSettings, value)
}

/** Validates the settings of an engine and fills in defaults in place. */
export function checkEngineSettings (value: unknown): Result<EngineSettings, readonly FieldError[]> {
  return runValidator(validators.validateEngineSettings, value)
}

/** Validates a decoded datagram. */
export function checkPeerDatagram (value: unknown): Result<PeerDatagram, readonly FieldError[]> {
  return runValidator(validators.validatePeerDatagram, value)
}

/** Validates the body of a chat request. */
export function checkChatRequest (value: unknown): Result<ChatRequest, readonly FieldError[]> {
  return runValidator(validators.validateChatRequest, value)
}

/** Parses JSON without throwing. */
export function parseJson (text: string): Result<unknown, readonly FieldError[]> {
  try {
    return ok(JSON.parse(text) as unknown)
  } catch (e) {
    return err([{ pointer: '/', reason: `not JSON: ${(e as Error).message}` }])
  }
}

/** Formats errors as one line, for logs and error bodies. */
export function formatErrors (errors: readonly FieldError[]): string {
  return errors.map(e => `${e.pointer}: ${e.reason}`).join('; ')
}
