import type { Workspace } from '../ids/Workspace.js';

/** A keyed request that an agent wants to hand over. */
export interface ClaimRequest {
  readonly workspace: Workspace;
  /** The caller's `Idempotency-Key`. */
  readonly key: string;
  /** Issue time of the key, Unix milliseconds; 0 when not given. */
  readonly keyTimeMs: number;
  /** From `hashRequest`. */
  readonly bodyHash: string;
  /** Request id and attempt number, for the record. */
  readonly attemptId: string;
  /** Monotonic milliseconds of the injected clock. */
  readonly deadlineAtMs: number;
}
