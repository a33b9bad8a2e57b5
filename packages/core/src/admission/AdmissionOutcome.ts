import type { AdmissionItem } from './AdmissionItem.js';
import type { RefusedItem } from './RefusedItem.js';

/** Queued items that an event started or refused. The caller must handle both lists. */
export interface AdmissionOutcome {
  /** Items to dispatch now; each holds a slot until `finish` or `cancel`. */
  readonly started: AdmissionItem[];
  readonly refused: RefusedItem[];
}
