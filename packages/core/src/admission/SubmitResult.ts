import type { Failure } from '../errors/Failure.js';
import type { AdmissionOutcome } from './AdmissionOutcome.js';

/**
 * Result of submitting an item; `outcome` concerns other, queued items.
 *
 * - `start`: dispatch the item now; it holds a slot until `finish` or `cancel`.
 * - `queued`: a later outcome starts or refuses the item.
 * - `refused`: the item did not run and will not run.
 * - `duplicate`: the attempt was delivered before and may be running, so it must never be answered
 *   with a frame that declares that it did not run.
 */
export type SubmitResult =
  | { readonly type: 'start'; readonly outcome: AdmissionOutcome }
  | { readonly type: 'queued'; readonly outcome: AdmissionOutcome }
  | { readonly type: 'refused'; readonly failure: Failure; readonly outcome: AdmissionOutcome }
  | { readonly type: 'duplicate'; readonly failure: Failure; readonly outcome: AdmissionOutcome };
