import type { Revision } from '../ids/Revision.js';
import type { StoreRecord } from './StoreRecord.js';

/** Receives the events of a watch, in revision order. */
export interface StoreWatchListener {
  /** Called when a key has changed; `value` is null for a deletion. */
  onChange(change: Omit<StoreRecord, 'value'> & { readonly value: string | null }): void;
  /** Called when the store confirms that all changes up to `revision` have been delivered. */
  onProgress(revision: Revision): void;
  /**
   * Called when the watch has ended. A full read is needed after `gap` (revisions were compacted, or
   * are more than one answer can hold) and `restored` (the store has another era).
   */
  onEnd(reason: 'gap' | 'restored' | 'failed'): void;
}
