import { EventEmitter } from 'node:events';
import { setTimeout as sleep } from 'node:timers/promises';
import { expect, it } from 'vitest';
import { AddressBinder, MetricRegistry, ProcessSupervisor, RealClock } from '../src/index.js';

const log = { report: () => {}, warn: () => {}, alert: () => {} };

// Guards against a daemon that waits for its address, and ends after an error that does not concern it.
it.fails(
  'goes on with a start that waits for an address after an uncaught error beside it',
  async () => {
    const events = new EventEmitter();
    const exits: string[] = [];
    const metrics = new MetricRegistry();
    const binder = new AddressBinder({
      clock: new RealClock(),
      log,
      metrics,
      schedule: (delayMs, run) => {
        const timer = setTimeout(run, delayMs);
        return () => clearTimeout(timer);
      },
    });
    const supervisor = new ProcessSupervisor<object>({
      log,
      metrics,
      events,
      reloader: null,
      exit: (status, cause) => {
        exits.push(`${status} ${cause}`);
        return Promise.resolve();
      },
    });
    const freeMs = performance.now() + 3000;
    const running = supervisor.run(async () => {
      await binder.bindAndWait({
        name: 'callers',
        address: '127.0.0.1:1',
        bind: () =>
          performance.now() >= freeMs
            ? Promise.resolve()
            : Promise.reject(Object.assign(new Error('in use'), { code: 'EADDRINUSE' })),
      });
      return { stop: () => Promise.resolve(), applySettings: () => {} };
    });
    await sleep(100);
    events.emit('uncaughtException', new Error('of another connection'));
    await running;
    expect(exits).toEqual([]);
  },
);
