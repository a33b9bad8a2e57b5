import type { Header } from '@limpetbay/core';
import type { RequestRun } from './RequestRun.js';

/** Returns the target's headers with those of limpetbay added. */
export function buildHeaders(
  run: RequestRun,
  head: { readonly headers: readonly Header[]; readonly replayed: boolean },
): Header[] {
  const headers = [...head.headers, { name: 'Limpetbay-Request-Id', value: run.id as string }];
  if (head.replayed) headers.push({ name: 'Limpetbay-Replayed', value: 'true' });
  return headers;
}
