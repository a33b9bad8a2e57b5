import { describe, expect, it } from 'vitest';
import type { RankStatus } from '@limpetbay/core';
import { SimGroup } from '@limpetbay/standins';
import { PlannerArmGuard } from '../src/index.js';

const PASS = { epoch: 1, step: 5, version: 8 };

function createStatus(held: number | null, epoch = 1): RankStatus {
  return { ...new SimGroup(2, 0).readStatus(1), epoch, held };
}

describe('PlannerArmGuard', () => {
  // Guards against an agent that restarted during a switch and does not know what it has ordered.
  it('does not know about a hold that is older than the process', () => {
    const guard = new PlannerArmGuard();
    guard.recordStatus(createStatus(PASS.step));
    expect(guard.getState(PASS)).toBe('unknown');
  });

  it('knows that nothing was armed for a hold that began later', () => {
    const guard = new PlannerArmGuard();
    guard.recordStatus(createStatus(null));
    expect(guard.getState(PASS)).toBe('not_armed');
    expect(guard.getState({ ...PASS, epoch: 2 })).toBe('unknown');
  });

  // Guards against an order without an answer that is carried out after the ranks were disarmed.
  it('takes an unanswered order for one that may still be carried out', () => {
    const guard = new PlannerArmGuard();
    guard.recordStatus(createStatus(null));
    expect(guard.begin(PASS)).toBe(true);
    guard.finish(PASS, 'lost');
    expect(guard.getState(PASS)).toBe('unknown');
    guard.finish(PASS, 'done');
    expect(guard.getState(PASS)).toBe('armed');
  });

  // Guards against a planner that runs again and has its rank armed while others are disarmed.
  it('does not arm for a pass that it has refused', () => {
    const guard = new PlannerArmGuard();
    guard.refuse(PASS);
    expect(guard.begin(PASS)).toBe(false);
    expect(guard.begin({ ...PASS, step: 6 })).toBe(true);
  });

  // Guards against a release for a later change of the same pass, for which the rank is not armed.
  it('does not take the state of an earlier change of the same pass for that of a later one', () => {
    const guard = new PlannerArmGuard();
    guard.recordStatus(createStatus(null));
    guard.begin(PASS);
    guard.finish(PASS, 'done');
    expect(guard.getState({ ...PASS, version: 16 })).toBe('not_armed');
    guard.begin({ ...PASS, version: 16 });
    guard.finish(PASS, 'done');
    expect(guard.getState({ ...PASS, version: 16 })).toBe('unknown');
  });
});
