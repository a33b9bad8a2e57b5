import { describe, expect, it } from 'vitest';
import type { RouteTarget } from '@limpetbay/core';
import { InstanceId, TargetId, Zone, chooseSubset } from '@limpetbay/core';

const limits = { subsetSize: 24, minEntriesPerTarget: 3, minTargetsPerZone: 4 };

function listTargets(count: number): RouteTarget[] {
  const targets: RouteTarget[] = [];
  for (let index = 0; index < count; index += 1) {
    const zone = Zone.parse(`z${index % 4}`);
    targets.push({ id: TargetId.parse(`t${index}`), zone, group: null, rank: null, state: 'live' });
  }
  return targets;
}

function listEntries(count: number): InstanceId[] {
  return Array.from({ length: count }, (_, index) => InstanceId.parse(`entry-${index}`));
}

describe('chooseSubset', () => {
  // Guards against accelerators that no entry uses, which happens where each entry draws alone.
  it('leaves no target without its number of entries', () => {
    const holders = new Map<string, number>();
    const entries = listEntries(8);
    for (const entry of entries) {
      for (const { id } of chooseSubset(entry, entries, listTargets(400), limits)) {
        holders.set(id, (holders.get(id) ?? 0) + 1);
      }
    }
    expect(holders.size).toBe(400);
    expect(Math.min(...holders.values())).toBeGreaterThanOrEqual(3);
  });

  // Guards against an entry that depends on one zone or connects to the whole fleet.
  it('is bounded and has targets of every zone', () => {
    const entries = listEntries(100);
    const subset = chooseSubset(entries[0]!, entries, listTargets(400), limits);
    expect(subset.length).toBeLessThan(60);
    expect(new Set(subset.map(({ zone }) => zone)).size).toBe(4);
    const alone = chooseSubset(entries[0]!, [], listTargets(400), limits);
    expect(alone.length).toBe(24);
    expect(chooseSubset(entries[1]!, [], listTargets(400), limits)).not.toEqual(alone);
  });

  // Guards against new connections for most targets whenever one entry or target comes or goes.
  it('moves little when an entry leaves', () => {
    const entries = listEntries(20);
    const before = chooseSubset(entries[0]!, entries, listTargets(400), limits);
    const after = chooseSubset(entries[0]!, entries.slice(0, 19), listTargets(400), limits);
    const kept = new Set(after.map(({ id }) => id));
    expect(before.filter(({ id }) => kept.has(id)).length).toBeGreaterThan(0.8 * before.length);
  });
});
