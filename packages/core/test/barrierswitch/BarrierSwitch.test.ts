import { describe, expect, it } from 'vitest';
import { SimGroup } from '@limpetbay/standins';
import { BarrierSwitch, SeededRandom, type RankOrder } from '../../src/index.js';

/** Probabilities of faults of an order, 0 to 1. */
interface Faults {
  /** Carried out, but the answer is lost. */
  readonly unanswered: number;
  /** Unanswered and carried out only up to `MAX_LATE_TICKS` later, perhaps after a repeat. */
  readonly delayed: number;
}

const RANKS = 4;
const LOAD_TICKS = 3;
const MAX_TICKS = 3000;
const MAX_LATE_TICKS = 120;
const SCHEDULE_COUNT = 400;

/** Within this time a recovery takes place. */
const MAX_RELEASE_TICKS = 8;

/** Pass at which the ranks of `createArmedGroup` are armed. */
const ARMED_STEP = 5;

function createOptions(planner: number, baseVersion: number) {
  return {
    epoch: 1,
    size: RANKS,
    holder: (planner + 1) % RANKS,
    planner,
    fence: planner,
    firstBoundary: 1,
    version: baseVersion + planner,
    sets: [],
    rollbackVersion: baseVersion + RANKS + planner,
    rollbackSets: [],
  };
}

function createSwitch(planner: number, baseVersion: number): BarrierSwitch {
  return new BarrierSwitch(createOptions(planner, baseVersion));
}

/** Creates a switch whose map all ranks have loaded. */
function createHoldingSwitch(options: ReturnType<typeof createOptions>): BarrierSwitch {
  const mapSwitch = new BarrierSwitch(options);
  const group = new SimGroup(RANKS, LOAD_TICKS);
  for (let rank = 0; rank < RANKS; rank += 1) {
    mapSwitch.handleStatus({ ...group.readStatus(rank), prepared: options.version });
  }
  return mapSwitch;
}

/** Creates a group whose ranks are all armed at a pass that one of them holds. */
function createArmedGroup(holder = 0): SimGroup {
  const group = new SimGroup(RANKS, LOAD_TICKS);
  for (let rank = 0; rank < RANKS; rank += 1) {
    group.apply(rank, { operation: 'prepare', version: 8, sets: [] });
  }
  for (let tick = 1; tick < ARMED_STEP; tick += 1) group.tick();
  group.apply(holder, { operation: 'hold', step: ARMED_STEP });
  for (let rank = 0; rank < RANKS; rank += 1) {
    group.apply(rank, { operation: 'arm', version: 8, step: ARMED_STEP });
  }
  return group;
}

/** Lets a switch send its orders once; some are lost, and so are some answers. */
function advanceWithLosses(mapSwitch: BarrierSwitch, group: SimGroup, random: SeededRandom): void {
  for (let rank = 0; rank < RANKS; rank += 1) mapSwitch.handleStatus(group.readStatus(rank));
  if (mapSwitch.isFinished()) return;
  for (const { rank, order } of mapSwitch.listOrders(group.readStatus(0).step)) {
    const isLost = random.next() < 0.3;
    const answer = isLost ? 'lost' : group.apply(rank, order);
    mapSwitch.handleAnswer(rank, order, random.next() < 0.2 ? 'lost' : answer);
  }
}

