import type { SimFleet } from './SimFleet.js';

/** Time within which all entries must act on what one of them learned, milliseconds. */
const STABLE_WINDOW_MS = 3000;

type Arrival = SimFleet['arrivals'][number];

/**
 * Counts requests that were sent to targets when every entry must know what ends them.
 *
 * @param lastEndMs when the last end that is allowed for happened; Infinity if there were fewer
 * @param isCause whether a request ends targets
 */
export function countLaterArrivals(
  fleet: SimFleet,
  lastEndMs: number,
  isCause: (arrival: Arrival) => boolean,
): number {
  const knownMs = lastEndMs + STABLE_WINDOW_MS;
  const startsMs = new Map(fleet.entries.map(({ name, startedMs }) => [name, startedMs]));
  let count = 0;
  for (const arrival of fleet.arrivals) {
    const { entry, sentMs } = arrival;
    if (!isCause(arrival) || sentMs <= knownMs) continue;
    if (sentMs >= (startsMs.get(entry) ?? 0) + STABLE_WINDOW_MS) count += 1;
  }
  return count;
}
