import { describe, expect, it } from 'vitest';
import { applyMapDelta, createInitialMap, diffMaps } from '../../src/index.js';

describe('a difference of expert maps', () => {
  const before = createInitialMap(2, 8, 4);

  it('turns the one map into the other', () => {
    const after = [
      [
        [0, 4, 5],
        [1, 5],
        [2, 6],
        [0, 3, 7],
      ],
      [
        [0, 4],
        [1, 2],
        [2, 6],
        [3, 5, 7],
      ],
    ];
    const delta = diffMaps(before, after);
    expect(delta.added).toHaveLength(4);
    expect(delta.removed).toHaveLength(1);
    expect(applyMapDelta(before, delta)).toEqual(after);
  });

  it('is empty for equal maps', () => {
    expect(diffMaps(before, before)).toEqual({ added: [], removed: [] });
  });

  // Guards against ranks that derive different maps from different bases.
  it('cannot be applied to a map that lacks a removed copy, a set or a rank', () => {
    expect(applyMapDelta(before, { added: [], removed: [[0, 0, 5]] })).toBeNull();
    expect(applyMapDelta(before, { added: [[2, 0, 5]], removed: [] })).toBeNull();
    expect(applyMapDelta(before, { added: [[0, 4, 5]], removed: [] })).toBeNull();
  });
});
