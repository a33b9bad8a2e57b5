import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import type { RankOrder, RankStatus } from '@limpetbay/core';
import { MetricRegistry } from '@limpetbay/runtime';
import { SimGroup, SimTimers } from '@limpetbay/standins';
import { MapPlanner, PlannerArmGuard } from '../src/index.js';

const RANKS = 3;

const MODEL = { sets: 1, count: 3, slotsPerRank: 2, spareSlots: 1, copyMs: 1, workShare: 0.85 };

const INITIAL_SETS = [[[0], [1], [2]]];

const ACTIVE_SETS = [[[0, 1], [1], [2]]];

const ACTIVE_VERSION = 6;

describe('MapPlanner', () => {
  const orders: { rank: number; order: RankOrder }[] = [];
  let timers: SimTimers;
  let planner: MapPlanner;
  let isStalled = false;
  /** Returns the version of the map that a rank names with the experts that it holds. */
  let readVersion: (rank: number) => number;

  beforeEach(() => {
    timers = new SimTimers();
    timers.begin();
    orders.length = 0;
    isStalled = false;
    readVersion = () => 0;
    planner = new MapPlanner({
      clock: timers,
      log: { report: () => {}, warn: () => {}, alert: () => {} },
      metrics: new MetricRegistry(),
      ownRank: 0,
      getRank: (rank) => ({
        getPath: () => (rank === 0 ? 'local' : 'agent'),
        order: (order) => {
          orders.push({ rank, order });
          return Promise.resolve('done');
        },
        armPlanner: () => Promise.resolve('done'),
        pollStatus: () => Promise.resolve(),
        readHeld: () => Promise.resolve({ version: readVersion(rank), sets: [[rank]] }),
      }),
      findMap: (_epoch, version) => (version === ACTIVE_VERSION ? ACTIVE_SETS : INITIAL_SETS),
      isGroupStalled: () => isStalled,
      armGuard: new PlannerArmGuard(),
    });
    planner.setModel(MODEL);
  });

  afterEach(() => timers.end());

  function reportStatuses(change: (status: RankStatus) => Partial<RankStatus>): void {
    const group = new SimGroup(RANKS, 0);
    for (let rank = 0; rank < RANKS; rank += 1) {
      const status = group.readStatus(rank);
      planner.handleStatus({ ...status, ...change(status) });
    }
  }

  // Guards against a planner that was paused while another one changed the map: ranks would refuse
  // the map that it takes for the active one, and the group would be held for ever.
  it('rolls back to the map that is active, not to the one that it read last', async () => {
    for (let round = 0; round < 5; round += 1) {
      reportStatuses(() => ({ map: 0 }));
      planner.advance();
      await timers.advance(10);
    }
    const holdAtRank1 = ({ rank }: RankStatus) => ({
      map: ACTIVE_VERSION,
      step: 8,
      held: rank === 1 ? 9 : null,
    });
    isStalled = true;
    reportStatuses(holdAtRank1);
    planner.advance();
    for (let round = 0; round < 20; round += 1) {
      await timers.advance(10);
      reportStatuses(holdAtRank1);
      planner.advance();
    }
    const prepared: (readonly (readonly (readonly number[])[])[])[] = [];
    for (const { order } of orders) if (order.operation === 'prepare') prepared.push(order.sets);
    expect(prepared.length).toBeGreaterThan(0);
    for (const sets of prepared) expect(sets).toEqual(ACTIVE_SETS);
    expect(orders[0]).toEqual({ rank: 0, order: { operation: 'hold', step: 9 } });
  });

  // Guards against a rollback whose further hold is at the pass of a late hold, before the one for
  // which the ranks are armed: a late release of that pass ends both.
  it('holds the pass for which ranks are armed before it disarms them', async () => {
    const heldBefore = ({ rank }: RankStatus) => ({
      map: ACTIVE_VERSION,
      step: 8,
      prepared: 12,
      armed: { version: 12, step: 10 },
      held: rank === 2 ? 9 : null,
    });
    isStalled = true;
    for (let round = 0; round < 20; round += 1) {
      reportStatuses(heldBefore);
      planner.advance();
      await timers.advance(10);
    }
    expect(orders[0]).toEqual({ rank: 0, order: { operation: 'hold', step: 10 } });
    expect(orders[1]?.order).toEqual({ operation: 'disarm', version: 12 });
  });

  // Guards against a group that runs with two maps for as long as nothing else changes them.
  it('changes ranks with different maps to one map that keeps what they hold', async () => {
    readVersion = (rank) => (rank === 2 ? ACTIVE_VERSION : 0);
    for (let round = 0; round < 60; round += 1) {
      reportStatuses(({ rank }) => ({ map: rank === 2 ? ACTIVE_VERSION : 0, step: 8 }));
      planner.advance();
      await timers.advance(10);
    }
    const prepared = orders.filter(({ order }) => order.operation === 'prepare');
    expect(prepared.map(({ rank }) => rank)).toEqual([0, 1, 2]);
    for (const { order } of prepared) expect(order).toMatchObject({ sets: INITIAL_SETS });
  });
});
