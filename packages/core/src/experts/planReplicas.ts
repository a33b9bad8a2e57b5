import { ReplicaSet } from './ReplicaSet.js';

interface ReplicaPlanOptions {
  /** Maximum number of copies of one set on a rank. */
  readonly slotsPerRank: number;
  /** Maximum number of new copies of one set on a rank. */
  readonly newPerRankAndSet: number;
  /** Maximum number of new copies on a rank over all sets; a rank loads them sequentially. */
  readonly newPerRank: number;
  /** How many times longer each rank takes for the same load; 1 where absent. */
  readonly paces?: readonly number[];
  /** The only ranks that may load copies; all where absent. */
  readonly receivers?: ReadonlySet<number>;
}

interface ReplicaPlan {
  /** Experts by set and rank. */
  readonly sets: readonly (readonly (readonly number[])[])[];
  /**
   * Mean over the sets of the slowest rank's load, multiplied by its pace, relative to the mean rank,
   * now and after.
   */
  readonly skewNow: number;
  readonly skewNext: number;
  /** Number of copies to load on the rank with the most new copies. */
  readonly copies: number;
}

/** Bounds the duration of a search with many small gains. */
const MAX_CHANGES = 400;

/** Minimum decrease of the weighted sum of rank loads of a set for a change. */
const MIN_GAIN = 1e-3;

/**
 * Plans the next placement of all expert sets. The time of a pass is the sum over the sets of the
 * slowest rank's time, and a rank loads its new copies sequentially. The sets therefore compete for
 * the new copies of a rank, and the change with the highest gain in any set is applied first.
 *
 * @param sets experts by set and rank in the active placement
 * @param loads load by set and expert, any unit
 */
export function planReplicas(
  sets: readonly (readonly (readonly number[])[])[],
  loads: readonly ArrayLike<number>[],
  options: ReplicaPlanOptions,
): ReplicaPlan {
  const limits = {
    slotsPerRank: options.slotsPerRank,
    newPerRank: options.newPerRankAndSet,
    paces: options.paces ?? [],
  };
  const layouts = sets.map((slots, set) => new ReplicaSet(slots, loads[set] ?? [], limits));
  const skewNow = computeMeanSkew(layouts);
  const ranks = sets[0]?.length ?? 0;
  const copyLimits = Array.from({ length: ranks }, (_, rank) =>
    options.receivers?.has(rank) === false ? 0 : options.newPerRank,
  );
  const copiesLeft = [...copyLimits];
  const bestChanges = layouts.map((layout) => layout.findBestChange(copiesLeft));
  for (let round = 0; round < MAX_CHANGES; round += 1) {
    let bestSet = -1;
    let bestGain = MIN_GAIN;
    for (const [set, change] of bestChanges.entries()) {
      if (change === null || change.gain <= bestGain) continue;
      bestSet = set;
      bestGain = change.gain;
    }
    const change = bestChanges[bestSet];
    const layout = layouts[bestSet];
    if (change === undefined || change === null || layout === undefined) break;
    layout.apply(change);
    copiesLeft[change.rank] = (copiesLeft[change.rank] ?? 0) - change.copies;
    const hasReachedLimit = (copiesLeft[change.rank] ?? 0) < 1;
    for (const [set, otherLayout] of layouts.entries()) {
      const isStale = hasReachedLimit && bestChanges[set]?.rank === change.rank;
      if (set === bestSet || isStale) bestChanges[set] = otherLayout.findBestChange(copiesLeft);
    }
  }
  return {
    sets: layouts.map((layout) => layout.getExpertsByRank()),
    skewNow,
    skewNext: computeMeanSkew(layouts),
    copies: Math.max(...copyLimits.map((limit, rank) => limit - (copiesLeft[rank] ?? 0))),
  };
}

function computeMeanSkew(layouts: readonly ReplicaSet[]): number {
  let sum = 0;
  for (const layout of layouts) sum += layout.getSkew();
  return sum / layouts.length;
}
