import { ReplicaSet } from './ReplicaSet.js';

interface ReplicaPlanOptions {
  /** Copies that a rank holds of one set at most. */
  readonly slotsPerRank: number;
  /** New copies that a rank accepts for one set. */
  readonly newPerRankAndSet: number;
  /** New copies that a rank loads over all sets; they are loaded one after the other. */
  readonly newPerRank: number;
}

interface ReplicaPlan {
  /** Experts by set and rank. */
  readonly sets: readonly (readonly (readonly number[])[])[];
  /** Mean over the sets of the slowest rank's load relative to the mean rank. */
  readonly skewNow: number;
  readonly skewNext: number;
  /** Copies that the rank with the most new ones loads. */
  readonly copies: number;
}

/** Bounds the search where many small gains are left. */
const MAX_STEPS = 400;

/** A step must lower the weighted loads of a set by this share. */
const MIN_GAIN = 1e-3;

/**
 * Plans where the experts of all sets go next. A pass takes as long as the slowest rank of each
 * set, summed over the sets, and every rank loads its new copies one after the other; so the steps
 * compete for the ranks' copies, and the best step of any set is taken first.
 *
 * @param sets experts by set and rank, as they are in force
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
  };
  const searches = sets.map((slots, set) => new ReplicaSet(slots, loads[set] ?? [], limits));
  const skewNow = computeMeanSkew(searches);
  const ranks = sets[0]?.length ?? 0;
  const left = Array.from({ length: ranks }, () => options.newPerRank);
  const steps = searches.map((search) => search.findStep(left));
  for (let round = 0; round < MAX_STEPS; round += 1) {
    let bestSet = -1;
    let bestGain = MIN_GAIN;
    for (const [set, step] of steps.entries()) {
      if (step === null || step.gain <= bestGain) continue;
      bestSet = set;
      bestGain = step.gain;
    }
    const step = steps[bestSet];
    const search = searches[bestSet];
    if (step === undefined || step === null || search === undefined) break;
    search.apply(step);
    left[step.rank] = (left[step.rank] ?? 0) - step.copies;
    const isRankFull = (left[step.rank] ?? 0) < 1;
    for (const [set, other] of searches.entries()) {
      const isStale = isRankFull && steps[set]?.rank === step.rank;
      if (set === bestSet || isStale) steps[set] = other.findStep(left);
    }
  }
  return {
    sets: searches.map((search) => search.getSlots()),
    skewNow,
    skewNext: computeMeanSkew(searches),
    copies: options.newPerRank - Math.min(...left),
  };
}

function computeMeanSkew(searches: readonly ReplicaSet[]): number {
  let sum = 0;
  for (const search of searches) sum += search.getSkew();
  return sum / searches.length;
}
