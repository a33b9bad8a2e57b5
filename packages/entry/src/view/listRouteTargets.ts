import {
  matchTarget,
  type InstanceRecord,
  type RouteTarget,
  type ServiceDocument,
} from '@limpetbay/core';

/** Lists the targets of a service: those of its document with an agent in the instance list. */
export function listRouteTargets(
  document: ServiceDocument,
  instances: readonly InstanceRecord[],
): RouteTarget[] {
  const groupRanks = new Map<string, { group: string; rank: number }>();
  for (const group of document.groups) {
    for (const [rank, target] of group.ranks.entries()) {
      groupRanks.set(target, { group: group.name, rank });
    }
  }
  const targets: RouteTarget[] = [];
  for (const { role, target, zone, state } of instances) {
    if (role !== 'agent' || target === undefined) continue;
    if (!matchTarget(document.targets, target)) continue;
    const groupRank = groupRanks.get(target);
    targets.push({
      id: target,
      zone,
      group: groupRank?.group ?? null,
      rank: groupRank?.rank ?? null,
      state,
    });
  }
  return targets;
}
