import type { Clock } from '@limpetbay/core';
import type { Log } from '../log/Log.js';
import type { MetricRegistry } from '../metrics/MetricRegistry.js';
import { AddressBinder } from './AddressBinder.js';

/** Creates the `AddressBinder` of a process, with the timers of Node.js. */
export function createAddressBinder(
  clock: Clock,
  log: Log,
  metrics: MetricRegistry,
): AddressBinder {
  return new AddressBinder({
    clock,
    log,
    metrics,
    schedule: (delayMs, run) => {
      const timer = setTimeout(run, delayMs);
      return () => clearTimeout(timer);
    },
  });
}
