import type { AttemptOutcome } from '@limpetbay/core';
import type { AnswerHead } from '../ports/AnswerHead.js';
import type { AnswerTrace } from './AnswerTrace.js';
import type { AttemptProgress } from './AttemptProgress.js';

/** Result of an attempt: a complete answer for the caller, or the cause of the failure. */
export type AttemptResult =
  | {
      readonly kind: 'done';
      readonly head: AnswerHead;
      readonly body: Buffer;
      readonly trace: AnswerTrace;
    }
  | {
      readonly kind: 'failed';
      readonly outcome: AttemptOutcome;
      readonly message: string;
      readonly progress: AttemptProgress;
      readonly trace: AnswerTrace;
      /** Whether the connection broke before the end of the answer. */
      readonly isCut: boolean;
      /** Error answer of the target that may be forwarded to the caller; null without one. */
      readonly answer: { readonly head: AnswerHead; readonly body: Buffer } | null;
    };
