import { describe, expect, it } from 'vitest';
import type { RouteTarget } from '@limpetbay/core';
import { InstanceId, TargetId, Zone, chooseSubset } from '@limpetbay/core';

const limits = { subsetSize: 24, minEntriesPerTarget: 3, minTargetsPerZone: 4 };

function createTargets(count: number): RouteTarget[] {
  const targets: RouteTarget[] = [];
  for (let index = 0; index < count; index += 1) {
    const zone = Zone.parse(`z${index % 4}`);
    targets.push({ id: TargetId.parse(`t${index}`), zone, group: null, rank: null, state: 'live' });
  }
  return targets;
}

function createEntryIds(count: number): InstanceId[] {
  return Array.from({ length: count }, (_, index) => InstanceId.parse(`entry-${index}`));
}

describe('chooseSubset', () => {
  // Guards against targets that no entry uses, which happens if entries choose independently.
  it('assigns each target to the minimum number of entries', () => {
    const entryCounts = new Map<string, number>();
    const entries = createEntryIds(8);
    for (const entry of entries) {
      for (const { id } of chooseSubset(entry, entries, createTargets(400), limits)) {
        entryCounts.set(id, (entryCounts.get(id) ?? 0) + 1);
      }
    }
    expect(entryCounts.size).toBe(400);
    expect(Math.min(...entryCounts.values())).toBeGreaterThanOrEqual(3);
  });

  // Guards against an entry that depends on a single zone or connects to every target.
  it('has a bounded size and targets in every zone', () => {
    const entries = createEntryIds(100);
    const subset = chooseSubset(entries[0]!, entries, createTargets(400), limits);
    expect(subset.length).toBeLessThan(60);
    expect(new Set(subset.map(({ zone }) => zone)).size).toBe(4);
    const withoutEntries = chooseSubset(entries[0]!, [], createTargets(400), limits);
    expect(withoutEntries.length).toBe(24);
    expect(chooseSubset(entries[1]!, [], createTargets(400), limits)).not.toEqual(withoutEntries);
  });

  // Guards against reconnecting to most targets whenever an entry joins or leaves.
  it('changes little when an entry leaves', () => {
    const entries = createEntryIds(20);
    const before = chooseSubset(entries[0]!, entries, createTargets(400), limits);
    const after = chooseSubset(entries[0]!, entries.slice(0, 19), createTargets(400), limits);
    const kept = new Set(after.map(({ id }) => id));
    expect(before.filter(({ id }) => kept.has(id)).length).toBeGreaterThan(0.8 * before.length);
  });
});
