import type { Result } from 'ts-results';
import type { Failure } from '../errors/Failure.js';

/** Provides the number of tokens that each expert handled. */
export interface ExpertCountSource {
  /** Reads the newest interval: token counts by layer and expert id, and its end, milliseconds. */
  read(): Promise<
    Result<{ readonly layers: readonly (readonly number[])[]; readonly endMs: number }, Failure>
  >;
}
