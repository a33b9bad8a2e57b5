import type { Revision } from '../ids/Revision.js';
import type { WriteResult } from './WriteResult.js';

/** A conditional write of one key that waits for a batch. */
export interface WriteOrder {
  readonly key: string;
  /** Revision that the key must have; 0 for an absent key. */
  readonly expected: Revision | 0;
  /** Null deletes the key. */
  readonly value: string | null;
  readonly lease: string;
  /**
   * From this monotonic time on the order starts a batch. Before it, the order rides in the batches
   * of others, or uses the budget's last write but one.
   */
  readonly dueMs: number;
  /** Retried until it is settled, however long the store is out. */
  readonly persistent: boolean;
  /** Some call with this order had no answer, so it may have taken effect or still do so. */
  uncertain: boolean;
  /** Sent in a batch of its own, because the store rejected a batch with it. */
  alone: boolean;
  /** Called once. */
  readonly settle: (result: WriteResult) => void;
}
