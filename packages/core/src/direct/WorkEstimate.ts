import type { RequestWork } from './RequestWork.js';

/** Estimated work of a request, and what the estimate is based on. */
export interface WorkEstimate extends RequestWork {
  readonly workspace: string;
  /** Prompt tokens, limited to the KV capacity of a rank. */
  readonly promptTokens: number;
  /** Expected answer tokens. */
  readonly answerTokens: number;
  /** Length that the expectation was derived from: the hint, the stated limit or the usual length. */
  readonly basis: 'hint' | 'limit' | 'usual';
  /** That length before the correction by earlier answers, tokens. */
  readonly statedTokens: number;
  /** Fields of the request that were ignored or limited because they are out of range. */
  readonly invalid: readonly ('prompt_tokens' | 'answer_tokens' | 'length_hint')[];
}
