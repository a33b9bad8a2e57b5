import type { ClaimOutcome } from './ClaimOutcome.js';

/** How a claimed request ended. */
export type ClaimEnd =
  | { readonly type: 'stored'; readonly outcome: ClaimOutcome }
  | { readonly type: 'omitted'; readonly status: number; readonly bodyBytes: number }
  | { readonly type: 'unknown' };
