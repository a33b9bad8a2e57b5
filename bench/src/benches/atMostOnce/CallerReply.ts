import type { ErrorKind } from '@limpetbay/core';

/** What a simulated caller gets. `broken`: part of an answer, or a lost connection. */
export type CallerReply =
  | { readonly type: 'complete'; readonly body: string; readonly replayed: boolean }
  | { readonly type: 'error'; readonly kind: ErrorKind }
  | { readonly type: 'broken' };
