import { describe, expect, it } from 'vitest';
import { BoundaryChooser } from '../../src/index.js';

describe('BoundaryChooser', () => {
  // Guards against the boundary of a switch of a planner that ended before this process began to plan.
  it('begins beyond each pass that an earlier process may have used', () => {
    const boundaries = new BoundaryChooser();
    boundaries.recordStep(1, 20);
    expect(boundaries.getFirst()).toBe(25);
    boundaries.recordStep(1, 30);
    expect(boundaries.getFirst()).toBe(25);
    boundaries.clear();
    boundaries.recordStep(1, 30);
    expect(boundaries.getFirst()).toBe(35);
  });

  it('chooses no pass twice in one formation of the group', () => {
    const boundaries = new BoundaryChooser();
    boundaries.recordStep(1, 20);
    boundaries.recordUse(1, 31);
    boundaries.recordUse(1, 28);
    expect(boundaries.getFirst()).toBe(31);
    boundaries.recordUse(2, 90);
    expect(boundaries.getFirst()).toBe(31);
    boundaries.recordStep(2, 0);
    expect(boundaries.getFirst()).toBe(5);
  });
});
