import type { RandomSource } from '../random/RandomSource.js';
import type { DirectRoute } from './DirectRoute.js';

/** Why a request was refused: all targets are busy, or none is available. */
type RefusalCause = 'busy' | 'away';

/** A busy target has free slots again within a few passes, milliseconds. */
const BUSY_RETRY_RANGE_MS = { shortest: 200, longest: 600 } as const;

/** Restarting targets and groups that lost a rank are available again in one to two seconds. */
const UNAVAILABLE_RETRY_RANGE_MS = { shortest: 1200, longest: 2200 } as const;

/** Largest fraction of the route's timeout; callers asked to wait longer give up instead. */
const MAX_TIMEOUT_FRACTION = 0.27;

/**
 * Chooses after how long a refused caller should retry. The random spread keeps callers that were
 * refused together from retrying together.
 *
 * @returns milliseconds
 */
export function chooseRetryAfter(
  route: DirectRoute,
  cause: RefusalCause,
  random: RandomSource,
): number {
  // A stream is refused after it waited, so that its return is late in any case. A quick return would
  // only compete with streams that can still be on time.
  const isBrief = cause === 'busy' && route.kind !== 'stream';
  const { shortest, longest } = isBrief ? BUSY_RETRY_RANGE_MS : UNAVAILABLE_RETRY_RANGE_MS;
  const waitMs = shortest + random.next() * (longest - shortest);
  const limitMs = MAX_TIMEOUT_FRACTION * route.timeoutMs;
  return Math.min(waitMs, limitMs * (1 - random.next() / 3));
}
