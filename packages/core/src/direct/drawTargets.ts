import type { RandomSource } from '../random/RandomSource.js';
import type { DirectTarget } from './DirectTarget.js';

/**
 * Draws different targets at random, one random number for each.
 *
 * @param weights probabilities of the targets, any unit; null where all are equal
 */
export function drawTargets(
  targets: readonly DirectTarget[],
  weights: readonly number[] | null,
  count: number,
  random: RandomSource,
): DirectTarget[] {
  const remaining = [...targets];
  const remainingWeights = weights === null ? null : [...weights];
  const drawn: DirectTarget[] = [];
  while (drawn.length < count && remaining.length > 0) {
    const index = drawIndex(remaining.length, remainingWeights, random.next());
    remainingWeights?.splice(index, 1);
    drawn.push(...remaining.splice(index, 1));
  }
  return drawn;
}

/** @param fraction random number from 0 to below 1 */
function drawIndex(count: number, weights: readonly number[] | null, fraction: number): number {
  if (weights === null) return Math.floor(fraction * count);
  let left = fraction * weights.reduce((sum, weight) => sum + weight, 0);
  for (const [index, weight] of weights.entries()) {
    left -= weight;
    if (left < 0) return index;
  }
  return count - 1;
}
