import type { Workspace } from '../ids/Workspace.js';

/** A request with an idempotency key that an agent wants to dispatch. */
export interface ClaimRequest {
  readonly workspace: Workspace;
  /** The caller's `Idempotency-Key`. */
  readonly key: string;
  /** Issue time of the key, Unix milliseconds; 0 when not given. */
  readonly keyTimeMs: number;
  /** From `hashRequest`. */
  readonly bodyHash: string;
  /** Request id and attempt number, stored in the claim record. */
  readonly attemptId: string;
  /** Monotonic milliseconds of the injected clock. */
  readonly deadlineAtMs: number;
}
