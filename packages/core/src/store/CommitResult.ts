import type { Revision } from '../ids/Revision.js';
import type { StoreRecord } from './StoreRecord.js';

/** The answer to a transaction. */
export interface CommitResult {
  readonly committed: boolean;
  /** Revision of the store after the transaction; the revision of the writes if committed. */
  readonly revision: Revision;
  /** Where not committed: the present records of the condition keys; absent keys are left out. */
  readonly current: readonly StoreRecord[];
}
