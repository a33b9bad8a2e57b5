import { SeededRandom } from '@limpetbay/core';
import { MemoryStore, SimTimers } from '@limpetbay/standins';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { SimCopies } from './support/SimCopies.js';
import { SimView } from './support/SimView.js';
import { SimWriters } from './support/SimWriters.js';

const VIEWS = 4;

const TARGETS = 8;

const FIRST_SEED = 6600;

/** Set to play more seeds by hand. */
const SEEDS = Number(process.env.LIMPETBAY_CUT_SEEDS ?? 20);

const DRAIN_MS = 2000;

const START_MS = 3000;

const DISTURBED_MS = 60_000;

const STEP_MS = 50;

/** Share of the steps in which something happens. */
const EVENT_SHARE = 1 / 8;

const MAX_CUTS = 20;

const MAX_CUT_INTERVAL_MS = 1000;

/** Registrations lapse in the longer ones. */
const MAX_OUTAGE_MS = 8000;

/** From the return of the store until all targets have registered again. */
const SETTLE_MS = 4000;

const MAX_LINK_CUT_MS = 6000;

const MAX_COPIES = 6;

const TIMEOUT_MS = 60_000;

// Guards against what case 12 of the third review showed, in any mix of cut watches, outages,
// restorations, dropped histories, and targets that leave, lapse and return.
describe('what entries take from a store whose watches are cut', () => {
  const timers = new SimTimers();

  beforeEach(() => timers.begin());

  afterEach(() => timers.end());

  it.each(Array.from({ length: SEEDS }, (_, index) => FIRST_SEED + index))(
    'keeps the targets that serve, and none that it learned to be gone (seed %i)',
    async (seed) => {
      const random = new SeededRandom(seed);
      const store = new MemoryStore(timers, random);
      store.setFaults({ latencyMs: [2, 8] });
      const copies = new SimCopies(store, MAX_COPIES);
      const writers = new SimWriters(store, random);
      const views = Array.from({ length: VIEWS }, () => new SimView(timers, random, store));
      const drawTarget = (): string => `t${Math.floor(random.next() * TARGETS)}`;
      const drawView = (): SimView => views[Math.floor(random.next() * VIEWS)] as SimView;
      const cutWatches = (cuts: number, intervalMs: number, cut: readonly SimView[]): void => {
        for (const { link } of cut) link.cutWatches();
        if (cuts > 1) setTimeout(() => cutWatches(cuts - 1, intervalMs, cut), intervalMs);
      };
      let settledMs = 0;
      const begin = (isRestored: boolean): void => {
        const copy = copies.draw(random);
        if (timers.getNow() < settledMs || copy === undefined) return;
        const outageMs = random.next() * MAX_OUTAGE_MS;
        settledMs = timers.getNow() + outageMs + SETTLE_MS;
        store.setFaults({ outage: 'down' });
        setTimeout(() => {
          store.setFaults({ outage: 'none' });
          if (isRestored) store.restore(copy);
        }, outageMs);
      };
      const events: (() => void)[] = [
        () => writers.startTarget(drawTarget()),
        () => writers.startTarget(drawTarget()),
        () => writers.startTarget(drawTarget()),
        () => writers.drainTarget(drawTarget()),
        () => writers.endTarget(drawTarget()),
        () => writers.removeTarget(drawTarget()),
        () => writers.removeTarget(drawTarget()),
        () => cutWatches(1, 0, views),
        () => cutWatches(1, 0, [drawView()]),
        () => {
          const cuts = Math.ceil(random.next() * MAX_CUTS);
          cutWatches(cuts, random.next() * MAX_CUT_INTERVAL_MS, [drawView()]);
        },
        () => begin(false),
        () => begin(true),
        () => store.dropHistory(),
        () => {
          // A view that cannot see a target return drops it, as its removal was learned.
          if (timers.getNow() < settledMs) return;
          const { link } = drawView();
          link.setCut(true);
          setTimeout(() => link.setCut(false), random.next() * MAX_LINK_CUT_MS);
        },
      ];
      for (let index = 0; index < TARGETS; index += 1) writers.startTarget(`t${index}`);
      await timers.advance(START_MS);
      const used = views.map(() => new Set<string>());
      for (let passedMs = 0; passedMs < DISTURBED_MS; passedMs += STEP_MS) {
        if (random.next() < EVENT_SHARE) events[Math.floor(random.next() * events.length)]?.();
        await timers.advance(STEP_MS);
        for (const [index, view] of views.entries()) {
          expect(view.listUsedAfterRemoval(DRAIN_MS)).toEqual([]);
          for (const { id, bornMs } of writers.listServing()) {
            const run = `${id}/${bornMs}`;
            const isInUse = view.isInUse(id, bornMs);
            if (isInUse) used[index]?.add(run);
            else if (used[index]?.has(run) === true) {
              expect(`${run} at view ${index}`).toBe('in use');
            }
          }
        }
      }
    },
    TIMEOUT_MS,
  );
});
