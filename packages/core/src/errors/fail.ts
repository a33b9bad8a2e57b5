import type { Err as ErrType } from 'ts-results';
import type { ErrorKind } from './ErrorKind.js';
import type { Failure } from './Failure.js';
import { Err } from './results.js';

/**
 * Creates the error value of a `Result`.
 *
 * @param retryAfterMs milliseconds after which a retry is worth trying
 */
export function fail(kind: ErrorKind, message: string, retryAfterMs?: number): ErrType<Failure> {
  return Err(retryAfterMs === undefined ? { kind, message } : { kind, message, retryAfterMs });
}
