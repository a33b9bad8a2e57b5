import type { RandomSource } from '../random/RandomSource.js';
import type { DirectRoute } from './DirectRoute.js';

/** Why a request was refused, as far as it decides when another try is worthwhile. */
type RefusalCause = 'busy' | 'away';

/** A busy target has room again within a few passes, milliseconds. */
const BUSY_MS = { shortest: 200, longest: 600 } as const;

/** Groups that lost a rank and targets that restart are back within one to two seconds. */
const AWAY_MS = { shortest: 1200, longest: 2200 } as const;

/** Largest part of the route's time limit; callers who are told more give up instead. */
const MAX_SHARE = 0.27;

/**
 * Chooses when a refused caller shall come back. The spread keeps callers who were refused
 * together from coming back together.
 *
 * @returns milliseconds
 */
export function chooseRetryAfter(
  route: DirectRoute,
  cause: RefusalCause,
  random: RandomSource,
): number {
  const { shortest, longest } = cause === 'busy' ? BUSY_MS : AWAY_MS;
  const waitMs = shortest + random.next() * (longest - shortest);
  const longestMs = MAX_SHARE * route.timeoutMs;
  return Math.min(waitMs, longestMs * (1 - random.next() / 3));
}
