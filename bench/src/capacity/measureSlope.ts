import type { CapacitySlope } from './CapacitySlope.js';
import { fitLine } from './fitLine.js';

/**
 * Repetitions for figures that vary. With three, a run beside other load now and then differs from
 * the record by more than the tolerance.
 */
const REPEATS = 5;

/**
 * Measures a cost at several sizes and fits the line. Of repeated measurements of time the lowest
 * counts, as other load only adds to it, and of memory the median.
 */
export async function measureSlope(
  head: Pick<CapacitySlope, 'id' | 'unit' | 'per' | 'kind'>,
  sizes: readonly number[],
  measure: (size: number) => number | Promise<number>,
): Promise<CapacitySlope> {
  const points: [number, number][] = [];
  for (const size of sizes) {
    const costs: number[] = [];
    const repeats = head.kind === 'exact' ? 1 : REPEATS;
    for (let repeat = 0; repeat < repeats; repeat += 1) costs.push(await measure(size));
    costs.sort((a, b) => a - b);
    points.push([size, costs[head.kind === 'memory' ? repeats >> 1 : 0]!]);
  }
  return { ...head, ...fitLine(points), sizes: [...sizes] };
}
