import type { Revision } from '../ids/Revision.js';
import type { StoreRecord } from './StoreRecord.js';

/** The result of a transaction. */
export interface CommitResult {
  readonly committed: boolean;
  /** Revision of the store after the transaction; if committed, the revision of its writes. */
  readonly revision: Revision;
  /** If not committed: the current records of the condition keys, without absent keys. */
  readonly current: readonly StoreRecord[];
}
