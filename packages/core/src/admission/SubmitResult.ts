import type { Failure } from '../errors/Failure.js';
import type { AdmissionOutcome } from './AdmissionOutcome.js';

/**
 * The answer to a submitted item; `outcome` is about other items.
 *
 * - `start`: the item holds a slot until `finish` or `cancel`.
 * - `queued`: a later outcome starts or refuses it.
 * - `refused`: it was not run and will not be.
 * - `duplicate`: this attempt was delivered before and may be running. It must never be answered
 *   with a frame that declares it not run.
 */
export type SubmitResult =
  | { readonly type: 'start'; readonly outcome: AdmissionOutcome }
  | { readonly type: 'queued'; readonly outcome: AdmissionOutcome }
  | { readonly type: 'refused'; readonly failure: Failure; readonly outcome: AdmissionOutcome }
  | { readonly type: 'duplicate'; readonly failure: Failure; readonly outcome: AdmissionOutcome };
