import { hashRequest, type ClaimRequest } from '@limpetbay/core';
import type { AttemptRun } from './AttemptRun.js';

/** Builds the request for a claim on the idempotency key of an attempt. */
export function buildClaimRequest(run: AttemptRun): ClaimRequest {
  const { attempt, item, key } = run;
  return {
    workspace: attempt.workspace,
    key: attempt.idempotencyKey,
    keyTimeMs: attempt.keyTimeMs,
    bodyHash: hashRequest(attempt.method, attempt.path, attempt.body),
    attemptId: key,
    deadlineAtMs: item.deadlineMs,
  };
}
