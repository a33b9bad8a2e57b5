import type { Revision } from '../ids/Revision.js';
import type { Era } from './Era.js';

/** Writes that the store applies atomically if all conditions hold. Counts as one call. */
export interface StoreTransaction {
  /**
   * Era of the revisions in the conditions. In another era they would hold for other records, so
   * the transaction fails; with `outcome_unknown` if the store has applied it by then.
   */
  readonly era?: Era;
  /** The last change of each key must have this revision; 0 requires the key to be absent. */
  readonly conditions: readonly { readonly key: string; readonly revision: Revision | 0 }[];
  /** `value` null deletes the key. `lease` deletes the key when that lease ends. */
  readonly writes: readonly {
    readonly key: string;
    readonly value: string | null;
    readonly lease?: string;
  }[];
}
