import { describe, expect, it } from 'vitest';
import {
  ConcurrencyGradient,
  ConcurrencyLimit,
  FairQueue,
  ManualClock,
  SeededRandom,
  WorkspaceLimiter,
} from '@limpetbay/core';
import type { QueueEntry, UsageSummary } from '@limpetbay/core';

let sequence = 0;

function buildEntry(change: Partial<QueueEntry> = {}): QueueEntry {
  sequence += 1;
  const id = `e${sequence}`;
  return { id, workspace: 'w', level: 1, cost: 1, deadlineMs: 1000, latestStartMs: 900, ...change };
}

function drainWorkspaces(queue: FairQueue<QueueEntry>, count: number): Map<string, number> {
  const costs = new Map<string, number>();
  for (let index = 0; index < count; index += 1) {
    const entry = queue.take();
    if (entry === null) break;
    costs.set(entry.workspace, (costs.get(entry.workspace) ?? 0) + entry.cost);
  }
  return costs;
}

describe('FairQueue', () => {
  // Guards against urgent work that waits behind work with more time.
  it('serves by priority, then by deadline', () => {
    const queue = new FairQueue<QueueEntry>();
    const late = buildEntry({ deadlineMs: 3000 });
    const early = buildEntry({ deadlineMs: 2000 });
    const high = buildEntry({ level: 0, deadlineMs: 9000 });
    for (const entry of [late, early, high]) queue.enqueue(entry);
    expect(queue.drain()).toEqual([high, early, late]);
  });

  // Guards against a workspace that takes more than its share with many or with large requests.
  it('shares by cost between workspaces', () => {
    const queue = new FairQueue<QueueEntry>();
    for (let index = 0; index < 1000; index += 1) {
      queue.enqueue(buildEntry({ workspace: 'large', cost: 50 }));
      queue.enqueue(buildEntry({ workspace: 'small', cost: 5 }));
    }
    const costs = drainWorkspaces(queue, 550);
    const ratio = (costs.get('large') ?? 0) / (costs.get('small') ?? 1);
    expect(ratio).toBeGreaterThan(0.9);
    expect(ratio).toBeLessThan(1.1);
  });

  // Guards against a full queue that belongs to one workspace and shuts out the others.
  it('evicts from the workspace that holds most, but never for one that holds as much', () => {
    const queue = new FairQueue<QueueEntry>();
    const entries = [];
    for (let index = 0; index < 3; index += 1) {
      const entry = buildEntry({ workspace: 'flood', deadlineMs: 1000 + index });
      entries.push(entry);
      queue.enqueue(entry);
    }
    expect(queue.evictFor(buildEntry({ workspace: 'flood' }))).toBeNull();
    const small = buildEntry({ workspace: 'small' });
    expect(queue.evictFor(small)).toBe(entries[2]);
    queue.enqueue(small);
    expect(queue.evictFor(buildEntry({ workspace: 'small' }))).toBeNull();
  });

  // Guards against low-priority work that keeps high-priority work out of a full queue.
  it('evicts a lower priority for a higher one and not the other way round', () => {
    const queue = new FairQueue<QueueEntry>();
    const low = buildEntry({ level: 2 });
    queue.enqueue(low);
    expect(queue.evictFor(buildEntry({ level: 2, workspace: 'x' }))).toBeNull();
    expect(queue.evictFor(buildEntry({ level: 0 }))).toBe(low);
    queue.enqueue(buildEntry({ level: 0 }));
    expect(queue.evictFor(buildEntry({ level: 2 }))).toBeNull();
  });

  // Guards against expired entries that are missed, and live ones that are dropped.
  it('finds exactly the entries that can no longer start in time', () => {
    const queue = new FairQueue<QueueEntry>();
    for (let start = 0; start < 500; start += 7) {
      queue.enqueue(buildEntry({ latestStartMs: start }));
    }
    for (const nowMs of [0, 1, 31, 33, 200, 201, 499]) {
      queue.takeExpired(nowMs);
      const left = Math.floor(497 / 7) + 1 - Math.ceil(nowMs / 7);
      expect(queue.getSize()).toBe(left);
    }
  });

  // Guards against state that stays for every workspace ever seen.
  it('holds state for active workspaces only, of 21,000', () => {
    const queue = new FairQueue<QueueEntry>();
    for (let index = 0; index < 21_000; index += 1) {
      queue.enqueue(buildEntry({ workspace: `w${index}` }));
      if (index >= 100) queue.take();
    }
    expect(queue.getActive()).toBe(100);
    expect(drainWorkspaces(queue, 200).size).toBe(100);
    expect([queue.getActive(), queue.getCost()]).toEqual([0, 0]);
  });
});

