import type { RandomSource } from '@limpetbay/core';

/** Draws from the standard normal distribution (Box-Muller). */
export function sampleNormal(random: RandomSource): number {
  const radius = Math.sqrt(-2 * Math.log(1 - random.next()));
  return radius * Math.cos(2 * Math.PI * random.next());
}
