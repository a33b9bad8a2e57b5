import type { Revision } from '../ids/Revision.js';

/** Writes that the store applies atomically if all conditions hold. Counts as one call. */
export interface StoreTransaction {
  /** The last change of each key must have this revision; 0 requires the key to be absent. */
  readonly conditions: readonly { readonly key: string; readonly revision: Revision | 0 }[];
  /** `value` null deletes the key. `lease` deletes the key when that lease ends. */
  readonly writes: readonly {
    readonly key: string;
    readonly value: string | null;
    readonly lease?: string;
  }[];
}
