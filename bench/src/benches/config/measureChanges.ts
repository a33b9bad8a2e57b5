import type { SimulatedProcess } from './SimulatedProcess.js';

interface ChangeMeasurement {
  /** Share of changes times running processes that were in force within the limit. */
  readonly share: number;
  /** Delay until 99.9% of them were in force, milliseconds; infinite where they were not. */
  readonly delayMs: number;
}

const QUANTILE = 0.999;

/**
 * Compares when changes came into force with when they were written. A higher revision counts for
 * a lower one.
 *
 * @param writes revisions with the time of their write, in order
 */
export function measureChanges(
  processes: readonly SimulatedProcess[],
  writes: readonly { readonly revision: number; readonly at: number }[],
  limitMs: number,
): ChangeMeasurement {
  const delays: number[] = [];
  for (const process of processes) {
    for (const { revision, at } of writes) {
      let reachedAt = Infinity;
      for (const [reached, time] of process.inForceAt) {
        if (reached >= revision) reachedAt = Math.min(reachedAt, time);
      }
      delays.push(reachedAt - at);
    }
  }
  delays.sort((left, right) => left - right);
  const inTime = delays.filter((delay) => delay <= limitMs).length;
  const index = Math.ceil(delays.length * QUANTILE) - 1;
  return { share: inTime / delays.length, delayMs: delays[index] ?? Infinity };
}
