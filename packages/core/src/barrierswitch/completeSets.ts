import type { ExpertSets } from './ExpertSets.js';

/**
 * Adds the experts that no rank holds to what the ranks hold, each to the rank with the fewest.
 *
 * @param held experts by layer set, then by rank
 * @param count number of experts of a set
 * @returns a map that ranks can load with the fewest copies
 */
export function completeSets(held: ExpertSets, count: number): ExpertSets {
  const completed: number[][][] = [];
  for (const ranks of held) {
    const next = ranks.map((experts) => [...experts]);
    const present = new Set(next.flat());
    for (let expert = 0; expert < count; expert += 1) {
      if (present.has(expert)) continue;
      let receiver = next[0];
      for (const experts of next) {
        if (receiver === undefined || experts.length < receiver.length) receiver = experts;
      }
      receiver?.push(expert);
    }
    for (const experts of next) experts.sort((a, b) => a - b);
    completed.push(next);
  }
  return completed;
}
