import type { Failure } from '../errors/Failure.js';
import type { AdmissionItem } from './AdmissionItem.js';

/** An item that was queued and then refused; it did not run. */
export interface RefusedItem {
  readonly item: AdmissionItem;
  readonly failure: Failure;
}
