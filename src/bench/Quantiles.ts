/** Quantiles of measured times. */

/** Quantile `q` of unsorted values; 0 if there are none. */
export function quantile (values: readonly number[], q: number): number {
  const sorted = [...values].sort((a, b) => a - b)
  return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * q))] ?? 0
}
