/**
 * Chooses the number of copies of each expert: one for each, and every other slot for the expert
 * whose copies carry most. This is the split with the lightest heaviest copy.
 *
 * @param loads load by expert id, any unit
 * @param slots slots of all ranks together
 * @returns copies by expert id, at most one for each rank
 */
export function countCopies(loads: ArrayLike<number>, ranks: number, slots: number): number[] {
  const counts = Array.from({ length: loads.length }, () => 1);
  for (let used = loads.length; used < slots; used += 1) {
    let best = -1;
    let bestLoad = -1;
    for (let expert = 0; expert < loads.length; expert += 1) {
      const count = counts[expert] ?? 1;
      const load = (loads[expert] ?? 0) / count;
      if (count < ranks && load > bestLoad) {
        best = expert;
        bestLoad = load;
      }
    }
    if (best < 0) break;
    counts[best] = (counts[best] ?? 1) + 1;
  }
  return counts;
}
