import { describe, expect, it } from 'vitest';
import { ManualClock, SeededRandom, type DirectTarget } from '@limpetbay/core';
import type { PeerMessage } from '@limpetbay/rpc';
import { IgnoredRecordLog, MetricRegistry, type Log } from '@limpetbay/runtime';
import { MemoryStore } from '@limpetbay/standins';
import { SharedTargetLimits } from '../src/index.js';

const NOOP_LOG: Log = { report: () => {}, warn: () => {}, alert: () => {} };

const CHANGES = 100;

const ANNOUNCE_INTERVAL_MS = 1000;

const TARGET: DirectTarget = {
  id: 't',
  service: 's',
  address: '10.0.0.1:80',
  zone: 'a',
  capacity: 1,
  isDraining: false,
  coldLeftMs: 0,
  bornMs: 1,
};

describe('SharedTargetLimits', () => {
  // Guards against a target that names another limit with each answer and fills memory with timers.
  it('announces the last of many changes once, with one timer', () => {
    const clock = new ManualClock();
    const random = new SeededRandom(21);
    const scheduled: (() => void)[] = [];
    const messages: PeerMessage[] = [];
    const limits = new SharedTargetLimits({
      clock,
      random,
      timers: {
        schedule: (_delayMs, run) => {
          scheduled.push(run);
          return () => {};
        },
      },
      store: new MemoryStore(clock, random),
      prefix: 'limits/',
      registry: { get: () => TARGET },
      rates: {} as never,
      log: NOOP_LOG,
      ignored: new IgnoredRecordLog({
        clock,
        log: NOOP_LOG,
        metrics: new MetricRegistry(),
        component: 'limits',
      }),
      rankSelf: () => 0,
      sendToEntries: (message) => messages.push(message),
    });
    for (let change = 1; change <= CHANGES; change += 1) {
      limits.handleAnswer(TARGET, change, clock.getNow());
    }
    expect(scheduled).toHaveLength(1);
    clock.advance(ANNOUNCE_INTERVAL_MS);
    for (const run of scheduled.splice(0)) run();
    expect(scheduled).toHaveLength(0);
    const announced = messages.map((message) =>
      message.kind === 'target_limit' ? message.perSecond : null,
    );
    expect(announced).toEqual([1, CHANGES]);
    limits.close();
  });
});
