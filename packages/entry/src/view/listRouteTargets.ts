import {
  matchTarget,
  type InstanceRecord,
  type RouteTarget,
  type ServiceDocument,
} from '@limpetbay/core';

/** Lists the targets of a service: the listed agents whose target the document includes. */
export function listRouteTargets(
  document: ServiceDocument,
  instances: readonly InstanceRecord[],
): RouteTarget[] {
  const places = new Map<string, { group: string; rank: number }>();
  for (const group of document.groups) {
    for (const [rank, target] of group.ranks.entries()) {
      places.set(target, { group: group.name, rank });
    }
  }
  const targets: RouteTarget[] = [];
  for (const { role, target, zone, state } of instances) {
    if (role !== 'agent' || target === undefined) continue;
    if (!matchTarget(document.targets, target)) continue;
    const place = places.get(target);
    targets.push({
      id: target,
      zone,
      group: place?.group ?? null,
      rank: place?.rank ?? null,
      state,
    });
  }
  return targets;
}
