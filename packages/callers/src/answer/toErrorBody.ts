import { answerTable, type Failure, type RunState } from '@limpetbay/core';

interface ErrorBody {
  readonly error: {
    readonly kind: string;
    readonly message: string;
    /** Whether the target ran the request. */
    readonly run: RunState;
    readonly retry_after_ms?: number;
  };
}

/** Converts a failure to the JSON body of an error answer. */
export function toErrorBody(failure: Failure): ErrorBody {
  const { kind, message, retryAfterMs } = failure;
  const { run } = answerTable[kind];
  if (retryAfterMs === undefined) return { error: { kind, message, run } };
  return { error: { kind, message, run, retry_after_ms: Math.ceil(retryAfterMs) } };
}
