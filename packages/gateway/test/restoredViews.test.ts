import { SeededRandom } from '@limpetbay/core';
import { MemoryStore, SimTimers } from '@limpetbay/standins';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { SimCopies } from './support/SimCopies.js';
import { SimView } from './support/SimView.js';
import { SimWriters } from './support/SimWriters.js';

const VIEWS = 5;

const TARGETS = 8;

const FIRST_SEED = 8100;

/** Set to play more seeds by hand. */
const SEEDS = Number(process.env.LIMPETBAY_RESTORE_SEEDS ?? 20);

const START_MS = 3000;

const DISTURBED_MS = 60_000;

const STEP_MS = 50;

/** Share of the steps in which something happens. */
const EVENT_SHARE = 1 / 10;

/** Longer than any of the grace periods and a registration without renewals take. */
const CALM_MS = 15_000;

const MAX_COPIES = 18;

const MAX_OUTAGE_MS = 3000;

const MAX_CUT_MS = 12_000;

const TIMEOUT_MS = 60_000;

// Guards against what any mix of restorations, cuts, gaps and changes makes entries forget, go back
// to or keep: the class of the second matter of issue 24.
describe('what entries take from a store that is restored again and again', () => {
  const timers = new SimTimers();

  beforeEach(() => timers.begin());

  afterEach(() => timers.end());

  it.each(Array.from({ length: SEEDS }, (_, index) => FIRST_SEED + index))(
    'never goes back, and is what was written in the end (seed %i)',
    async (seed) => {
      const random = new SeededRandom(seed);
      const store = new MemoryStore(timers, random);
      store.setFaults({ latencyMs: [2, 8] });
      const copies = new SimCopies(store, MAX_COPIES);
      const writers = new SimWriters(store, random);
      const views = Array.from({ length: VIEWS }, () => new SimView(timers, random, store));
      const drawTarget = (): string => `t${Math.floor(random.next() * TARGETS)}`;
      let outages = 0;
      const restore = (): void => {
        const copy = copies.draw(random);
        if (copy === undefined || outages > 0) return;
        outages += 1;
        store.setFaults({ outage: 'down' });
        setTimeout(() => {
          store.setFaults({ outage: 'none' });
          store.restore(copy);
          outages -= 1;
        }, random.next() * MAX_OUTAGE_MS);
      };
      const cut = (): void => {
        const view = views[Math.floor(random.next() * VIEWS)] as SimView;
        view.link.setCut(true);
        setTimeout(() => view.link.setCut(false), random.next() * MAX_CUT_MS);
      };
      const events: (() => void)[] = [
        () => writers.changeConfig(),
        () => writers.toggleEvacuation('a'),
        () => writers.toggleEvacuation('b'),
        () => writers.startTarget(drawTarget()),
        () => writers.startTarget(drawTarget()),
        () => writers.drainTarget(drawTarget()),
        () => writers.endTarget(drawTarget()),
        restore,
        cut,
        () => store.dropHistory(),
      ];
      for (let index = 0; index < TARGETS; index += 1) writers.startTarget(`t${index}`);
      await timers.advance(START_MS);
      for (let passedMs = 0; passedMs < DISTURBED_MS + CALM_MS; passedMs += STEP_MS) {
        const isDisturbed = passedMs < DISTURBED_MS && random.next() < EVENT_SHARE;
        if (passedMs === DISTURBED_MS) for (const { link } of views) link.setCut(false);
        if (isDisturbed) events[Math.floor(random.next() * events.length)]?.();
        await timers.advance(STEP_MS);
        for (const view of views) expect(view.listReversals()).toEqual([]);
      }
      for (const view of views) expect(view.describe()).toBe(writers.describe());
    },
    TIMEOUT_MS,
  );
});
