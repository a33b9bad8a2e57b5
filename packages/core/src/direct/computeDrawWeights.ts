import { computeGroupWeights } from './computeGroupWeights.js';

/** What an entry knows of the speed of a target. */
interface TargetSpeed {
  /** Mean pass of its group, milliseconds; 0 where the group was idle, null where not known. */
  readonly passMs: number | null;
  /** How many times slower than an ordinary rank the target is. */
  readonly pace: number;
}

/**
 * Computes with which weights targets are drawn at random: the weight of the group, divided by the
 * pace of the target.
 *
 * @param longestPassMs longest pass that meets the objective; null where there is none
 * @returns weights by target, or null where all are alike
 */
export function computeDrawWeights(
  speeds: readonly TargetSpeed[],
  longestPassMs: number | null,
): number[] | null {
  const groupWeights = computeGroupWeights(
    speeds.map(({ passMs }) => passMs),
    longestPassMs,
  );
  if (speeds.every(({ pace }) => pace === 1)) return groupWeights;
  return speeds.map(({ pace }, index) => (groupWeights?.[index] ?? 1) / pace);
}
