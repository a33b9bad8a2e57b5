import type { CapacitySlope } from './CapacitySlope.js';

/** Returns the cost of a size by the fitted line. */
export function estimateSlope({ slope, intercept }: CapacitySlope, size: number): number {
  return intercept + slope * size;
}
