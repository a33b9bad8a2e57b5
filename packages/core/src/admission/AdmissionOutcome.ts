import type { AdmissionItem } from './AdmissionItem.js';
import type { RefusedItem } from './RefusedItem.js';

/** What became of queued items because of an event. The caller has to act on both lists. */
export interface AdmissionOutcome {
  /** Items that hold a slot from now on, until `finish` or `cancel`. */
  readonly started: AdmissionItem[];
  readonly refused: RefusedItem[];
}
