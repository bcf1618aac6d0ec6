/**
 * Content-addressed parts of a voted file. Long lists are split where the hash of an id ends in zeros, so that one changed
 * row changes one part, and a peer fetches only the parts that it lacks.
 */
import type { VotedFile } from '../generated/VotedFile.js'
import { hashString } from '../Hash.js'

const BOUNDARY_MASK = 127 // about 128 rows per part

/** Hash of a part's text; the caller passes SHA-256, as this folder imports no Node.js modules. */
export type TextHash = (text: string) => string

/** A file split into parts; joining them in the order of the manifest restores the text byte for byte. */
export interface SplitFile {
  readonly manifest: readonly string[]
  readonly parts: ReadonlyMap<string, string>
}

const ROW_ID = /"id"\s*:\s*"([^"]*)"/

/** Splits the text after rows that the hash of their id selects; works on the text, so that any formatting is preserved. */
function splitAtBoundaries (text: string): string[] {
  const pieces: string[] = []
  let start = 0
  for (let at = text.indexOf('}'); at >= 0; at = text.indexOf('}', at + 1)) {
    const row = text.slice(text.lastIndexOf('{', at), at)
    const id = ROW_ID.exec(row)?.[1]
    if (id === undefined || (hashString(id, 7) & BOUNDARY_MASK) !== 0) continue
    pieces.push(text.slice(start, at + 1))
    start = at + 1
  }
  pieces.push(text.slice(start))
  return pieces
}

/** Splits the text of a file into parts. */
export function splitText (text: string, hash: TextHash): SplitFile {
  const manifest: string[] = []
  const parts = new Map<string, string>()
  for (const piece of splitAtBoundaries(text)) {
    const id = hash(piece)
    manifest.push(id)
    parts.set(id, piece)
  }
  return { manifest, parts }
}

/** Joins parts; undefined while one is missing. */
export function joinParts (manifest: readonly string[], parts: ReadonlyMap<string, string>): string | undefined {
  const pieces: string[] = []
  for (const id of manifest) {
    const piece = parts.get(id)
    if (piece === undefined) return undefined
    pieces.push(piece)
  }
  return pieces.join('')
}

/** Ids of the rows that differ between two files, for the operators' `diff`. */
export interface FileDiff {
  readonly section: string
  readonly added: readonly string[]
  readonly removed: readonly string[]
  readonly changed: readonly string[]
}

const SECTIONS = ['dataCentres', 'models', 'tiers', 'accounts', 'endpointGroups', 'endpoints', 'services'] as const

/** Compares two files row by row. */
export function diffFiles (before: VotedFile, after: VotedFile): FileDiff[] {
  const diffs: FileDiff[] = SECTIONS.map(section => {
    const old = new Map(before[section].map(row => [row.id, JSON.stringify(row)]))
    const now = new Map(after[section].map(row => [row.id, JSON.stringify(row)]))
    return {
      section,
      added: [...now.keys()].filter(id => !old.has(id)),
      removed: [...old.keys()].filter(id => !now.has(id)),
      changed: [...now.keys()].filter(id => old.has(id) && old.get(id) !== now.get(id))
    }
  })
  const limits = (['loadBound', 'reuseWeight'] as const).filter(k => before[k] !== after[k]).map(k => `${k}: ${before[k]} -> ${after[k]}`)
  if (limits.length > 0) diffs.unshift({ section: 'limits', added: [], removed: [], changed: limits })
  return diffs.filter(d => d.added.length + d.removed.length + d.changed.length > 0)
}
