/** Linear regression. */

/** One measured point. */
export interface Point {
  readonly size: number;
  readonly value: number;
}

/** A fitted line with the standard error of its slope. */
export interface FittedLine {
  readonly intercept: number;
  readonly slope: number;
  readonly slopeError: number;
}

/**
 * Fits a line by least squares.
 *
 * @example
 * ```ts
 * fitLine([{ size: 1, value: 3 }, { size: 2, value: 5 }, { size: 3, value: 7 }]);
 * // { intercept: 1, slope: 2, slopeError: 0 }
 * ```
 */
export function fitLine(points: readonly Point[]): FittedLine {
  const count = points.length;
  const meanSize = points.reduce((sum, point) => sum + point.size, 0) / count;
  const meanValue = points.reduce((sum, point) => sum + point.value, 0) / count;
  let covariance = 0;
  let variance = 0;
  for (const { size, value } of points) {
    covariance += (size - meanSize) * (value - meanValue);
    variance += (size - meanSize) ** 2;
  }
  const slope = variance === 0 ? 0 : covariance / variance;
  const intercept = meanValue - slope * meanSize;
  let squares = 0;
  for (const { size, value } of points) {
    squares += (value - intercept - slope * size) ** 2;
  }
  const isExact = count < 3 || variance === 0;
  const slopeError = isExact ? 0 : Math.sqrt(squares / (count - 2) / variance);
  return { intercept, slope, slopeError };
}
