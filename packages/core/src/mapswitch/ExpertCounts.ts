import type { Result } from 'ts-results';
import type { Failure } from '../errors/Failure.js';

/** Where the planner gets the tokens that each expert handled. */
export interface ExpertCounts {
  /** Reads the newest interval; `layers` holds counts by expert id, `endMs` ends the interval. */
  read(): Promise<
    Result<{ readonly layers: readonly (readonly number[])[]; readonly endMs: number }, Failure>
  >;
}
