import { describe, expect, it } from 'vitest';
import {
  fingerprintPrefix,
  ManualClock,
  SeededRandom,
  type DirectTarget,
  type Store,
} from '@limpetbay/core';
import type { PeerMessage } from '@limpetbay/rpc';
import { MetricRegistry, type Log } from '@limpetbay/runtime';
import { MemoryStore } from '@limpetbay/standins';
import { RealTimers, SharedSuspectBreaker } from '../src/index.js';

const NOOP_LOG: Log = { report: () => {}, warn: () => {}, alert: () => {} };

/** An answer that had just begun when its target ended. */
const BEGUN = { hadHead: true, isMidway: false };

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

describe('SharedSuspectBreaker', () => {
  const clock = new ManualClock();
  const random = new SeededRandom(21);

  let sent: PeerMessage[] = [];

  function createBreaker(store: Store = new MemoryStore(clock, random)): SharedSuspectBreaker {
    sent = [];
    return new SharedSuspectBreaker({
      clock,
      random,
      timers: new RealTimers(),
      store,
      prefix: 'prompts/',
      ownName: 'e1',
      log: NOOP_LOG,
      metrics: new MetricRegistry(),
      rankSelf: () => 0,
      sendToEntries: (message) => sent.push(message),
    });
  }

  // Guards against a caller that hides a part behind many others, which differ each time.
  it('finds the part that ends targets among many that it has never seen', () => {
    const breaker = createBreaker();
    let ends = 0;
    while (breaker.check(['dead']).kind !== 'blocked' && ends < MAX_ENDS) {
      const parts: string[] = [];
      for (let index = 0; index < JUNK_PARTS; index += 1) parts.push(`junk${ends}.${index}`);
      breaker.recordEnd(createTarget(ends), [...parts, 'dead'], BEGUN);
      ends += 1;
    }
    breaker.close();
    expect(ends).toBeLessThan(MAX_ENDS);
  });

  // Guards against a datagram to every entry for each request that an end breaks off.
  it('tells the other entries in one message of all requests that an end broke off', async () => {
    const breaker = createBreaker();
    for (let index = 0; index < 12; index += 1) {
      breaker.recordEnd(createTarget(1), [`${fingerprintPrefix}${index}`], BEGUN);
    }
    await Promise.resolve();
    breaker.close();
    expect(sent).toHaveLength(1);
    expect(sent[0]).toMatchObject({ kind: 'target_end', suspects: { length: 12 } });
  });

  // Guards against requests that are held up by a store that is away, because one target ended.
  it('leaves a request with one end undecided if the store does not answer in time', async () => {
    const request = `${fingerprintPrefix}1`;
    const breaker = createBreaker({ commit: () => new Promise(() => {}) } as unknown as Store);
    breaker.recordEnd(createTarget(1), [request], BEGUN);
    const startMs = performance.now();
    expect(await breaker.acquireTrial([request], false)).toBe('unknown');
    expect(performance.now() - startMs).toBeLessThan(1000);
    breaker.close();
  });
});
