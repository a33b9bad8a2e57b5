import type { ErrorKind } from '@limpetbay/core';

/** Reply to a simulated caller. `broken`: it got part of an answer, or its connection broke. */
export type CallerReply =
  | { readonly type: 'complete'; readonly body: string; readonly replayed: boolean }
  | { readonly type: 'error'; readonly kind: ErrorKind }
  | { readonly type: 'broken' };
