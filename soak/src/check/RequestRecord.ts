/** What a caller saw of one request. Times are on the steady clock, milliseconds. */
export interface RequestRecord {
  readonly id: string;
  readonly path: string;
  readonly entry: string;
  /** Whether the request may run at most once. */
  readonly isUnsafe: boolean;
  /** Whether its connection had answered an earlier request. */
  readonly isKept: boolean;
  /** Time for which the caller read nothing of the answer, milliseconds. */
  readonly pauseMs: number;
  readonly startMs: number;
  /** When the last byte was handed to the system; null if that did not happen. */
  readonly sentMs: number | null;
  readonly endMs: number;
  /** `closed`: the connection ended without a complete answer; `left`: the caller gave up. */
  readonly outcome: 'answered' | 'closed' | 'left';
  readonly status: number | null;
  readonly cause: string;
  /** What is wrong with a complete answer of status 2xx; empty if it is the target's. */
  readonly defect: string;
}
