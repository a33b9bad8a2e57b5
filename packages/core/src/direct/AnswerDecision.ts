import type { AttemptOutcome } from './AttemptOutcome.js';

/**
 * What the answer of an attempt means. `ifLast` of a failure is what the caller is told if no other
 * attempt follows:
 *
 * - `forward`: the error answer of the target.
 * - `not_run`: that the request did not run and may be sent again.
 * - `outcome_unknown`: that it may have run.
 * - `abort`: nothing; its answer has begun and is broken off, so that it cannot look complete.
 */
export type AnswerDecision =
  | { readonly kind: 'answered' }
  | {
      readonly kind: 'failed';
      readonly outcome: AttemptOutcome;
      readonly cause: string;
      readonly ifLast: 'forward' | 'not_run' | 'outcome_unknown' | 'abort';
    };
