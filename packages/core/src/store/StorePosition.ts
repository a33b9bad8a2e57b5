import type { Revision } from '../ids/Revision.js';
import type { Era } from './Era.js';

/** A point in the history of the store. */
export interface StorePosition {
  readonly era: Era;
  readonly revision: Revision;
}
