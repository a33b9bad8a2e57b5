import type { AttemptOutcome } from '@limpetbay/core';
import type { AnswerHead } from '../ports/AnswerHead.js';

/** The end of an attempt: a whole answer for the caller, or the way in which it failed. */
export type AttemptResult =
  | { readonly kind: 'done'; readonly head: AnswerHead; readonly body: Buffer }
  | {
      readonly kind: 'failed';
      readonly outcome: AttemptOutcome;
      readonly message: string;
      /** The target's own answer where it has one that may be passed on. */
      readonly answer: { readonly head: AnswerHead; readonly body: Buffer } | null;
    };
