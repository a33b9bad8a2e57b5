import type { AnswerDecision } from '@limpetbay/core';
import type { AnswerHead } from '../ports/AnswerHead.js';
import type { AnswerTrace } from './AnswerTrace.js';
import type { AttemptProgress } from './AttemptProgress.js';

type Answered = Extract<AnswerDecision, { kind: 'answered' }>;

type Failed = Extract<AnswerDecision, { kind: 'failed' }>;

interface AnswerDetails {
  readonly progress: AttemptProgress;
  readonly trace: AnswerTrace;
  /** What was not passed on as events, in blocks. */
  readonly body: readonly Buffer[];
}

/** Result of an attempt: what its answer means, and the answer. */
export type AttemptResult =
  | (Answered & AnswerDetails & { readonly head: AnswerHead })
  | (Failed &
      AnswerDetails & {
        /** Whether the connection broke before the end of the answer. */
        readonly isCut: boolean;
        /** Null if no complete head arrived. */
        readonly head: AnswerHead | null;
      });
