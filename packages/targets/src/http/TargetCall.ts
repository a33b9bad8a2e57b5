import type { Header } from '@limpetbay/core';

/** One request as it is dispatched to a target. */
export interface TargetCall {
  readonly method: string;
  readonly path: string;
  readonly headers: readonly Header[];
  readonly body: Uint8Array;
  /** Number of answer tokens that the caller has already received. */
  readonly resumeFrom: number;
}
