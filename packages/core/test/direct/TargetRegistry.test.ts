import { describe, expect, it } from 'vitest';
import { ManualClock, TargetRegistry, type DirectTarget } from '../../src/index.js';

function createTarget(id: string, changes: Partial<DirectTarget> = {}): DirectTarget {
  return {
    id,
    service: 'model',
    address: `10.0.0.1:${id.length + 8000}`,
    zone: 'a',
    capacity: 8,
    isDraining: false,
    coldLeftMs: 0,
    bornMs: 1000,
    ...changes,
  };
}

describe('TargetRegistry', () => {
  it('removes a target at once when its registration is removed while the store is available', () => {
    const registry = new TargetRegistry(new ManualClock());
    registry.upsert(createTarget('x'));
    registry.remove('x');
    expect(registry.listTargets('model')).toHaveLength(0);
  });

  it('keeps targets whose registrations lapsed in a store outage until two seconds after it', () => {
    const clock = new ManualClock();
    const registry = new TargetRegistry(clock);
    registry.upsert(createTarget('x'));
    registry.upsert(createTarget('yy'));
    registry.setStoreUnavailable(true);
    clock.advance(60_000);
    registry.setStoreUnavailable(false);
    registry.replaceAll([]);
    expect(registry.listTargets('model')).toHaveLength(2);
    clock.advance(1500);
    registry.upsert(createTarget('x'));
    registry.expire();
    expect(registry.listTargets('model')).toHaveLength(2);
    clock.advance(1500);
    registry.expire();
    expect(registry.listTargets('model').map(({ id }) => id)).toEqual(['x']);
  });

  it('keeps the target that started last at an address, in either order of arrival', () => {
    const old = createTarget('old', { address: '10.0.0.1:9', bornMs: 1000 });
    const young = createTarget('young', { address: '10.0.0.1:9', bornMs: 2000 });
    for (const order of [
      [old, young],
      [young, old],
    ]) {
      const registry = new TargetRegistry(new ManualClock());
      for (const target of order) registry.upsert(target);
      expect(registry.listTargets('model').map(({ id }) => id)).toEqual(['young']);
    }
  });

  it('counts a target as cold for the stated time, even when the record is written again', () => {
    const clock = new ManualClock();
    const registry = new TargetRegistry(clock);
    registry.upsert(createTarget('x', { coldLeftMs: 3000 }));
    clock.advance(2000);
    registry.upsert(createTarget('x', { coldLeftMs: 3000, isDraining: false }));
    expect(registry.isCold('x')).toBe(true);
    clock.advance(1001);
    expect(registry.isCold('x')).toBe(false);
  });

  it('counts a target as cold again when it reports a longer cold time', () => {
    const clock = new ManualClock();
    const registry = new TargetRegistry(clock);
    registry.upsert(createTarget('x'));
    registry.upsert(createTarget('x', { coldLeftMs: 2000 }));
    expect(registry.isCold('x')).toBe(true);
  });

  // Guards against a flood of requests to a cold target (review case 13): the copy of a restored
  // store may be from before it turned cold.
  it.each(['in use', 'gone'])('keeps a target cold that a copy names as warm (%s)', (state) => {
    const clock = new ManualClock();
    const registry = new TargetRegistry(clock);
    const warm = createTarget('x');
    registry.upsert(warm);
    registry.upsert({ ...warm, coldLeftMs: 8000 });
    clock.advance(1000);
    if (state === 'gone') registry.remove('x');
    registry.restore([warm]);
    clock.advance(4500);
    registry.expire();
    expect(registry.listAll()).toHaveLength(1);
    expect(registry.isCold('x')).toBe(true);
    clock.advance(2501);
    expect(registry.isCold('x')).toBe(false);
  });

  // Guards against a target that has left, in use because a copy is from before its removal.
  it('ends the use of a lapsed target although a copy names it, until it has proved to run', () => {
    const clock = new ManualClock();
    const registry = new TargetRegistry(clock, () => 2000);
    const target = createTarget('x');
    registry.upsert(target);
    registry.setStoreUnavailable(true);
    registry.setStoreUnavailable(false);
    registry.remove('x');
    clock.advance(500);
    registry.restore([target]);
    expect(registry.listAll()).toEqual([target]);
    clock.advance(1500);
    expect(registry.listAll()).toEqual([]);
    clock.advance(3000);
    registry.expire();
    expect(registry.listAll()).toEqual([target]);
  });

  it('counts a target as cold that a copy knows to be cold', () => {
    const registry = new TargetRegistry(new ManualClock());
    registry.upsert(createTarget('x'));
    registry.restore([createTarget('x', { coldLeftMs: 3000 })]);
    expect(registry.isCold('x')).toBe(true);
  });

  // Guards against a service without warm targets after each restoration.
  it('keeps a target warm whose registration in the copy is the known one', () => {
    const clock = new ManualClock();
    const registry = new TargetRegistry(clock);
    const target = createTarget('x', { coldLeftMs: 3000 });
    registry.upsert(target);
    clock.advance(3001);
    registry.restore([target]);
    expect(registry.isCold('x')).toBe(false);
  });

  // Guards against losing a target that runs, and against keeping one that no heartbeat names again.
  it.each(['change', 'full read'])(
    'keeps a target whose registration became invalid with a %s until its heartbeat is overdue',
    (kind) => {
      const clock = new ManualClock();
      const registry = new TargetRegistry(clock);
      const target = createTarget('x');
      const invalidate = (): void => {
        if (kind === 'change') registry.retain('x');
        else registry.replaceAll([], new Set(['x']));
      };
      registry.upsert(target);
      invalidate();
      clock.advance(2000);
      registry.upsert(target);
      clock.advance(60_000);
      registry.expire();
      expect(registry.listAll()).toEqual([target]);
      // Writing the invalid registration again does not extend the time.
      for (let write = 0; write < 3; write += 1) {
        expect(registry.listAll()).toEqual([target]);
        invalidate();
        clock.advance(1000);
        registry.expire();
      }
      expect(registry.listAll()).toEqual([]);
      invalidate();
      expect(registry.listAll()).toEqual([]);
    },
  );
});
