import { describe, expect, it } from 'vitest';
import { ManualClock, SeededRandom, type DirectTarget } from '@limpetbay/core';
import { MetricRegistry, type Log } from '@limpetbay/runtime';
import { MemoryStore } from '@limpetbay/standins';
import { RealTimers, SharedPromptBreaker } from '../src/index.js';

const NOOP_LOG: Log = { report: () => {}, warn: () => {}, alert: () => {} };

const JUNK_PARTS = 100;

const MAX_ENDS = 60;

function createTarget(index: number): DirectTarget {
  return {
    id: `t${index}`,
    service: 's',
    address: `10.0.0.1:${index}`,
    zone: 'a',
    capacity: 1,
    isDraining: false,
    coldLeftMs: 0,
    bornMs: 1,
  };
}

describe('SharedPromptBreaker', () => {
  // Guards against a caller that hides a part behind many others, which differ each time.
  it('finds the part that ends targets among many that it has never seen', () => {
    const clock = new ManualClock();
    const random = new SeededRandom(21);
    const breaker = new SharedPromptBreaker({
      clock,
      random,
      timers: new RealTimers(),
      store: new MemoryStore(clock, random),
      prefix: 'prompts/',
      ownName: 'e1',
      log: NOOP_LOG,
      metrics: new MetricRegistry(),
      rankSelf: () => 0,
      sendToEntries: () => {},
    });
    let ends = 0;
    while (breaker.check(['dead']).kind !== 'blocked' && ends < MAX_ENDS) {
      const parts: string[] = [];
      for (let index = 0; index < JUNK_PARTS; index += 1) parts.push(`junk${ends}.${index}`);
      breaker.recordEnd(createTarget(ends), [...parts, 'dead'], true);
      ends += 1;
    }
    breaker.close();
    expect(ends).toBeLessThan(MAX_ENDS);
  });
});
