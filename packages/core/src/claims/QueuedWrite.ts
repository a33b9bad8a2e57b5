import type { Revision } from '../ids/Revision.js';
import type { WriteResult } from './WriteResult.js';

/** A conditional write of one key, queued until a batch includes it. */
export interface QueuedWrite {
  readonly key: string;
  /** Revision that the key must have; 0 for an absent key. */
  readonly expected: Revision | 0;
  /** Null deletes the key. */
  readonly value: string | null;
  readonly lease: string;
  /**
   * Monotonic time from which the write may use the last token of the write budget to start a
   * batch. Before it, the write joins batches that other writes start, or starts one while the
   * budget has another token left.
   */
  readonly dueMs: number;
  /** Whether the write is retried until it has a result, however long the store is unavailable. */
  readonly persistent: boolean;
  /**
   * Whether a call with this write had no answer, so that it may have taken effect or still may.
   */
  uncertain: boolean;
  /** Whether the write is sent in its own batch, because the store rejected a batch with it. */
  alone: boolean;
  /** Called once, unless the write is withdrawn. */
  readonly onResult: (result: WriteResult) => void;
}
