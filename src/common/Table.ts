/** Plain-text tables for terminal output. */

/** Formats rows with aligned columns. */
export function formatTable (header: readonly string[], rows: ReadonlyArray<ReadonlyArray<string | number>>): string {
  const text = [header, ...rows].map(row => row.map(String))
  const widths = header.map((_, i) => Math.max(...text.map(row => (row[i] ?? '').length)))
  return text.map(row => row.map((cell, i) => cell.padEnd(widths[i]!)).join('  ').trimEnd()).join('\n')
}
