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
    const entry = queue.dequeue();
    if (entry === null) break;
    costs.set(entry.workspace, (costs.get(entry.workspace) ?? 0) + entry.cost);
  }
  return costs;
}

describe('FairQueue', () => {
  // Guards against urgent requests that wait behind requests with later deadlines.
  it('serves by priority, then by deadline', () => {
    const queue = new FairQueue<QueueEntry>();
    const late = buildEntry({ deadlineMs: 3000 });
    const early = buildEntry({ deadlineMs: 2000 });
    const high = buildEntry({ level: 0, deadlineMs: 9000 });
    for (const entry of [late, early, high]) queue.enqueue(entry);
    expect(queue.drain()).toEqual([high, early, late]);
  });

  // Guards against a workspace that exceeds its share by sending many or large requests.
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

  // Guards against one workspace that fills the queue and so keeps the others out.
  it('evicts from the workspace with the most entries, but not for one with as many', () => {
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

  // Guards against low-priority requests that keep high-priority ones out of a full queue.
  it('evicts a lower priority for a higher one, but not a higher one for a lower one', () => {
    const queue = new FairQueue<QueueEntry>();
    const low = buildEntry({ level: 2 });
    queue.enqueue(low);
    expect(queue.evictFor(buildEntry({ level: 2, workspace: 'x' }))).toBeNull();
    expect(queue.evictFor(buildEntry({ level: 0 }))).toBe(low);
    queue.enqueue(buildEntry({ level: 0 }));
    expect(queue.evictFor(buildEntry({ level: 2 }))).toBeNull();
  });

  // Guards against expired entries that stay queued and valid ones that are removed.
  it('finds exactly the entries that can no longer start in time', () => {
    const queue = new FairQueue<QueueEntry>();
    for (let start = 0; start < 500; start += 7) {
      queue.enqueue(buildEntry({ latestStartMs: start }));
    }
    for (const nowMs of [0, 1, 31, 33, 200, 201, 499]) {
      queue.removeExpired(nowMs);
      const left = Math.floor(497 / 7) + 1 - Math.ceil(nowMs / 7);
      expect(queue.getSize()).toBe(left);
    }
  });

  // Guards against a memory leak: state kept for every workspace ever seen.
  it('keeps state only for the workspaces with entries, of 21,000', () => {
    const queue = new FairQueue<QueueEntry>();
    for (let index = 0; index < 21_000; index += 1) {
      queue.enqueue(buildEntry({ workspace: `w${index}` }));
      if (index >= 100) queue.dequeue();
    }
    expect(queue.countLanes()).toBe(100);
    expect(drainWorkspaces(queue, 200).size).toBe(100);
    expect([queue.countLanes(), queue.getCost()]).toEqual([0, 0]);
  });
});

describe('ConcurrencyLimit', () => {
  function buildUsage(inFlight: number, ratio: number, errorShare = 0): UsageSummary {
    return {
      lengthMs: 250,
      samples: 64,
      isRepresentative: true,
      serviceTimeRatio: ratio,
      serviceTimeSpread: 0.1,
      errorShare,
      meanInFlight: inFlight,
      hasReachedLimit: true,
      meanUtilization: 1,
      maxWaiting: 0,
    };
  }

  /** Runs windows in which the limit is fully used; `computeRatio` gives the service time ratio. */
  function runWindows(limit: ConcurrencyLimit, count: number, computeRatio: (n: number) => number) {
    for (let window = 0; window < count; window += 1) {
      const granted = limit.getLimit();
      limit.advance(window * 250, buildUsage(granted, computeRatio(granted)), granted);
    }
  }

  // Guards against a limit above the concurrency from which on only service times grow, and
  // against one too low for a target that slows down but still gains throughput.
  it('converges to the concurrency that a target can use, also after a change', () => {
    const limit = new ConcurrencyLimit(64);
    runWindows(limit, 200, (n) => (1 + n / 32) * Math.max(1, n / 32) ** 2);
    expect(limit.getLimit()).toBeGreaterThan(25);
    expect(limit.getLimit()).toBeLessThan(38);
    runWindows(limit, 300, (n) => 1 + n / 64);
    expect(limit.getLimit()).toBe(64);
  });

  // Guards against a limit that stays high while requests to the target fail.
  it('shrinks on errors', () => {
    const limit = new ConcurrencyLimit(64);
    limit.advance(0, buildUsage(6, 1, 0.2), 6);
    expect(limit.getLimit()).toBe(4);
  });

  // Guards against a limit lowered because of noise in the measurements.
  it('compares only bands with enough samples and sufficiently different concurrencies', () => {
    const compute = (lower: number, higher: number, samples: number): number => {
      const gradient = new ConcurrencyGradient();
      gradient.record(0, { ...buildUsage(lower, 1), samples }, 1);
      gradient.record(0, { ...buildUsage(higher, 3), samples }, 3);
      return gradient.computeGradient(higher);
    };
    expect(compute(10, 20, 64)).toBeLessThan(1);
    expect(compute(10, 20, 4)).toBe(Infinity);
    expect(compute(28.9, 30.2, 64)).toBe(Infinity);
  });

  // Guards against a limit that stays above the best concurrency because no lower concurrency
  // was measured recently.
  it('probes a lower concurrency without a recent measurement there', () => {
    const limit = new ConcurrencyLimit(40);
    runWindows(limit, 40, (n) => Math.max(1, n / 20) ** 1.3);
    expect(limit.getLimit()).toBeLessThan(36);
    const gradient = new ConcurrencyGradient();
    gradient.record(0, buildUsage(16, 1), 1);
    gradient.record(30_000, buildUsage(24, 1), 1);
    expect(gradient.hasLowerMeasurement(24)).toBe(true);
    gradient.record(30_001, buildUsage(24, 1), 1);
    expect(gradient.hasLowerMeasurement(24)).toBe(false);
  });
});

describe('WorkspaceLimiter', () => {
  /** Offers requests for 10 s. @returns admitted share by workspace in the last 5 s */
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
      expect(limiter.countTracked()).toBeLessThanOrEqual(128);
    }
    return admitted;
  }

  // Guards against one flooding workspace that takes the capacity of small ones.
  it('limits the flooding workspace to the remaining share', () => {
    const admitted = runLimiter(1000, { flood: 20, a: 1, b: 1 });
    expect(admitted.get('a')).toBeCloseTo(1);
    expect(admitted.get('b')).toBeCloseTo(1);
    expect(admitted.get('flood')).toBeGreaterThan(0.35);
    expect(admitted.get('flood')).toBeLessThan(0.45);
  });

  // Guards against refusals while there is spare capacity, even for one large workspace.
  it('refuses nothing without overload', () => {
    expect(runLimiter(3000, { flood: 20, a: 1 }).get('flood')).toBeCloseTo(1);
  });

  // Guards against memory use per workspace (21,000), and against a flood that is missed because
  // small workspaces occupy all tracked slots.
  it('bounds the tracked workspaces and still limits a flood', () => {
    const clock = new ManualClock();
    const limiter = new WorkspaceLimiter({ clock, random: new SeededRandom(7), maxTracked: 64 });
    limiter.setCapacity(1000);
    let refused = 0;
    for (let step = 0; step < 25_000; step += 1) {
      clock.advance(0.5);
      const workspace = step < 21_000 ? `w${step}` : 'flood';
      if (limiter.admit(workspace, 1).err) refused += 1;
      if (step < 21_000) expect(refused).toBe(0);
      expect(limiter.countTracked()).toBeLessThanOrEqual(128);
    }
    expect(refused).toBeGreaterThan(500);
  });

  // Guards against refusals that hit only the tracked workspaces when all offer the same load.
  it('limits equal workspaces equally when it cannot track all', () => {
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
