/**
 * Returns the factor by which a bound on a median of few samples is widened. It covers about one
 * standard error of the median of service times that spread as much as their mean.
 */
export function computeSlack(samples: number): number {
  return 1 + 1 / Math.sqrt(Math.max(1, samples));
}
