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

interface Ranked {
  readonly target: RouteTarget;
  readonly hash: number;
  readonly kept: boolean;
}

/** Returns how many of the other entries rank before `own` for a target, counted up to `limit`. */
function countBefore(own: number, targetHash: number, others: readonly number[], limit: number) {
  const ownRank = combineHashes(own, targetHash);
  let before = 0;
  for (const other of others) {
    if (combineHashes(other, targetHash) > ownRank) before += 1;
    if (before >= limit) break;
  }
  return before;
}

/**
 * Chooses the targets that an entry uses, by rendezvous hashing of entry and target ids. Where the
 * entries are known, each target is kept by the same number of them, so that no target is left
 * without an entry; a change of one entry or target moves only what it held. Each zone keeps a
 * minimum of targets. Where the entries are not known, each zone contributes its share of
 * `subsetSize`.
 *
 * @param entry id of this entry
 * @param entries ids of all live entries; empty where not known
 */
export function chooseSubset(
  entry: InstanceId,
  entries: readonly InstanceId[],
  targets: readonly RouteTarget[],
  limits: SubsetLimits,
): RouteTarget[] {
  const own = hashText(entry);
  const others: number[] = [];
  for (const other of entries) if (other !== entry) others.push(hashText(other));
  const wanted = Math.ceil((limits.subsetSize * (others.length + 1)) / Math.max(1, targets.length));
  const copies = Math.max(wanted, limits.minEntriesPerTarget);

  const zones = new Map<Zone, Ranked[]>();
  for (const target of targets) {
    const targetHash = hashText(target.id);
    const kept = entries.length > 0 && countBefore(own, targetHash, others, copies) < copies;
    const ranked = zones.get(target.zone) ?? [];
    ranked.push({ target, hash: combineHashes(own, targetHash), kept });
    zones.set(target.zone, ranked);
  }
  const share = Math.ceil(limits.subsetSize / Math.max(1, zones.size));
  const least = entries.length > 0 ? limits.minTargetsPerZone : share;
  const subset: RouteTarget[] = [];
  for (const ranked of zones.values()) {
    ranked.sort((a, b) => Number(b.kept) - Number(a.kept) || b.hash - a.hash);
    for (const [index, { target, kept }] of ranked.entries()) {
      if (!kept && index >= least) break;
      subset.push(target);
    }
  }
  return subset;
}
