interface ConnectionCost {
  /** Memory that the connection holds, bytes. */
  readonly bytes: number;
  /** When it last made progress, monotonic milliseconds. */
  readonly progressMs: number;
}

/** A connection that made no progress for this time is stalled. */
const STALLED_MS = 1000;

/** A stalled connection is closed like one that holds this many times as much. */
const STALLED_WEIGHT = 8;

/** What an idle connection holds; it makes the longest idle ones comparable with busy ones. */
const IDLE_BYTES = 1024;

/**
 * Chooses the connection that is closed where too many are open: the one that holds most, where
 * stalled ones count eightfold; among equal ones the one without progress for longest.
 *
 * @returns null if there is none
 */
export function chooseCostliestConnection<T extends ConnectionCost>(
  connections: Iterable<T>,
  nowMs: number,
): T | null {
  let chosen: T | null = null;
  let chosenWeight = 0;
  for (const connection of connections) {
    const { bytes, progressMs } = connection;
    const isStalled = nowMs - progressMs >= STALLED_MS;
    const weight = (bytes + IDLE_BYTES) * (isStalled ? STALLED_WEIGHT : 1);
    const isOlder = chosen !== null && weight === chosenWeight && progressMs < chosen.progressMs;
    if (weight <= chosenWeight && !isOlder) continue;
    chosen = connection;
    chosenWeight = weight;
  }
  return chosen;
}
