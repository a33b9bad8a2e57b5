import type { Revision } from '../ids/Revision.js';
import type { StoreRecord } from '../store/StoreRecord.js';

/**
 * Result of a conditional write. `conflict`: the key is at another revision; `record` is its
 * current value, null when the key is absent. `unavailable`: the store could not be reached, and
 * the write was not applied. `rejected`: the store refused the write itself, for example because
 * its lease has ended.
 */
export type WriteResult =
  | { readonly type: 'written'; readonly revision: Revision }
  | { readonly type: 'conflict'; readonly record: StoreRecord | null }
  | { readonly type: 'unavailable' }
  | { readonly type: 'rejected' };
