import type { StorePosition } from './StorePosition.js';
import type { StoreRecord } from './StoreRecord.js';

/**
 * The result of a transaction, with the position of the store after it; if committed, `revision` is
 * the revision of its writes.
 */
export interface CommitResult extends StorePosition {
  readonly committed: boolean;
  /** If not committed: the current records of the condition keys, without absent keys. */
  readonly current: readonly StoreRecord[];
}
