import type { InstanceId } from '../ids/InstanceId.js';
import type { Zone } from '../ids/Zone.js';
import type { RouteTarget } from './RouteTarget.js';
import { hashText } from './hashText.js';
import { combineHashes } from './combineHashes.js';

interface SubsetLimits {
  readonly subsetSize: number;
  readonly minEntriesPerTarget: number;
  readonly minTargetsPerZone: number;
}

interface RankedTarget {
  readonly target: RouteTarget;
  readonly hash: number;
  readonly assigned: boolean;
}

/** Returns how many other entries rank above this one for a target, counted up to `limit`. */
function countHigherRanked(
  ownIdHash: number,
  targetHash: number,
  otherIdHashes: readonly number[],
  limit: number,
) {
  const ownHash = combineHashes(ownIdHash, targetHash);
  let higher = 0;
  for (const other of otherIdHashes) {
    if (combineHashes(other, targetHash) > ownHash) higher += 1;
    if (higher >= limit) break;
  }
  return higher;
}

/**
 * Chooses the targets that an entry uses, by rendezvous hashing of entry and target ids. If the
 * entries are known, each target is assigned to the same number of entries, so that no target is
 * unused, and a change of one entry or target moves only its own assignments. Each zone contributes
 * at least `minTargetsPerZone` targets. If the entries are unknown, each zone contributes its share
 * of `subsetSize`.
 *
 * @param entry id of this entry
 * @param entries ids of all live entries; empty if unknown
 */
export function chooseSubset(
  entry: InstanceId,
  entries: readonly InstanceId[],
  targets: readonly RouteTarget[],
  limits: SubsetLimits,
): RouteTarget[] {
  const ownIdHash = hashText(entry);
  const otherIdHashes: number[] = [];
  for (const other of entries) if (other !== entry) otherIdHashes.push(hashText(other));
  const neededEntries = Math.ceil(
    (limits.subsetSize * (otherIdHashes.length + 1)) / Math.max(1, targets.length),
  );
  const entriesPerTarget = Math.max(neededEntries, limits.minEntriesPerTarget);

  const zones = new Map<Zone, RankedTarget[]>();
  for (const target of targets) {
    const targetHash = hashText(target.id);
    const assigned =
      entries.length > 0 &&
      countHigherRanked(ownIdHash, targetHash, otherIdHashes, entriesPerTarget) < entriesPerTarget;
    const ranked = zones.get(target.zone) ?? [];
    ranked.push({ target, hash: combineHashes(ownIdHash, targetHash), assigned });
    zones.set(target.zone, ranked);
  }
  const targetsPerZone = Math.ceil(limits.subsetSize / Math.max(1, zones.size));
  const minTargets = entries.length > 0 ? limits.minTargetsPerZone : targetsPerZone;
  const subset: RouteTarget[] = [];
  for (const ranked of zones.values()) {
    ranked.sort((a, b) => Number(b.assigned) - Number(a.assigned) || b.hash - a.hash);
    for (const [index, { target, assigned }] of ranked.entries()) {
      if (!assigned && index >= minTargets) break;
      subset.push(target);
    }
  }
  return subset;
}
