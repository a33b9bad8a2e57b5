import { beforeEach, describe, expect, it } from 'vitest';
import {
  AdmissionQueue,
  ManualClock,
  chooseStartWait,
  computeFreshMs,
  type StartObstacle,
  type TargetPicker,
} from '../../src/index.js';
import { RankBed } from './support/RankBed.js';
import { streamRoute } from './support/streamRoute.js';

const RANKS = 8;
const MAX_WAITING = 100;
const ARRIVAL_MS = 40;

describe('entries after a loss of power, while the groups of all targets form', () => {
  let clock: ManualClock;
  let bed: RankBed;
  let picker: TargetPicker;
  let queue: AdmissionQueue;
  let started: number[];
  let refused: number[];

  beforeEach(() => {
    clock = new ManualClock();
    bed = new RankBed(clock, RANKS);
    picker = bed.createPicker(1);
    queue = new AdmissionQueue(clock);
    started = [];
    refused = [];
  });

  function reportGroup(isOpen: boolean, isMapped = false): void {
    const countActive = (rank: number): number =>
      started.filter((__, at) => at % RANKS === rank).length;
    picker.acceptReport(bed.createReport({ isOpen, isMapped }, countActive));
  }

  function pick(id: number, arrivedMs: number): StartObstacle | null {
    const elapsedMs = clock.getNow() - arrivedMs;
    const picked = picker.pick({
      service: bed.service,
      excluded: new Set(),
      gapMs: streamRoute.gapMs,
      isLate: computeFreshMs(streamRoute, elapsedMs) === 0,
    });
    if (picked.target === null) return picked.reason;
    picker.getStats(picked.target.id).recordSent(clock.getNow());
    started.push(id);
    return null;
  }

  function arrive(id: number): void {
    const arrivedMs = clock.getNow();
    const obstacle = pick(id, arrivedMs);
    if (obstacle === null) return;
    const wait = chooseStartWait(streamRoute, obstacle, 0, false);
    if (wait.maxWaitMs === 0) refused.push(id);
    else {
      queue.enqueue(
        {
          service: 's',
          priority: 1,
          ...wait,
          tryStart: () => pick(id, arrivedMs) === null,
          expire: () => refused.push(id),
        },
        MAX_WAITING,
      );
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
    reportGroup(true, true);
    queue.advance();
    expect(refused).toEqual([]);
    expect(started.length).toBe(next);
  });

  it('start requests that can still meet their objective before those that cannot', () => {
    const next = run(0, 1200, false);
    reportGroup(true, true);
    queue.advance();
    // Half of the objective, 250 ms, may pass before the start.
    const fresh = started.slice(0, 6);
    expect(Math.min(...fresh)).toBe(next - 6);
    expect(started[6]).toBe(0);
  });

  it('keep room for new requests once a map fits the demand', () => {
    const next = run(0, 1200, false);
    reportGroup(true, true);
    queue.advance();
    const late = started.filter((id) => id < next - 6).length;
    expect(late).toBeLessThanOrEqual((8 * RANKS) / 2);
    clock.advance(100);
    reportGroup(true, true);
    for (let id = 100; id < 110; id += 1) arrive(id);
    expect(started).toEqual(expect.arrayContaining([100, 109]));
  });

  it('send a few requests to a group that has just formed, together, until it has a map', () => {
    const pickers = Array.from({ length: 8 }, () => bed.createPicker(8));
    const request = {
      service: bed.service,
      excluded: new Set<string>(),
      gapMs: 120,
      isLate: false,
    };
    const report = bed.createReport({ epoch: 2 });
    let sent = 0;
    const sendAll = (): void => {
      for (const entry of pickers) {
        entry.acceptReport(report);
        for (let tries = 0; tries < 20; tries += 1) {
          const { target } = entry.pick(request);
          if (target === null) break;
          entry.getStats(target.id).recordSent(clock.getNow());
          sent += 1;
        }
      }
    };
    sendAll();
    clock.advance(500);
    sendAll();
    // Two for each rank.
    expect(sent).toBe(2 * RANKS);
    // Without a planner the group serves as well as it can.
    clock.advance(2600);
    sendAll();
    expect(sent).toBeGreaterThan(2 * RANKS);
  });

  it('let requests wait for the first map as for the group itself', () => {
    reportGroup(true);
    for (let id = 0; id < 3 * RANKS; id += 1) arrive(id);
    clock.advance(600);
    queue.advance();
    expect(refused).toEqual([]);
    reportGroup(true, true);
    queue.advance();
    expect(started.length).toBe(3 * RANKS);
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
    run(0, 560, null);
    expect(started).toEqual([]);
    run(100, 80, null);
    expect(started.length).toBeGreaterThan(0);
    expect(refused).toEqual([]);
  });
});

describe('chooseStartWait', () => {
  it('gives a stream that broke off a short wait for room, though its objective is used up', () => {
    expect(chooseStartWait(streamRoute, 'overloaded', 1500, true).maxWaitMs).toBe(250);
    expect(chooseStartWait(streamRoute, 'not_formed', 1500, true).maxWaitMs).toBe(250);
    expect(chooseStartWait(streamRoute, 'overloaded', 1500, false).maxWaitMs).toBe(0);
  });

  it('lets nothing wait where no target is there, nor what is no stream', () => {
    expect(chooseStartWait(streamRoute, 'no_target', 0, false).maxWaitMs).toBe(0);
    expect(
      chooseStartWait({ ...streamRoute, kind: 'safe' }, 'not_formed', 0, false).maxWaitMs,
    ).toBe(0);
  });
});

describe('AdmissionQueue', () => {
  it('refuses one that is late, not the one that has just come, when too many wait', () => {
    const clock = new ManualClock();
    const queue = new AdmissionQueue(clock);
    const refused: number[] = [];
    const add = (id: number): void =>
      queue.enqueue(
        {
          service: 's',
          priority: 1,
          freshMs: 250,
          maxWaitMs: 1500,
          tryStart: () => false,
          expire: () => refused.push(id),
        },
        3,
      );
    add(1);
    clock.advance(100);
    add(2);
    clock.advance(300);
    add(3);
    add(4);
    expect(refused).toEqual([2]);
    expect(queue.count()).toBe(3);
  });

  it('does not let the requests of one service wait for the room of another', () => {
    const queue = new AdmissionQueue(new ManualClock());
    const started: string[] = [];
    for (const service of ['closed', 'open']) {
      queue.enqueue(
        {
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
        },
        MAX_WAITING,
      );
    }
    queue.advance();
    expect(started).toEqual(['open']);
  });
});
