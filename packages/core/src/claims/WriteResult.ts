import type { Revision } from '../ids/Revision.js';
import type { StoreRecord } from '../store/StoreRecord.js';

/**
 * How a conditional write was settled. `conflict`: the key is at another revision; `record` is what
 * it holds. `unavailable`: surely not applied. `rejected`: the store refuses the write as such, for
 * example because its lease has ended.
 */
export type WriteResult =
  | { readonly type: 'written'; readonly revision: Revision }
  | { readonly type: 'conflict'; readonly record: StoreRecord | null }
  | { readonly type: 'unavailable' }
  | { readonly type: 'rejected' };
