import { beforeEach, describe, expect, it } from 'vitest';
import {
  AdmissionQueue,
  ColdLimiter,
  ManualClock,
  SeededRandom,
  TargetPicker,
  TargetRegistry,
  chooseStartWait,
  type DirectRoute,
  type DirectService,
} from '../../src/index.js';

const ROUTE: DirectRoute = {
  name: 'r',
  host: 'h',
  prefix: '/a/',
  kind: 'stream',
  maxAttempts: 2,
  timeoutMs: 8000,
  objectiveMs: 500,
  gapMs: 120,
  patienceMs: 2000,
  priority: 1,
  isPublic: false,
  isResumable: true,
  services: [{ service: 's', weight: 1 }],
};

const SERVICE: DirectService = {
  name: 's',
  maxConnections: 100,
  coldPerSecond: 0,
  engine: {
    capacity: 8,
    stepMs: 4,
    perSequenceMs: 1,
    contextMsPerThousand: 0,
    prefillTokensPerSecond: 60_000,
    chunkTokens: 512,
    stride: 4,
    kvCapacity: 100_000,
    usualPromptTokens: 800,
    usualAnswerTokens: 96,
    experts: { sets: 6, count: 64, slotsPerRank: 11, spareSlots: 4, copyMs: 148, workShare: 0.85 },
  },
};

const RANKS = 8;
const ARRIVAL_MS = 20;

describe('entries after a loss of power, while the groups of all targets form', () => {
  let clock: ManualClock;
  let picker: TargetPicker;
  let queue: AdmissionQueue;
  let started: number[];
  let refused: number[];

  beforeEach(() => {
    clock = new ManualClock();
    const registry = new TargetRegistry(clock);
    const random = new SeededRandom(3);
    picker = new TargetPicker({
      clock,
      random,
      registry,
      cold: new ColdLimiter(clock),
      countEntries: () => 8,
    });
    queue = new AdmissionQueue(clock);
    started = [];
    refused = [];
    for (let rank = 0; rank < RANKS; rank += 1) {
      registry.accept({
        id: `t${rank}`,
        service: 's',
        address: getAddress(rank),
        zone: 'a',
        capacity: 8,
        isDraining: false,
        coldLeftMs: 0,
        bornMs: 1,
      });
    }
  });

  function getAddress(rank: number): string {
    return `10.0.0.${rank}:1`;
  }

  function reportGroup(isOpen: boolean): void {
    const ranks = Array.from({ length: RANKS }, (_, rank) => ({
      address: getAddress(rank),
      active: 0,
      queued: 0,
    }));
    picker.acceptReport({ group: 'g', epoch: 1, isOpen, passMs: 0, ranks });
  }

  function tryStart(id: number): boolean {
    const picked = picker.pick({ service: SERVICE, excluded: new Set(), gapMs: ROUTE.gapMs });
    if (picked.target === null) return false;
    picker.getStats(picked.target.id).recordSent(clock.getNow());
    started.push(id);
    return true;
  }

  function arrive(id: number): void {
    const picked = picker.pick({ service: SERVICE, excluded: new Set(), gapMs: ROUTE.gapMs });
    if (picked.target !== null) {
      started.push(id);
      return;
    }
    const wait = chooseStartWait(ROUTE, picked.reason, 0);
    if (wait.maxWaitMs === 0) refused.push(id);
    else {
      queue.enqueue({
        service: 's',
        priority: 1,
        ...wait,
        tryStart: () => tryStart(id),
        expire: () => refused.push(id),
      });
    }
  }

  /** Lets requests arrive for some time. */
  function run(fromId: number, durationMs: number, isOpen: boolean | null): number {
    const arrivals = durationMs / ARRIVAL_MS;
    for (let at = 0; at < arrivals; at += 1) {
      if (isOpen !== null) reportGroup(isOpen);
      queue.advance();
      arrive(fromId + at);
      clock.advance(ARRIVAL_MS);
    }
    return fromId + arrivals;
  }

  it('send nothing to closed groups and start what has waited once they form', () => {
    const next = run(0, 1200, false);
    expect(started).toEqual([]);
    expect(refused).toEqual([]);
    run(next, 20, true);
    queue.advance();
    expect(refused).toEqual([]);
    expect(started.length).toBe(next + 1);
  });

  it('start requests that can still meet their objective before those that cannot', () => {
    const next = run(0, 1200, false);
    reportGroup(true);
    queue.advance();
    // Half of the objective, 250 ms, may pass before the start.
    const fresh = started.slice(0, 12);
    expect(Math.min(...fresh)).toBe(next - 12);
    expect(started[12]).toBe(0);
  });

  it('refuse a request before its caller leaves', () => {
    run(0, 1600, false);
    // 2 s until the caller leaves, less the time to a first event.
    expect(refused[0]).toBe(0);
    expect(refused.length).toBeLessThanOrEqual((1600 - 1500) / ARRIVAL_MS + 1);
  });

  it('refuse at once where a group stays closed, because it lacks a rank', () => {
    run(0, 3000, false);
    const before = refused.length;
    reportGroup(false);
    arrive(1000);
    expect(refused.slice(before)).toEqual([1000]);
  });

  it('wait for the first report of a rank, but not for one that has no agent', () => {
    run(0, 580, null);
    expect(started).toEqual([]);
    run(100, 60, null);
    expect(started.length).toBeGreaterThan(0);
    expect(refused).toEqual([]);
  });
});

describe('AdmissionQueue', () => {
  it('does not let the requests of one service wait for the room of another', () => {
    const queue = new AdmissionQueue(new ManualClock());
    const started: string[] = [];
    for (const service of ['closed', 'open']) {
      queue.enqueue({
        service,
        priority: 1,
        freshMs: 250,
        maxWaitMs: 250,
        tryStart: () => {
          if (service === 'closed') return false;
          started.push(service);
          return true;
        },
        expire: () => {},
      });
    }
    queue.advance();
    expect(started).toEqual(['open']);
  });
});
