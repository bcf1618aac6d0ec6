/** Line fits to measured points by least squares. */

const MIN_R2 = 0.5

/** A fitted line. */
export interface Line {
  readonly intercept: number
  readonly slope: number
  /** Coefficient of determination: the fraction of the variance that the line explains. */
  readonly r2: number
}

/** Fits a line by least squares. */
export function fitLine (xs: readonly number[], ys: readonly number[]): Line {
  const mean = (v: readonly number[]): number => v.reduce((a, b) => a + b, 0) / v.length
  const [mx, my] = [mean(xs), mean(ys)]
  const sxx = xs.reduce((sum, x) => sum + (x - mx) ** 2, 0)
  const sxy = xs.reduce((sum, x, i) => sum + (x - mx) * (ys[i]! - my), 0)
  const slope = sxx === 0 ? 0 : sxy / sxx
  const intercept = my - slope * mx
  const total = ys.reduce((sum, y) => sum + (y - my) ** 2, 0)
  const residual = ys.reduce((sum, y, i) => sum + (y - intercept - slope * xs[i]!) ** 2, 0)
  return { intercept, slope, r2: total === 0 ? 1 : 1 - residual / total }
}

/** Returns the fitted line if it explains most of the variance, else the mean, so that noise is not extrapolated as a slope. */
export function fitLineOrMean (xs: readonly number[], ys: readonly number[]): Line {
  const line = fitLine(xs, ys)
  if (line.r2 >= MIN_R2) return line
  return { intercept: ys.reduce((a, b) => a + b, 0) / ys.length, slope: 0, r2: line.r2 }
}

/** Value of the line at `x`, at least zero. */
export function evaluateLine (line: Line, x: number): number {
  return Math.max(0, line.intercept + line.slope * x)
}
