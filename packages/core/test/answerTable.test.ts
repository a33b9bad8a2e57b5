import { describe, expect, it } from 'vitest';
import { ErrorKind, answerTable } from '@limpetbay/core';

describe('answerTable', () => {
  // Guards against an error kind that allows a retry at another target although the first one may
  // have run the request.
  it('allows a retry elsewhere only if nothing was run', () => {
    for (const kind of ErrorKind.options) {
      if (answerTable[kind].retryElsewhere) expect(answerTable[kind].run).toBe('no');
    }
  });
});
