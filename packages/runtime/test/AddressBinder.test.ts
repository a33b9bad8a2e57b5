import { ManualClock } from '@limpetbay/core';
import { beforeEach, describe, expect, it } from 'vitest';
import { AddressBinder, MetricRegistry, type Listener } from '../src/index.js';

interface Scheduled {
  readonly delayMs: number;
  readonly run: () => void;
}

function createError(code: string): Error {
  return Object.assign(new Error(`bind ${code}`), { code });
}

describe('AddressBinder', () => {
  let clock: ManualClock;
  let scheduled: Scheduled[];
  let lines: [string, Record<string, unknown> | undefined][];
  let metrics: MetricRegistry;
  let binder: AddressBinder;
  let errors: (Error | null)[];
  let isBound: boolean;
  let listener: Listener;

  beforeEach(() => {
    clock = new ManualClock();
    scheduled = [];
    lines = [];
    metrics = new MetricRegistry();
    errors = [];
    isBound = false;
    const write = (sentence: string, fields?: Record<string, unknown>): void => {
      lines.push([sentence, fields]);
    };
    binder = new AddressBinder({
      clock,
      metrics,
      log: { report: write, warn: write, alert: write },
      schedule: (delayMs, run) => {
        const entry = { delayMs, run };
        scheduled.push(entry);
        return () => {
          scheduled = scheduled.filter((other) => other !== entry);
        };
      },
    });
    listener = {
      name: 'callers',
      address: '127.0.0.1:80',
      bind: () => {
        const error = errors.shift() ?? null;
        return error === null ? Promise.resolve() : Promise.reject(error);
      },
      onBound: () => {
        isBound = true;
      },
    };
  });

  /** Runs the next attempt. @returns its delay, milliseconds */
  async function runNext(): Promise<number> {
    const next = scheduled.shift()!;
    clock.advance(next.delayMs);
    next.run();
    await Promise.resolve();
    await new Promise(setImmediate);
    return next.delayMs;
  }

  // Guards against a start that gives up where a retry helps, and against attempts without a pause.
  it.each(['EADDRINUSE', 'EADDRNOTAVAIL', 'EMFILE', 'ENFILE', 'ENOBUFS', 'ENOMEM'])(
    'tries again after growing delays: %s',
    async (code) => {
      errors = Array.from({ length: 8 }, () => createError(code));
      await binder.bind(listener);
      const delaysMs: number[] = [];
      while (!isBound) delaysMs.push(await runNext());
      expect(delaysMs).toEqual([25, 50, 100, 200, 400, 500, 500, 500]);
      expect(metrics.format()).toContain('limpetbay_bind_failures_total{listener="callers"} 8');
    },
  );

  // Guards against a log that a busy address fills, or that does not tell what is missing.
  it('logs the first failure at once, then one line in 5 s, and the success', async () => {
    errors = Array.from({ length: 25 }, () => createError('EADDRINUSE'));
    await binder.bind(listener);
    const fields = { listener: 'callers', address: '127.0.0.1:80' };
    const first = { ...fields, failures: 1, retryMs: 25, cause: 'bind EADDRINUSE' };
    expect(lines).toEqual([['could not bind an address; trying again', first]]);
    while (!isBound) await runNext();
    expect(lines.map(([sentence]) => sentence)).toEqual([
      'could not bind an address; trying again',
      'could not bind an address; trying again',
      'could not bind an address; trying again',
      'address bound after failures',
    ]);
    expect(lines[3]![1]).toMatchObject({ ...fields, failures: 25 });
  });

  // Guards against a start that tries forever where no retry helps.
  it.each(['EACCES', 'EINVAL', 'EAFNOSUPPORT'])('throws the first error: %s', async (code) => {
    errors = [createError(code)];
    await expect(binder.bind(listener)).rejects.toThrow(code);
    errors = [createError(code)];
    await expect(binder.bindAndWait(listener)).rejects.toThrow(code);
    expect(scheduled).toEqual([]);
  });

  // Guards against a stop that waits for an address which another process keeps.
  it('ends all retries and waits when it is closed', async () => {
    errors = [createError('EADDRINUSE'), createError('EADDRINUSE')];
    await binder.bind(listener);
    const wait = expect(binder.bindAndWait(listener)).rejects.toThrow('cancelled');
    await new Promise(setImmediate);
    expect(scheduled).toHaveLength(2);
    binder.close();
    await wait;
    expect(scheduled).toEqual([]);
  });
});
