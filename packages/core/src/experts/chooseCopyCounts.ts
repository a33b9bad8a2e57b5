/**
 * Chooses the number of copies of each expert. Every expert gets one copy; each remaining slot goes
 * to the expert with the highest load per copy. This minimizes the load of the heaviest copy.
 *
 * @param loads load by expert id, any unit
 * @param slots total slots of all ranks
 * @returns copies by expert id, at most `ranks` each
 */
export function chooseCopyCounts(loads: ArrayLike<number>, ranks: number, slots: number): number[] {
  const counts = Array.from({ length: loads.length }, () => 1);
  for (let used = loads.length; used < slots; used += 1) {
    let busiest = -1;
    let highestLoad = -1;
    for (let expert = 0; expert < loads.length; expert += 1) {
      const count = counts[expert] ?? 1;
      const load = (loads[expert] ?? 0) / count;
      if (count < ranks && load > highestLoad) {
        busiest = expert;
        highestLoad = load;
      }
    }
    if (busiest < 0) break;
    counts[busiest] = (counts[busiest] ?? 1) + 1;
  }
  return counts;
}