describe('ConcurrencyLimit', () => {
  function buildUsage(inFlight: number, ratio: number, errorShare = 0): UsageSummary {
    return {
      lengthMs: 250,
      samples: 64,
      complete: true,
      paceRatio: ratio,
      paceSpread: 0.1,
      errorShare,
      meanInFlight: inFlight,
      reachedLimit: true,
      meanUse: 1,
      waiting: 0,
    };
  }

  /** Runs windows in which a target of a given best concurrency is full. */
  function runWindows(limit: ConcurrencyLimit, count: number, computeRatio: (n: number) => number) {
    for (let window = 0; window < count; window += 1) {
      const granted = limit.getLimit();
      limit.advance(window * 250, buildUsage(granted, computeRatio(granted)), granted);
    }
  }

  // Guards against a limit past the point where more concurrency only lengthens service times,
  // and against one that starves a target which slows down but still gains throughput.
  it('finds the concurrency that a target can use, and follows when it changes', () => {
    const limit = new ConcurrencyLimit(64);
    runWindows(limit, 200, (n) => (1 + n / 32) * Math.max(1, n / 32) ** 2);
    expect(limit.getLimit()).toBeGreaterThan(25);
    expect(limit.getLimit()).toBeLessThan(38);
    runWindows(limit, 300, (n) => 1 + n / 64);
    expect(limit.getLimit()).toBe(64);
  });

  // Guards against a limit that stays high while the target fails.
  it('shrinks on errors', () => {
    const limit = new ConcurrencyLimit(64);
    limit.advance(0, buildUsage(6, 1, 0.2), 6);
    expect(limit.getLimit()).toBe(4);
  });

  // Guards against a limit that is lowered by noise.
  it('compares only what rests on enough samples and lies apart', () => {
    const compute = (lower: number, higher: number, samples: number): number => {
      const gradient = new ConcurrencyGradient();
      gradient.record(0, { ...buildUsage(lower, 1), samples }, 1);
      gradient.record(0, { ...buildUsage(higher, 3), samples }, 3);
      return gradient.compute(higher);
    };
    expect(compute(10, 20, 64)).toBeLessThan(1);
    expect(compute(10, 20, 4)).toBe(Infinity);
    expect(compute(28.9, 30.2, 64)).toBe(Infinity);
  });

  // Guards against a limit that stays past the best concurrency because nothing lower was
  // measured, or not recently.
  it('probes below a limit without recent measurements there', () => {
    const limit = new ConcurrencyLimit(40);
    runWindows(limit, 40, (n) => Math.max(1, n / 20) ** 1.3);
    expect(limit.getLimit()).toBeLessThan(36);
    const gradient = new ConcurrencyGradient();
    gradient.record(0, buildUsage(16, 1), 1);
    gradient.record(30_000, buildUsage(24, 1), 1);
    expect(gradient.hasNear(24)).toBe(true);
    gradient.record(30_001, buildUsage(24, 1), 1);
    expect(gradient.hasNear(24)).toBe(false);
  });
});

describe('WorkspaceLimiter', () => {
  /** Offers for 10 s; returns the admitted share by workspace. */
  function runLimiter(capacity: number, offers: Record<string, number>): Map<string, number> {
    const clock = new ManualClock();
    const limiter = new WorkspaceLimiter({ clock, random: new SeededRandom(7), maxTracked: 64 });
    limiter.setCapacity(capacity);
    const admitted = new Map<string, number>();
    for (let step = 0; step < 1000; step += 1) {
      clock.advance(10);
      for (const [workspace, perStep] of Object.entries(offers)) {
        for (let index = 0; index < perStep; index += 1) {
          if (limiter.admit(workspace, 1).err || step < 500) continue;
          admitted.set(workspace, (admitted.get(workspace) ?? 0) + 1 / (500 * perStep));
        }
      }
      expect(limiter.getTracked()).toBeLessThanOrEqual(128);
    }
    return admitted;
  }

  // Guards against a flood that uses up the targets at the cost of small workspaces.
  it('thins out the flooding workspace to the share that is left', () => {
    const admitted = runLimiter(1000, { flood: 20, a: 1, b: 1 });
    expect(admitted.get('a')).toBeCloseTo(1);
    expect(admitted.get('b')).toBeCloseTo(1);
    expect(admitted.get('flood')).toBeGreaterThan(0.35);
    expect(admitted.get('flood')).toBeLessThan(0.45);
  });

  // Guards against refusals while there is capacity, even for one large workspace.
  it('refuses nothing without pressure', () => {
    expect(runLimiter(3000, { flood: 20, a: 1 }).get('flood')).toBeCloseTo(1);
  });

  // Guards against memory for each of 21,000 workspaces, and against a flood that is not noticed
  // because the memory is taken by small ones.
  it('bounds its memory and still finds a flood', () => {
    const clock = new ManualClock();
    const limiter = new WorkspaceLimiter({ clock, random: new SeededRandom(7), maxTracked: 64 });
    limiter.setCapacity(1000);
    let refused = 0;
    for (let step = 0; step < 25_000; step += 1) {
      clock.advance(0.5);
      const workspace = step < 21_000 ? `w${step}` : 'flood';
      if (limiter.admit(workspace, 1).err) refused += 1;
      if (step < 21_000) expect(refused).toBe(0);
      expect(limiter.getTracked()).toBeLessThanOrEqual(128);
    }
    expect(refused).toBeGreaterThan(500);
  });

  // Guards against refusing the workspaces that happen to be tracked when all are equal.
  it('treats equal workspaces alike when it cannot track all', () => {
    const clock = new ManualClock();
    const limiter = new WorkspaceLimiter({ clock, random: new SeededRandom(7), maxTracked: 64 });
    limiter.setCapacity(1000);
    const refused = new Map<number, number>();
    for (let step = 0; step < 60_000; step += 1) {
      clock.advance(0.5);
      const workspace = step % 300;
      if (limiter.admit(`w${workspace}`, 1).ok) continue;
      refused.set(workspace, (refused.get(workspace) ?? 0) + 1);
    }
    expect(Math.max(0, ...refused.values())).toBeLessThan(100);
  });
});