/** Runs concurrent switches until all are over. @returns the group, and the last phase of each */
function runSchedule(seed: number, planners: readonly number[], faults: Faults) {
  const random = new SeededRandom(seed);
  const group = new SimGroup(RANKS, LOAD_TICKS);
  const delayed: { atTick: number; rank: number; order: RankOrder }[] = [];
  const switches = planners.map((planner, index) => ({
    planner,
    mapSwitch: createSwitch(planner, 8 * (index + 1)),
  }));
  let ticks = 0;
  while (ticks < MAX_TICKS && switches.some(({ mapSwitch }) => !mapSwitch.isFinished())) {
    ticks += 1;
    for (const { planner, mapSwitch } of switches) {
      for (let rank = 0; rank < RANKS; rank += 1) mapSwitch.handleStatus(group.readStatus(rank));
      if (mapSwitch.isFinished() || random.next() < 0.2) continue;
      for (const { rank, order } of mapSwitch.listOrders(group.readStatus(planner).step)) {
        if (random.next() < faults.delayed) {
          delayed.push({ atTick: ticks + random.next() * MAX_LATE_TICKS, rank, order });
          mapSwitch.handleAnswer(rank, order, 'lost');
          continue;
        }
        const answer = group.apply(rank, order);
        mapSwitch.handleAnswer(rank, order, random.next() < faults.unanswered ? 'lost' : answer);
      }
    }
    for (const { atTick, rank, order } of delayed) {
      if (Math.ceil(atTick) === ticks) group.apply(rank, order);
    }
    group.tick();
  }
  for (let extraTicks = 0; extraTicks < MAX_LATE_TICKS; extraTicks += 1) {
    for (const { atTick, rank, order } of delayed) {
      if (Math.ceil(atTick) === ticks + extraTicks) group.apply(rank, order);
    }
    group.tick();
  }
  return { group, phases: switches.map(({ mapSwitch }) => mapSwitch.getPhase()) };
}

