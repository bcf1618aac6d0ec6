/** Validation of a voted file beyond its schema. It depends on the file alone, so that all instances reach the same result. */
import { err, ok, type Result } from 'neverthrow'
import type { VotedFile } from '../generated/VotedFile.js'
import { checkVotedFile, parseJson, type FieldError } from '../Schema.js'

/** Maximum size of a voted file. */
export const MAX_FILE_BYTES = 1_048_576 // the configuration service stores values up to a megabyte
const SHARE_TOLERANCE_PERCENT = 0.001

class ErrorCollector {
  readonly errors: FieldError[] = []

  add (pointer: string, reason: string): void {
    this.errors.push({ pointer, reason })
  }

  /** Adds an error for each duplicate id and returns the set of ids. */
  requireUnique (items: ReadonlyArray<{ readonly id: string }>, pointer: string): ReadonlySet<string> {
    const seen = new Set<string>()
    items.forEach((item, i) => {
      if (seen.has(item.id)) this.add(`${pointer}/${i}/id`, `"${item.id}" stands twice`)
      seen.add(item.id)
    })
    return seen
  }

  requireKnown (set: ReadonlySet<string>, id: string, pointer: string, what: string): void {
    if (!set.has(id)) this.add(pointer, `unknown ${what} "${id}"`)
  }
}

function checkAccounts (file: VotedFile, errors: ErrorCollector): void {
  const tiers = new Map(file.tiers.map(t => [t.id, t]))
  const tierIds = errors.requireUnique(file.tiers, '/tiers')
  const keys = new Set<string>()
  let share = 0
  errors.requireUnique(file.accounts, '/accounts')
  file.accounts.forEach((account, i) => {
    errors.requireKnown(tierIds, account.tier, `/accounts/${i}/tier`, 'tier')
    share += tiers.get(account.tier)?.sharePercent ?? 0
    account.keys.forEach((key, k) => {
      const prefix = key.slice(0, 16)
      if (keys.has(prefix)) errors.add(`/accounts/${i}/keys/${k}`, 'another account has the same key')
      keys.add(prefix)
    })
  })
  if (share > 100 + SHARE_TOLERANCE_PERCENT) errors.add('/accounts', `shares sum to ${share.toFixed(3)}%, at most 100% can be guaranteed`)
}

function checkEndpoints (file: VotedFile, errors: ErrorCollector): void {
  const dataCentres = errors.requireUnique(file.dataCentres, '/dataCentres')
  const models = errors.requireUnique(file.models, '/models')
  const services = errors.requireUnique(file.services, '/services')
  const groups = errors.requireUnique(file.endpointGroups, '/endpointGroups')
  const used = new Set(file.endpoints.map(e => e.group))
  const served = new Set<string>()
  errors.requireUnique(file.endpoints, '/endpoints')
  file.endpointGroups.forEach((group, i) => {
    const pointer = `/endpointGroups/${i}`
    errors.requireKnown(dataCentres, group.dataCentre, `${pointer}/dataCentre`, 'data centre')
    group.models?.forEach((m, k) => errors.requireKnown(models, m, `${pointer}/models/${k}`, 'model'))
    group.services?.forEach((s, k) => errors.requireKnown(services, s, `${pointer}/services/${k}`, 'service'))
    if (group.kind === 'engine' && (group.models ?? []).length === 0) errors.add(`${pointer}/models`, 'an engine group needs a model')
    if (group.kind === 'service' && (group.services ?? []).length === 0) errors.add(`${pointer}/services`, 'a service group needs a service')
    if (!used.has(group.id)) return
    for (const m of group.models ?? []) served.add(`model ${m}`)
    for (const s of group.services ?? []) served.add(`service ${s}`)
  })
  const addresses = new Set<string>()
  file.endpoints.forEach((endpoint, i) => {
    errors.requireKnown(groups, endpoint.group, `/endpoints/${i}/group`, 'endpoint group')
    if (addresses.has(endpoint.address)) errors.add(`/endpoints/${i}/address`, `"${endpoint.address}" stands twice`)
    addresses.add(endpoint.address)
    if (Number(endpoint.address.slice(endpoint.address.lastIndexOf(':') + 1)) > 65535) errors.add(`/endpoints/${i}/address`, 'port above 65535')
  })
  file.models.forEach((m, i) => { if (!served.has(`model ${m.id}`)) errors.add(`/models/${i}`, `no endpoint serves model "${m.id}"`) })
  file.services.forEach((s, i) => { if (!served.has(`service ${s.id}`)) errors.add(`/services/${i}`, `no endpoint serves service "${s.id}"`) })
}

/** Validates a parsed file; returns all errors at once. */
export function checkFile (value: unknown): Result<VotedFile, readonly FieldError[]> {
  return checkVotedFile(value).andThen(file => {
    const collector = new ErrorCollector()
    checkAccounts(file, collector)
    checkEndpoints(file, collector)
    return collector.errors.length === 0 ? ok(file) : err(collector.errors)
  })
}

/** Validates the text of a file as the operators publish it. */
export function checkFileText (text: string): Result<VotedFile, readonly FieldError[]> {
  if (text.length > MAX_FILE_BYTES) return err([{ pointer: '/', reason: `${text.length} bytes, at most ${MAX_FILE_BYTES} are held` }])
  return parseJson(text).andThen(checkFile)
}
