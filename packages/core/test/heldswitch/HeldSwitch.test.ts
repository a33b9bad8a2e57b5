import { describe, expect, it } from 'vitest';
import { SimGroup } from '@limpetbay/standins';
import { HeldSwitch, SeededRandom, type RankOrder } from '../../src/index.js';

interface Faults {
  /** Share of orders that are carried out but not answered. */
  readonly unanswered: number;
  /** Share of orders that are carried out again or for the first time many ticks later. */
  readonly late: number;
}

const SIZE = 4;
const LOAD_TICKS = 3;
const MAX_TICKS = 3000;
const MAX_LATE_TICKS = 120;
const SCHEDULES = 400;

function createSwitch(holder: number, base: number): HeldSwitch {
  return new HeldSwitch({
    epoch: 1,
    size: SIZE,
    holder,
    version: base + holder,
    sets: [],
    undoVersion: base + SIZE + holder,
    undoSets: [],
  });
}

/** Runs planners side by side until all are over. @returns the group, and how each ended */
function runSchedule(seed: number, holders: readonly number[], faults: Faults) {
  const random = new SeededRandom(seed);
  const group = new SimGroup(SIZE, LOAD_TICKS);
  const late: { atTick: number; rank: number; order: RankOrder }[] = [];
  const planners = holders.map((holder, at) => ({
    holder,
    planner: createSwitch(holder, 8 * (at + 1)),
  }));
  let ticks = 0;
  while (ticks < MAX_TICKS && planners.some(({ planner }) => !planner.isOver())) {
    ticks += 1;
    for (const { holder, planner } of planners) {
      for (let rank = 0; rank < SIZE; rank += 1) planner.acceptStatus(group.readStatus(rank));
      if (planner.isOver() || random.next() < 0.2) continue;
      for (const { rank, order } of planner.listOrders(group.readStatus(holder).step)) {
        if (random.next() < faults.late) {
          late.push({ atTick: ticks + random.next() * MAX_LATE_TICKS, rank, order });
          planner.acceptAnswer(rank, order, 'lost');
          continue;
        }
        const answer = group.apply(rank, order);
        planner.acceptAnswer(rank, order, random.next() < faults.unanswered ? 'lost' : answer);
      }
    }
    for (const { atTick, rank, order } of late) {
      if (Math.ceil(atTick) === ticks) group.apply(rank, order);
    }
    group.tick();
  }
  for (let rest = 0; rest < MAX_LATE_TICKS; rest += 1) {
    for (const { atTick, rank, order } of late) {
      if (Math.ceil(atTick) === ticks + rest) group.apply(rank, order);
    }
    group.tick();
  }
  return { group, phases: planners.map(({ planner }) => planner.getPhase()) };
}

describe('HeldSwitch', () => {
  it('switches all ranks at one pass when nothing fails', () => {
    const { group, phases } = runSchedule(1, [0], { unanswered: 0, late: 0 });
    expect(phases).toEqual(['done']);
    expect(group.mixedPasses).toBe(0);
    expect(new Set(group.ranks.map(({ map }) => map))).toEqual(new Set([8]));
  });

  it('never lets a pass begin with two maps while answers are lost and orders come late', () => {
    for (let seed = 1; seed <= SCHEDULES; seed += 1) {
      const { group, phases } = runSchedule(seed, [seed % SIZE], { unanswered: 0.3, late: 0.2 });
      expect(group.mixedPasses, `seed ${seed}`).toBe(0);
      expect(phases, `seed ${seed}`).toEqual(['done']);
    }
  });

  it('never lets a pass begin with two maps while two processes plan at once', () => {
    for (let seed = 1; seed <= SCHEDULES; seed += 1) {
      const { group } = runSchedule(seed, [0, 2], { unanswered: 0.2, late: 0.1 });
      expect(group.mixedPasses, `seed ${seed}`).toBe(0);
    }
  });

  it('undoes a switch that another process left with a held pass and some ranks armed', () => {
    const group = new SimGroup(SIZE, LOAD_TICKS);
    const left = createSwitch(0, 8);
    for (let rank = 0; rank < SIZE; rank += 1) {
      group.apply(rank, { operation: 'prepare', version: 8, sets: [] });
    }
    for (let tick = 0; tick < LOAD_TICKS; tick += 1) group.tick();
    group.apply(0, { operation: 'hold', step: 5 });
    group.apply(1, { operation: 'arm', version: 8, step: 5 });
    expect(left.isOver()).toBe(false);
    const recovery = HeldSwitch.resume(
      { epoch: 1, size: SIZE, holder: 0, version: 18, sets: [], undoVersion: 22, undoSets: [] },
      5,
      8,
    );
    for (let tick = 0; tick < 50 && !recovery.isOver(); tick += 1) {
      for (let rank = 0; rank < SIZE; rank += 1) recovery.acceptStatus(group.readStatus(rank));
      for (const { rank, order } of recovery.listOrders(group.readStatus(1).step)) {
        recovery.acceptAnswer(rank, order, group.apply(rank, order));
      }
      group.tick();
    }
    expect(recovery.getPhase()).toBe('failed');
    for (let tick = 0; tick < 5; tick += 1) group.tick();
    expect(group.mixedPasses).toBe(0);
    expect(group.stalledTicks).toBe(0);
  });
});
