/** Least-squares line fit and median. */

/** One measured point. */
export interface Point {
  readonly x: number;
  readonly y: number;
}

/** A fitted line, `y = intercept + slope * x`. */
export interface Line {
  readonly slope: number;
  readonly intercept: number;
  /** Share of the variance that the line explains, 0 to 1. */
  readonly rSquared: number;
}

/** Fits a line to at least two points. */
export function fitLine(points: readonly Point[]): Line {
  const count = points.length;
  const meanX = points.reduce((sum, { x }) => sum + x, 0) / count;
  const meanY = points.reduce((sum, { y }) => sum + y, 0) / count;
  const covariance = points.reduce((sum, { x, y }) => sum + (x - meanX) * (y - meanY), 0);
  const varianceX = points.reduce((sum, { x }) => sum + (x - meanX) ** 2, 0);
  const varianceY = points.reduce((sum, { y }) => sum + (y - meanY) ** 2, 0);
  const slope = varianceX === 0 ? 0 : covariance / varianceX;
  const rSquared = varianceY === 0 ? 1 : covariance ** 2 / (varianceX * varianceY);
  return { slope, intercept: meanY - slope * meanX, rSquared };
}

/** Returns the upper median, or 0 without values. */
export function median(values: readonly number[]): number {
  const sorted = [...values].sort((left, right) => left - right);
  return sorted[Math.floor(sorted.length / 2)] ?? 0;
}
