import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { SimTimers } from '@limpetbay/standins';
import { SimFleet } from './support/SimFleet.js';

/** Time within which every entry must follow a change of the configuration, milliseconds. */
const CONFIG_APPLY_MS = 2000;

/** Time after a fault from which on entries must keep their bounds, milliseconds. */
const STABLE_WINDOW_MS = 3000;

const SETTLE_MS = 5000;

const QUIET_MS = 10_000;

const STEP_MS = 100;

/** Most questions a second of a group of entries. */
const MAX_PROBES_PER_SECOND = 1.5;

const GROUP_SIZE = 12;

const SIMULATION_TIMEOUT_MS = 120_000;

// Case 5 of the review: the watches of all entries go silent together, while the store works.
describe('watches that have gone silent', () => {
  const timers = new SimTimers();
  let fleet: SimFleet;

  async function startFleet(entries: number): Promise<void> {
    fleet = new SimFleet(timers, { entries, targets: 4, seed: 38 });
    await fleet.start();
    await advance(SETTLE_MS);
  }

  /** Advances in steps, because an answer of the store arrives between two timers. */
  async function advance(ms: number): Promise<void> {
    for (let passedMs = 0; passedMs < ms; passedMs += STEP_MS) await timers.advance(STEP_MS);
  }

  function silenceAll(): void {
    for (const { link } of fleet.entries) link.silenceWatches();
  }

  async function putConfig(version: number): Promise<void> {
    const written = fleet.putConfig(version);
    await advance(STEP_MS);
    await written;
  }

  beforeEach(() => timers.begin());

  afterEach(async () => {
    fleet.stop();
    await timers.advance(20_000);
    timers.end();
  });

  // Guards against withdrawn keys, targets and zones in use because all watches are silent.
  it.each([1, 2, 8, 44])(
    'delay a change by less than its bound at %d entries',
    async (entries) => {
      await startFleet(entries);
      silenceAll();
      await advance(STABLE_WINDOW_MS);
      await putConfig(2);
      await advance(CONFIG_APPLY_MS - STEP_MS);
      for (const entry of fleet.entries) expect(entry.getConfigVersion()).toBe(2);
    },
    SIMULATION_TIMEOUT_MS,
  );

  // Guards against entries that rely on one that no longer asks.
  it.each(['killed', 'cut'] as const)(
    'delay a change by less than its bound when the entry that asks is %s',
    async (fault) => {
      await startFleet(8);
      silenceAll();
      if (fault === 'cut') fleet.setCut(0, true);
      else fleet.entries[0]?.kill();
      await advance(STABLE_WINDOW_MS);
      await putConfig(2);
      await advance(CONFIG_APPLY_MS - STEP_MS);
      for (const entry of fleet.entries.slice(1)) expect(entry.getConfigVersion()).toBe(2);
    },
    SIMULATION_TIMEOUT_MS,
  );

  // Guards against a price that grows with more than the groups of entries.
  it.each([8, 300])(
    'are looked for by few calls of %d entries',
    async (entries) => {
      await startFleet(entries);
      const countReads = (): number => fleet.entries.reduce((sum, { link }) => sum + link.reads, 0);
      const before = countReads();
      await advance(QUIET_MS);
      const perSecond = ((countReads() - before) * 1000) / QUIET_MS;
      expect(perSecond).toBeGreaterThan(0);
      expect(perSecond).toBeLessThanOrEqual(
        MAX_PROBES_PER_SECOND * Math.ceil(entries / GROUP_SIZE),
      );
    },
    SIMULATION_TIMEOUT_MS,
  );
});
