import type { Log } from '../log/Log.js';
import type { MetricRegistry } from './MetricRegistry.js';

/** Interval between two lines, milliseconds. */
const INTERVAL_MS = 5000;

/**
 * Logs the counters that increased, at a fixed interval, so that logs alone show how much work a
 * process did and when.
 *
 * @returns a function that stops the log
 */
export function startCounterLog(metrics: MetricRegistry, log: Log): () => void {
  let previous = new Map<string, number>();
  const timer = setInterval(() => {
    const current = new Map(metrics.listCounters());
    const increases: Record<string, number> = {};
    for (const [name, value] of current) {
      const increase = value - (previous.get(name) ?? 0);
      if (increase > 0) increases[name] = increase;
    }
    previous = current;
    log.report('counters increased', { seconds: INTERVAL_MS / 1000, ...increases });
  }, INTERVAL_MS);
  timer.unref();
  return () => clearInterval(timer);
}
