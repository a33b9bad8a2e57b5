import { describe, expect, it } from 'vitest';
import { completeSets } from '../../src/index.js';

describe('completeSets', () => {
  it('keeps what the ranks hold and adds what none holds where there is most room', () => {
    const held = [
      [[0, 1], [1], [3, 4]],
      [[2], [0, 1], [4]],
    ];
    expect(completeSets(held, 5)).toEqual([
      [
        [0, 1],
        [1, 2],
        [3, 4],
      ],
      [[2, 3], [0, 1], [4]],
    ]);
  });
});
