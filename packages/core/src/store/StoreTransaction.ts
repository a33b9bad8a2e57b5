import type { Revision } from '../ids/Revision.js';

/** Writes that the store applies together if every condition holds. Counts as one call. */
export interface StoreTransaction {
  /** Each key must have its last change at this revision; 0 stands for an absent key. */
  readonly conditions: readonly { readonly key: string; readonly revision: Revision | 0 }[];
  /** `value` null deletes the key. `lease` ties the key to a lease. */
  readonly writes: readonly {
    readonly key: string;
    readonly value: string | null;
    readonly lease?: string;
  }[];
}
