import type { Log } from '../log/Log.js';
import type { MetricRegistry } from './MetricRegistry.js';

/** Interval between two lines, milliseconds. */
const INTERVAL_MS = 5000;

const MICROSECONDS_PER_MS = 1000;

/**
 * Logs the counters that increased and the processor time, at a fixed interval, so that logs alone show how much work a
 * process did and when.
 *
 * @returns a function that stops the log
 */
export function startCounterLog(metrics: MetricRegistry, log: Log): () => void {
  let previous = new Map<string, number>();
  let previousUsage = process.cpuUsage();
  const timer = setInterval(() => {
    const current = new Map(metrics.listCounters());
    const increases: Record<string, number> = {};
    for (const [name, value] of current) {
      const increase = value - (previous.get(name) ?? 0);
      if (increase > 0) increases[name] = increase;
    }
    previous = current;
    const { user, system } = process.cpuUsage(previousUsage);
    previousUsage = process.cpuUsage();
    const processorMs = Math.round((user + system) / MICROSECONDS_PER_MS);
    const seconds = INTERVAL_MS / 1000;
    log.report('counters increased', { seconds, processorMs, ...increases });
  }, INTERVAL_MS);
  timer.unref();
  return () => clearInterval(timer);
}
