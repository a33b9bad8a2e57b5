import type { Header } from '../answer/Header.js';

/** The complete answer to a keyed request. */
export interface ClaimOutcome {
  /** HTTP status. */
  readonly status: number;
  readonly headers: readonly Header[];
  readonly body: Uint8Array;
}
