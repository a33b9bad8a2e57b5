interface Line {
  readonly slope: number;
  readonly intercept: number;
  /** Standard error of the slope over the slope; 0 for an exact line. */
  readonly error: number;
}

/** Fits a line by least squares. @param points at least three, with different sizes */
export function fitLine(points: readonly (readonly [size: number, cost: number])[]): Line {
  const count = points.length;
  let meanSize = 0;
  let meanCost = 0;
  for (const [size, cost] of points) {
    meanSize += size / count;
    meanCost += cost / count;
  }
  let spread = 0;
  let product = 0;
  for (const [size, cost] of points) {
    spread += (size - meanSize) ** 2;
    product += (size - meanSize) * (cost - meanCost);
  }
  const slope = product / spread;
  const intercept = meanCost - slope * meanSize;
  let residual = 0;
  for (const [size, cost] of points) residual += (cost - intercept - slope * size) ** 2;
  const deviation = Math.sqrt(residual / (count - 2) / spread);
  const error = deviation === 0 ? 0 : deviation / Math.abs(slope);
  return { slope, intercept, error: Number.isFinite(error) ? error : 1 };
}
