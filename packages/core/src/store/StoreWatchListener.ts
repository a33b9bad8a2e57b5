import type { Revision } from '../ids/Revision.js';
import type { StoreRecord } from './StoreRecord.js';

/** Receives what a watch sees. Calls arrive in revision order. */
export interface StoreWatchListener {
  /** A key changed; `value` null for a deletion. */
  acceptChange(change: Omit<StoreRecord, 'value'> & { readonly value: string | null }): void;
  /** The store confirmed that nothing up to `revision` is missing. */
  acceptProgress(revision: Revision): void;
  /** The watch ended. `gap`: revisions were lost (compaction), so a full read is needed. */
  acceptEnd(reason: 'gap' | 'failed'): void;
}
