import { describe, expect, it } from 'vitest';
import { ErrorKind, answerTable } from '@limpetbay/core';

describe('answerTable', () => {
  // Guards against a caller being told "not run" with a kind that another target may repeat
  // although the first one may have run it.
  it('retries elsewhere only where nothing was run', () => {
    for (const kind of ErrorKind.options) {
      if (answerTable[kind].retryElsewhere) expect(answerTable[kind].run).toBe('no');
    }
  });
});
