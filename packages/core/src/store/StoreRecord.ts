import type { Revision } from '../ids/Revision.js';

/** A key of the store with its value. */
export interface StoreRecord {
  readonly key: string;
  /** UTF-8 text, at most 1 MB. */
  readonly value: string;
  /** Store revision of the last change of this key. */
  readonly revision: Revision;
}
