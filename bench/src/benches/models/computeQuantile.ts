/** Returns a quantile of the values, by nearest rank; NaN without values. */
export function computeQuantile(values: readonly number[], quantile: number): number {
  const sorted = Float64Array.from(values).sort();
  const index = Math.ceil(quantile * sorted.length) - 1;
  return sorted[Math.max(0, index)] ?? NaN;
}
