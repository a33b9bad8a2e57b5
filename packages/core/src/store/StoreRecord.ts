import type { Revision } from '../ids/Revision.js';

/** One key of the store. */
export interface StoreRecord {
  readonly key: string;
  /** UTF-8 text, at most 1 MB. */
  readonly value: string;
  /** Revision of the last change of this key. */
  readonly revision: Revision;
}