describe('BarrierSwitch', () => {
  it('switches all ranks at one pass when nothing fails', () => {
    const { group, phases } = runSchedule(1, [0], { unanswered: 0, delayed: 0 });
    expect(phases).toEqual(['done']);
    expect(group.mixedPasses).toBe(0);
    expect(new Set(group.ranks.map(({ map }) => map))).toEqual(new Set([8]));
  });

  it('never lets a pass begin with two maps when answers are lost and orders are delayed', () => {
    for (let seed = 1; seed <= SCHEDULE_COUNT; seed += 1) {
      const { group, phases } = runSchedule(seed, [seed % RANKS], {
        unanswered: 0.3,
        delayed: 0.2,
      });
      expect(group.mixedPasses, `seed ${seed}`).toBe(0);
      expect(phases, `seed ${seed}`).toEqual(['done']);
    }
  });

  it('never lets a pass begin with two maps while two planners are active at once', () => {
    for (let seed = 1; seed <= SCHEDULE_COUNT; seed += 1) {
      const { group } = runSchedule(seed, [0, 2], { unanswered: 0.2, delayed: 0.1 });
      expect(group.mixedPasses, `seed ${seed}`).toBe(0);
    }
  });

  it('rolls back a switch that another planner left with a held pass and some ranks armed', () => {
    const group = new SimGroup(RANKS, LOAD_TICKS);
    const unfinished = createSwitch(0, 8);
    for (let rank = 0; rank < RANKS; rank += 1) {
      group.apply(rank, { operation: 'prepare', version: 8, sets: [] });
    }
    for (let tick = 0; tick < LOAD_TICKS; tick += 1) group.tick();
    group.apply(0, { operation: 'hold', step: 5 });
    group.apply(1, { operation: 'arm', version: 8, step: 5 });
    expect(unfinished.isFinished()).toBe(false);
    const recovery = BarrierSwitch.resume(
      { ...createOptions(2, 16), fence: 2 },
      { holds: [{ rank: 0, step: 5 }], boundary: 5, armedVersion: 8, absent: null },
    );
    for (let tick = 0; tick < 50 && !recovery.isFinished(); tick += 1) {
      for (let rank = 0; rank < RANKS; rank += 1) recovery.handleStatus(group.readStatus(rank));
      for (const { rank, order } of recovery.listOrders(group.readStatus(1).step)) {
        recovery.handleAnswer(rank, order, group.apply(rank, order));
      }
      group.tick();
    }
    expect(recovery.getPhase()).toBe('failed');
    for (let tick = 0; tick < 5; tick += 1) group.tick();
    expect(group.mixedPasses).toBe(0);
    expect(group.stalledTicks).toBe(0);
  });

  // Guards against a planner that was paused before its release and continues after another one has
  // begun to undo its switch: ranks that are still armed would begin the pass with another map.
  it('never lets a pass begin with two maps when the other planner releases its hold meanwhile', () => {
    for (let seed = 1; seed <= SCHEDULE_COUNT; seed += 1) {
      const random = new SeededRandom(seed);
      const group = createArmedGroup();
      const recovery = BarrierSwitch.resume(
        { ...createOptions(2, 16), fence: 2 },
        {
          holds: [{ rank: 0, step: ARMED_STEP }],
          boundary: ARMED_STEP,
          armedVersion: 8,
          absent: null,
        },
      );
      const releaseTick = seed % MAX_RELEASE_TICKS;
      for (let tick = 0; tick < MAX_LATE_TICKS; tick += 1) {
        if (tick === releaseTick) group.apply(0, { operation: 'go', step: ARMED_STEP });
        if (!recovery.isFinished()) advanceWithLosses(recovery, group, random);
        group.tick();
      }
      expect(group.mixedPasses, `seed ${seed}`).toBe(0);
      expect(recovery.isFinished(), `seed ${seed}`).toBe(true);
      expect(group.stalledTicks, `seed ${seed}`).toBe(0);
    }
  });

  // Guards against a planner that repeats orders for ever after another one has undone its switch.
  it('ends when the boundary pass begins without its release', () => {
    const group = createArmedGroup();
    const paused = createSwitch(0, 8);
    for (let rank = 0; rank < RANKS; rank += 1) {
      paused.handleAnswer(rank, { operation: 'prepare', version: 8, sets: [] }, 'done');
      paused.handleStatus({ ...group.readStatus(rank), prepared: 8, armed: null, held: null });
    }
    const [hold] = paused.listOrders(ARMED_STEP - 1);
    paused.handleAnswer(1, hold?.order as RankOrder, 'done');
    expect(paused.getPhase()).toBe('arming');
    for (let rank = 0; rank < RANKS; rank += 1) {
      group.apply(rank, { operation: 'disarm', version: 8 });
    }
    group.apply(0, { operation: 'go', step: ARMED_STEP });
    group.tick();
    paused.handleStatus(group.readStatus(0));
    expect(paused.getPhase()).toBe('failed');
  });

  // Guards against a group that waits for as long as the machine of its planner is frozen.
  it('rolls back without a rank that is not armed and does not answer', () => {
    const group = createArmedGroup(1);
    group.apply(0, { operation: 'disarm', version: 8 });
    const recovery = BarrierSwitch.resume(
      { ...createOptions(3, 16), fence: 3 },
      { holds: [{ rank: 1, step: ARMED_STEP }], boundary: ARMED_STEP, armedVersion: 8, absent: 0 },
    );
    for (let tick = 0; tick < MAX_LATE_TICKS && !recovery.isFinished(); tick += 1) {
      for (let rank = 1; rank < RANKS; rank += 1) recovery.handleStatus(group.readStatus(rank));
      for (const { rank, order } of recovery.listOrders(group.readStatus(1).step)) {
        recovery.handleAnswer(rank, order, rank === 0 ? 'lost' : group.apply(rank, order));
      }
      group.tick();
    }
    for (let tick = 0; tick < 5; tick += 1) group.tick();
    expect(recovery.isFinished()).toBe(true);
    expect(group.stalledTicks).toBe(0);
    expect(group.mixedPasses).toBe(0);
  });

  it('arms the rank of the planner only after all others', () => {
    const mapSwitch = createSwitch(0, 8);
    for (let rank = 0; rank < RANKS; rank += 1) {
      const status = createArmedGroup().readStatus(rank);
      mapSwitch.handleStatus({ ...status, prepared: 8, armed: null, held: null });
    }
    for (const { rank, order } of mapSwitch.listOrders(ARMED_STEP - 1)) {
      mapSwitch.handleAnswer(rank, order, 'done');
    }
    expect(mapSwitch.listUnconfirmed()).toEqual([1, 2, 3]);
    const first = mapSwitch.listOrders(ARMED_STEP - 1);
    expect(first.map(({ rank }) => rank)).toEqual([1, 2, 3]);
    for (const { rank, order } of first) mapSwitch.handleAnswer(rank, order, 'done');
    const last = mapSwitch.listOrders(ARMED_STEP - 1);
    expect(last.map(({ rank }) => rank)).toEqual([0]);
    // Guards against a group that waits for as long as the agent that arms that rank is away.
    mapSwitch.withdraw();
    for (const { rank, order } of last) mapSwitch.handleAnswer(rank, order, 'lost');
    const [fence] = mapSwitch.listOrders(ARMED_STEP - 1);
    expect(fence).toEqual({ rank: 0, order: { operation: 'hold', step: ARMED_STEP } });
    mapSwitch.handleAnswer(0, fence?.order as RankOrder, 'done');
    expect(mapSwitch.getPhase()).toBe('withdrawing');
  });

  // Guards against a group that is held for ever: one rank was armed by a delayed order and refuses
  // the map that supersedes the armed one, and the others accept it at the same moment.
  it('disarms all ranks again after one refused to load the previous map', () => {
    const group = createArmedGroup(1);
    const recovery = BarrierSwitch.resume(
      { ...createOptions(3, 16), fence: 3 },
      {
        holds: [{ rank: 1, step: ARMED_STEP }],
        boundary: ARMED_STEP,
        armedVersion: 8,
        absent: null,
      },
    );
    for (const operation of ['hold', 'disarm', 'prepare']) {
      const listed = recovery.listOrders(ARMED_STEP - 1);
      if (operation === 'prepare') group.apply(0, { operation: 'arm', version: 8, step: 5 });
      for (const { rank, order } of listed) {
        expect(order.operation).toBe(operation);
        recovery.handleAnswer(rank, order, group.apply(rank, order));
      }
    }
    expect(recovery.getPhase()).toBe('withdrawing');
    const again = recovery.listOrders(ARMED_STEP - 1);
    expect(again.map(({ rank }) => rank)).toEqual([0, 1, 2, 3]);
  });

  // Guards against a late release of an earlier switch, which would release a hold of the same pass.
  it('holds no pass that an earlier switch may have held', () => {
    const options = { ...createOptions(0, 8), firstBoundary: 7 };
    const mapSwitch = createHoldingSwitch(options);
    expect(mapSwitch.listOrders(2)).toEqual([]);
    const [hold] = mapSwitch.listOrders(3);
    expect(hold).toEqual({ rank: 1, order: { operation: 'hold', step: 7 } });
    mapSwitch.handleAnswer(1, hold?.order as RankOrder, 'refused');
    const [next] = mapSwitch.listOrders(4);
    expect(next?.order).toEqual({ operation: 'hold', step: 8 });
    expect(mapSwitch.getNextBoundary()).toBe(9);
  });

  // Guards against two planners whose switches hold the same pass at the same rank.
  it('fails before it holds a pass while another switch does', () => {
    const group = new SimGroup(RANKS, LOAD_TICKS);
    for (const taken of [{ held: 9 }, { armed: { version: 4, step: 9 } }]) {
      const mapSwitch = createHoldingSwitch(createOptions(0, 8));
      mapSwitch.handleStatus({ ...group.readStatus(3), prepared: 8, ...taken });
      expect(mapSwitch.getPhase()).toBe('failed');
    }
  });

  // Guards against an agent of the holder that takes all ranks for armed and releases the pass while
  // the planner disarms them.
  it('never lets a pass begin with two maps when its hold is released during a rollback', () => {
    for (let seed = 1; seed <= SCHEDULE_COUNT; seed += 1) {
      const random = new SeededRandom(seed);
      const group = createArmedGroup(1);
      const mapSwitch = createHoldingSwitch({ ...createOptions(0, 8), firstBoundary: ARMED_STEP });
      const [hold] = mapSwitch.listOrders(ARMED_STEP - 1);
      mapSwitch.handleAnswer(1, hold?.order as RankOrder, 'done');
      for (const { rank, order } of mapSwitch.listOrders(ARMED_STEP - 1)) {
        mapSwitch.handleAnswer(rank, order, rank === 1 ? 'refused' : 'lost');
      }
      const releaseTick = seed % MAX_RELEASE_TICKS;
      for (let tick = 0; tick < MAX_LATE_TICKS; tick += 1) {
        if (tick === releaseTick) group.apply(1, { operation: 'go', step: ARMED_STEP });
        if (!mapSwitch.isFinished()) advanceWithLosses(mapSwitch, group, random);
        group.tick();
      }
      expect(group.mixedPasses, `seed ${seed}`).toBe(0);
      expect(group.stalledTicks, `seed ${seed}`).toBe(0);
    }
  });

  // Guards against two rollbacks that refuse each other's maps for ever, and against a release of the
  // pass that the other planner holds.
  it('leaves a rollback to another planner that has prepared a newer map', () => {
    const group = createArmedGroup(1);
    const recovery = BarrierSwitch.resume(
      { ...createOptions(3, 16), fence: 3 },
      { holds: [{ rank: 1, step: 5 }], boundary: ARMED_STEP, armedVersion: 8, absent: null },
    );
    const [fence] = recovery.listOrders(ARMED_STEP - 1);
    recovery.handleAnswer(3, fence?.order as RankOrder, 'done');
    expect(recovery.getPhase()).toBe('withdrawing');
    recovery.handleStatus({ ...group.readStatus(2), armed: null, prepared: 32 });
    expect(recovery.getPhase()).toBe('failed');
    expect(recovery.listOrders(ARMED_STEP - 1)).toEqual([]);
  });

  // Guards against a group that is held for ever because a rank that was armed late is disarmed for
  // the wrong version.
  it('disarms each rank for the version that its status shows', () => {
    const group = createArmedGroup(1);
    const recovery = BarrierSwitch.resume(
      { ...createOptions(3, 16), fence: 3 },
      { holds: [{ rank: 1, step: 5 }], boundary: ARMED_STEP, armedVersion: 12, absent: null },
    );
    recovery.handleStatus(group.readStatus(2));
    const [fence] = recovery.listOrders(ARMED_STEP - 1);
    recovery.handleAnswer(3, fence?.order as RankOrder, 'done');
    const versions = recovery
      .listOrders(ARMED_STEP - 1)
      .map(({ order }) => ('version' in order ? order.version : null));
    expect(versions).toEqual([12, 12, 8, 12]);
  });

  // Guards against a group that is held for ever by a late hold of a pass before the boundary.
  it('releases each hold at the pass that it holds', () => {
    const recovery = BarrierSwitch.resume(
      { ...createOptions(3, 16), fence: 3 },
      { holds: [{ rank: 1, step: 4 }], boundary: ARMED_STEP, armedVersion: 8, absent: null },
    );
    const orders: RankOrder[] = [];
    const group = createArmedGroup(1);
    for (let round = 0; round < 40 && !recovery.isFinished(); round += 1) {
      for (const { rank, order } of recovery.listOrders(3)) {
        orders.push(order);
        recovery.handleAnswer(rank, order, group.apply(rank, order));
      }
      group.hasWork = false;
      group.tick();
      for (let rank = 0; rank < RANKS; rank += 1) recovery.handleStatus(group.readStatus(rank));
    }
    const releases = orders.filter(({ operation }) => operation === 'go');
    expect(releases).toEqual([
      { operation: 'go', step: 4 },
      { operation: 'go', step: ARMED_STEP },
    ]);
  });
});
