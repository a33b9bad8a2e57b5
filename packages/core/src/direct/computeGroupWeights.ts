/**
 * Ratio of pass times up to which groups count as alike: the mean comes from the few passes of
 * 250 ms, and errs by up to one of them.
 */
const ALIKE_RATIO = 1.25;

/** Least weight of a group, so that some streams show when its passes become shorter. */
const MIN_WEIGHT = 0.05;

/**
 * Weighs targets for a random choice. Groups are preferred in proportion to the time by which their
 * passes may become longer within the objective. Reports are older than the time in which all
 * entries together fill a group; if each preferred the best group without exception, they would
 * overload it.
 *
 * @param passTimesMs mean pass of the group of each target; 0 or null where nothing speaks against
 *   the group because it was idle or is not known
 * @param longestPassMs longest pass that meets the objective; null where there is none
 * @returns weights by target, or null where all groups are alike
 */
export function computeGroupWeights(
  passTimesMs: readonly (number | null)[],
  longestPassMs: number | null,
): number[] | null {
  let shortestMs = Infinity;
  let longestMs = 0;
  for (const passMs of passTimesMs) {
    if (passMs === null || passMs === 0) continue;
    shortestMs = Math.min(shortestMs, passMs);
    longestMs = Math.max(longestMs, passMs);
  }
  if (longestMs <= ALIKE_RATIO * shortestMs) return null;
  return passTimesMs.map((passMs) =>
    passMs === null || passMs === 0
      ? 1
      : Math.max(MIN_WEIGHT, comparePasses(passMs, shortestMs, longestPassMs)),
  );
}

/** Compares the passes of a group with the shortest ones. @returns 1 where they are as short */
function comparePasses(passMs: number, shortestMs: number, longestPassMs: number | null): number {
  if (longestPassMs === null || shortestMs >= longestPassMs) return shortestMs / passMs;
  return (longestPassMs - passMs) / (longestPassMs - shortestMs);
}
