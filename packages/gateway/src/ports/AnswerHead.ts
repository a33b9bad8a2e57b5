import type { DirectAnswerHead } from '@limpetbay/core';

/** Parsed head of a target's answer. */
export interface AnswerHead extends DirectAnswerHead {
  /**
   * Requests a second that the target takes from all entries together; null where it names no
   * limit, `invalid` where it names one that cannot be read.
   */
  readonly rateLimit: number | null | 'invalid';
  /** Headers to forward to the caller, as alternating names and values. */
  readonly forwarded: readonly string[];
}
